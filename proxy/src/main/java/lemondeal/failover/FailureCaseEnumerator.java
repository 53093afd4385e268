package lemondeal.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import lemondeal.failover.PolicySource.SurvivalRequirement;
import lemondeal.operator.Fault;
import lemondeal.operator.InvalidFileException;

/**
 * Expands the survival requirements into failure cases, without duplicates, the smallest first. A subset of a failure
 * is no harder to survive than the whole, but zones seldom fail at the same instant, so that the plan also needs cases
 * for the time in between: "any k" adds all smaller sets of zones, a region or a list of zones adds each zone alone.
 */
final class FailureCaseEnumerator {
  /** Limits the size of the plan that each proxy holds in memory; any 3 of 40 zones are 10,701 cases. */
  static final int MAX_CASES = 12_000;

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
  private final Map<String, Integer> zoneIndexes = new HashMap<>();
  private final TreeMap<List<Integer>, FailureCase> cases = new TreeMap<>(SMALLEST_FIRST);
  private final List<Fault> faults = new ArrayList<>();

  private FailureCaseEnumerator(PolicyModel model) {
    this.model = model;
    for (int i = 0; i < model.zoneCount(); i++) {
      zoneIndexes.put(model.zone(i).name(), i);
    }
  }

  /**
   * The normal case and then all required ones; throws {@link InvalidFileException} for requirements with unknown zones
   * or too many cases.
   */
  static FailureCases enumerate(PolicySource source, PolicyModel model) {
    FailureCaseEnumerator enumerator = new FailureCaseEnumerator(model);
    enumerator.addCase(List.of(), "", source.fileLocation());
    source.requirements().forEach(enumerator::addRequirement);
    if (!enumerator.faults.isEmpty()) {
      throw new InvalidFileException(enumerator.faults);
    }
    return new FailureCases(List.copyOf(enumerator.cases.values()));
  }

  private void addRequirement(SurvivalRequirement requirement) {
    switch (requirement.kind()) {
      case ANY_ZONE -> zoneIndexes.values().forEach(zone -> addCase(List.of(zone), "", requirement.location()));
      case ANY_REGION -> addRegions(requirement.location());
      case ANY -> addAny(requirement);
      case TOGETHER -> addWithEachZone(namedZones(requirement), "", requirement.location());
      default -> throw new IllegalStateException(requirement.kind().name());
    }
  }

  private void addRegions(SourceLocation location) {
    TreeMap<String, List<Integer>> byName = new TreeMap<>();
    for (int i = 0; i < model.zoneCount(); i++) {
      byName.computeIfAbsent(model.zone(i).regionName(), none -> new ArrayList<>()).add(i);
    }
    byName.forEach((name, zones) -> addWithEachZone(zones, name, location));
  }

  private void addWithEachZone(List<Integer> zones, String region, SourceLocation location) {
    addCase(zones, region, location);
    zones.forEach(zone -> addCase(List.of(zone), "", location));
  }

  private void addAny(SurvivalRequirement requirement) {
    List<Integer> zones = requirement.zones().isEmpty() ? new ArrayList<>(new TreeSet<>(zoneIndexes.values()))
        : namedZones(requirement);
    if (requirement.count() > zones.size()) {
      faults.add(requirement.location()
          .fault("survive.any: " + requirement.count() + " of " + zones.size() + " zones"));
    } else if (subsetCount(zones.size(), requirement.count()) > MAX_CASES) {
      faults.add(tooManyCases(requirement.location()));
    } else {
      addSubsets(zones, 0, new ArrayList<>(), requirement);
    }
  }

  private static double subsetCount(int zones, int count) {
    double total = 0;
    double subsetsOfSize = 1;
    for (int size = 1; size <= count; size++) {
      subsetsOfSize = subsetsOfSize * (zones - size + 1) / size;
      total += subsetsOfSize;
    }
    return total;
  }

  private void addSubsets(List<Integer> zones, int fromIndex, List<Integer> chosen, SurvivalRequirement requirement) {
    for (int i = fromIndex; i < zones.size() && chosen.size() < requirement.count(); i++) {
      chosen.add(zones.get(i));
      addCase(List.copyOf(chosen), "", requirement.location());
      addSubsets(zones, i + 1, chosen, requirement);
      chosen.remove(chosen.size() - 1);
    }
  }

  private List<Integer> namedZones(SurvivalRequirement requirement) {
    TreeSet<Integer> zones = new TreeSet<>();
    for (String name : requirement.zones()) {
      if (zoneIndexes.containsKey(name)) {
        zones.add(zoneIndexes.get(name));
      } else {
        faults.add(requirement.location().fault("survive: unknown zone '" + name + "'"));
      }
    }
    return new ArrayList<>(zones);
  }

  /** Where requirements overlap, the case names the first in the file; the name of a region is kept in any case. */
  private void addCase(List<Integer> failed, String region, SourceLocation location) {
    FailureCase previous = cases.get(failed);
    boolean firstInFile = previous == null || location.line() < previous.location().line();
    String name = previous == null || previous.region().isEmpty() ? region : previous.region();
    cases.put(List.copyOf(failed),
        new FailureCase(List.copyOf(failed), name, firstInFile ? location : previous.location()));
    if (cases.size() > MAX_CASES + 1 && faults.isEmpty()) {
      faults.add(tooManyCases(location));
    }
  }

  private static Fault tooManyCases(SourceLocation location) {
    return location.fault("survive: more than " + MAX_CASES + " failure cases");
  }
}
