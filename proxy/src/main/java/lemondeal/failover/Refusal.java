package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondeal.operator.Fault;

/**
 * Says why a policy cannot hold: the smallest case, its sums, what binds, and the least change of each kind that makes
 * all cases hold. The sums are those of a certificate, so that an operator can add them up.
 */
final class Refusal {
  private final PolicyModel model;
  private final List<FailureCase> broken;

  /** @param broken the cases that do not hold, the smallest first */
  Refusal(PolicyModel model, List<FailureCase> broken) {
    this.model = model;
    this.broken = broken;
  }

  /** One for the case and one for each change that would do. */
  List<Fault> faults() {
    List<Fault> faults = new ArrayList<>();
    faults.add(smallest());
    LeastChange least = new LeastChange(model, broken);
    List<Fault> changes = new ArrayList<>();
    least.capacity().ifPresent(change -> changes.add(told(change)));
    least.headroom().ifPresent(change -> changes.add(told(change)));
    least.crossing().ifPresent(change -> changes.add(told(change)));
    if (changes.isEmpty()) {
      Optional<LeastChange.Change> both = least.both();
      changes.add(both.isPresent() ? told(both.get()) : anotherHelper());
    }
    for (Fault change : changes) {
      String begins = faults.size() == 1 ? "the least change: " : "or: ";
      faults.add(new Fault(change.file(), change.line(), change.column(), begins + change.what()));
    }
    return faults;
  }

  private Fault smallest() {
    FailureCase failure = broken.get(0);
    boolean[] failed = failure.mask(model.size());
    Terms terms = Terms.of(model);
    Cut cut = Bottleneck.shortest(model, terms, failed);
    List<Integer> origins = Cut.counted(cut.origin());
    double demand = origins.stream().mapToDouble(model::demand).sum();
    List<Integer> zones = cut.crosses() ? helpers(origins, failed) : Cut.counted(cut.zone());
    String who = zones.isEmpty() ? "nobody may help: 0" : names(zones) + (zones.size() == 1 ? " bears " : " bear ")
        + Words.number(demand - cut.shortfall(model, terms));
    String text = failure.told(model) + ", " + who + " of " + Words.number(demand) + " (the demand of "
        + names(origins) + ")" + binding(cut);
    String others = broken.size() == 1 ? "" : "; the smallest of " + broken.size() + " cases that do not hold";
    return failure.place().fault(text + others);
  }

  private List<Integer> helpers(List<Integer> origins, boolean[] failed) {
    return IntStream.range(0, model.size()).filter(zone -> !failed[zone] && origins.stream().anyMatch(origin ->
        model.zone(origin).helpers().stream().anyMatch(helper -> helper.zone() == zone))).boxed().toList();
  }

  private String names(List<Integer> zones) {
    return Words.list(zones.stream().map(zone -> model.zone(zone).name()).toList());
  }

  private String binding(Cut cut) {
    List<String> binds = new ArrayList<>();
    for (int zone : Cut.counted(cut.zone())) {
      binds.add("capacity of " + model.zone(zone).name() + " (" + Words.number(model.usable()[zone]) + " usable of "
          + Words.number(model.zone(zone).capacity()) + ", line " + model.zone(zone).capacityPlace().line() + ")");
    }
    if (cut.crossZones() > 0) {
      binds.add("cross.zones (" + Words.number(model.zoneShare()) + ", line " + model.places().zoneShare().line()
          + ")");
    }
    if (cut.crossRegions() > 0) {
      binds.add("cross.regions (" + Words.number(model.regionShare()) + ", line "
          + model.places().regionShare().line() + ")");
    }
    return binds.isEmpty() ? "" : "; binding: " + Words.list(binds);
  }

  private Fault told(LeastChange.Change change) {
    List<String> parts = new ArrayList<>();
    List<Place> places = new ArrayList<>();
    for (int zone = 0; zone < model.size(); zone++) {
      if (change.capacity()[zone] > 0) {
        PolicyModel.Zone of = model.zone(zone);
        parts.add("zones." + of.name() + ".capacity " + from(of.capacity(), of.capacity() + change.capacity()[zone]));
        places.add(of.capacityPlace());
      }
    }
    add(parts, places, "headroom", model.headroom(), change.headroom(), model.places().headroom());
    add(parts, places, "cross.zones", model.zoneShare(), change.zoneShare(), model.places().zoneShare());
    add(parts, places, "cross.regions", model.regionShare(), change.regionShare(), model.places().regionShare());
    return places.get(0).fault(parts.stream().collect(Collectors.joining(", ")));
  }

  private static void add(List<String> parts, List<Place> places, String name, double now, double then, Place place) {
    if (now != then) {
      parts.add(name + " " + from(now, then));
      places.add(place);
    }
  }

  private static String from(double now, double then) {
    return Words.number(then) + " instead of " + Words.number(now);
  }

  /** Some origin has nobody left who may serve it, whatever the bounds: the first such case tells it. */
  private Fault anotherHelper() {
    for (FailureCase failure : broken) {
      boolean[] failed = failure.mask(model.size());
      for (int origin = 0; origin < model.size(); origin++) {
        if (model.demand(origin) > 0 && helpers(List.of(origin), failed).isEmpty()) {
          return model.zone(origin).place().fault("a zone that may serve " + model.zone(origin).name() + " "
              + failure.told(model));
        }
      }
    }
    return broken.get(0).place().fault("none of capacity, headroom and crossing alone");
  }
}
