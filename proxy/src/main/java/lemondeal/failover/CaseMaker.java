package lemondeal.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import lemondeal.failover.PolicySource.Promise;
import lemondeal.operator.Fault;
import lemondeal.operator.FileFaults;

/**
 * Spreads the promises out into cases, each once, the smallest first. A part of a promised failure is no harder than
 * the whole, but zones seldom fail in one instant, so that a plan must say what holds meanwhile: with "any k" come all
 * of fewer zones, with a region or named zones each of them alone.
 */
final class CaseMaker {
  /** More would be a plan that no proxy should have to hold: any 3 of 40 zones are 10,701. */
  static final int MOST_CASES = 12_000;

  private static final Comparator<List<Integer>> SMALLEST_FIRST = Comparator.<List<Integer>>comparingInt(List::size)
      .thenComparing((a, b) -> {
        for (int i = 0; i < a.size(); i++) {
          if (!a.get(i).equals(b.get(i))) {
            return Integer.compare(a.get(i), b.get(i));
          }
        }
        return 0;
      });

  private final PolicyModel model;
  private final Map<String, Integer> numbers = new HashMap<>();
  private final TreeMap<List<Integer>, FailureCase> cases = new TreeMap<>(SMALLEST_FIRST);
  private final List<Fault> faults = new ArrayList<>();

  private CaseMaker(PolicyModel model) {
    this.model = model;
    for (int i = 0; i < model.size(); i++) {
      numbers.put(model.zone(i).name(), i);
    }
  }

  /** The normal case and then all that is promised; throws {@link FileFaults} for promises about nothing. */
  static Cases make(PolicySource source, PolicyModel model) {
    CaseMaker maker = new CaseMaker(model);
    maker.add(List.of(), "", source.top());
    source.promises().forEach(maker::promise);
    if (!maker.faults.isEmpty()) {
      throw new FileFaults(maker.faults);
    }
    return new Cases(List.copyOf(maker.cases.values()));
  }

  private void promise(Promise promise) {
    switch (promise.kind()) {
      case ANY_ZONE -> numbers.values().forEach(zone -> add(List.of(zone), "", promise.place()));
      case ANY_REGION -> regions(promise.place());
      case ANY -> any(promise);
      case TOGETHER -> together(zones(promise), "", promise.place());
      default -> throw new IllegalStateException(promise.kind().name());
    }
  }

  private void regions(Place place) {
    TreeMap<String, List<Integer>> byName = new TreeMap<>();
    for (int i = 0; i < model.size(); i++) {
      byName.computeIfAbsent(model.zone(i).regionName(), none -> new ArrayList<>()).add(i);
    }
    byName.forEach((name, zones) -> together(zones, name, place));
  }

  private void together(List<Integer> zones, String region, Place place) {
    add(zones, region, place);
    zones.forEach(zone -> add(List.of(zone), "", place));
  }

  private void any(Promise promise) {
    List<Integer> zones = promise.zones().isEmpty() ? new ArrayList<>(new TreeSet<>(numbers.values()))
        : zones(promise);
    if (promise.count() > zones.size()) {
      faults.add(promise.place().fault("survive.any: " + promise.count() + " of " + zones.size() + " zones"));
    } else if (number(zones.size(), promise.count()) > MOST_CASES) {
      faults.add(tooMany(promise.place()));
    } else {
      subsets(zones, 0, new ArrayList<>(), promise);
    }
  }

  private static double number(int zones, int count) {
    double sum = 0;
    double term = 1;
    for (int i = 1; i <= count; i++) {
      term = term * (zones - i + 1) / i;
      sum += term;
    }
    return sum;
  }

  private void subsets(List<Integer> zones, int from, List<Integer> chosen, Promise promise) {
    for (int i = from; i < zones.size() && chosen.size() < promise.count(); i++) {
      chosen.add(zones.get(i));
      add(List.copyOf(chosen), "", promise.place());
      subsets(zones, i + 1, chosen, promise);
      chosen.remove(chosen.size() - 1);
    }
  }

  private List<Integer> zones(Promise promise) {
    TreeSet<Integer> zones = new TreeSet<>();
    for (String name : promise.zones()) {
      if (numbers.containsKey(name)) {
        zones.add(numbers.get(name));
      } else {
        faults.add(promise.place().fault("survive: no zone is called '" + name + "'"));
      }
    }
    return new ArrayList<>(zones);
  }

  /** Where promises overlap, the one that stands first in the file is told; the region's name is kept in any case. */
  private void add(List<Integer> failed, String region, Place place) {
    FailureCase before = cases.get(failed);
    boolean earlier = before == null || place.line() < before.place().line();
    String name = before == null || before.region().isEmpty() ? region : before.region();
    cases.put(List.copyOf(failed), new FailureCase(List.copyOf(failed), name, earlier ? place : before.place()));
    if (cases.size() > MOST_CASES + 1 && faults.isEmpty()) {
      faults.add(tooMany(place));
    }
  }

  private static Fault tooMany(Place place) {
    return place.fault("survive: more than " + MOST_CASES + " failure cases");
  }
}
