package lemondeal.failover;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The last stage: for each case and origin the weights by zone, in whole ten-thousandths. What proxies place by.
 *
 * @param headroom the share of each capacity that the plan keeps free
 * @param zones sorted by name; elsewhere a zone is its place in this list
 * @param cases the normal case first
 */
public record Plan(String fleet, long version, double headroom, List<String> priorityClasses, List<Zone> zones,
    List<Case> cases) {
  /** The weights of an origin sum to this. */
  public static final int FULL_WEIGHT = 10_000;

  /**
   * A zone as the plan reckons with it.
   *
   * @param demandMilli thousandths of the policy's unit
   * @param capacityMilli the same, headroom included
   */
  public record Zone(String name, String region, long demandMilli, long capacityMilli) {}

  /** A zone that serves an origin, and its weight, 1 to {@link #WHOLE}. */
  public record Weight(int zone, int weight) {}

  /**
   * What holds while exactly these zones are down.
   *
   * @param failed growing
   * @param origins for each zone as origin who serves it, sorted by zone; empty where nobody can
   */
  public record Case(List<Integer> failed, List<List<Weight>> origins) {
    public Case {
      failed = List.copyOf(failed);
      origins = List.copyOf(origins);
    }
  }

  public Plan {
    priorityClasses = List.copyOf(priorityClasses);
    zones = List.copyOf(zones);
    cases = List.copyOf(cases);
  }

  /** The case of exactly these zones; empty where the policy promises nothing for it or a zone is unknown. */
  public Optional<Case> findCase(Iterable<String> failedNames) {
    boolean[] failed = new boolean[zones.size()];
    for (String name : failedNames) {
      int zone = zoneIndex(name);
      if (zone < 0) {
        return Optional.empty();
      }
      failed[zone] = true;
    }
    List<Integer> failedIndexes = java.util.stream.IntStream.range(0, failed.length).filter(i -> failed[i]).boxed().toList();
    return cases.stream().filter(plannedCase -> plannedCase.failed().equals(failedIndexes)).findFirst();
  }

  /** The zone's place in the list, or -1. */
  public int zoneIndex(String name) {
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The weights of an origin by the names of zones; empty for an unknown one. */
  public Map<String, Integer> weights(Case plannedCase, String origin) {
    Map<String, Integer> weights = new TreeMap<>();
    int originIndex = zoneIndex(origin);
    if (originIndex >= 0) {
      plannedCase.origins().get(originIndex).forEach(weight -> weights.put(zones.get(weight.zone()).name(), weight.weight()));
    }
    return weights;
  }

  /** What each zone bears in a case, in thousandths of the policy's unit times {@link #WHOLE}: exact. */
  public long[] loads(Case plannedCase) {
    long[] loads = new long[zones.size()];
    for (int origin = 0; origin < zones.size(); origin++) {
      long demand = zones.get(origin).demandMilli();
      plannedCase.origins().get(origin).forEach(weight -> loads[weight.zone()] += demand * weight.weight());
    }
    return loads;
  }

  /** By how much the rounding of weights may put each zone above its bound, in the unit of {@link #loads}. */
  long[] roundingMargin(Case plannedCase) {
    long[] margins = new long[zones.size()];
    for (int origin = 0; origin < zones.size(); origin++) {
      for (Weight weight : plannedCase.origins().get(origin)) {
        margins[weight.zone()] += weight.weight() < FULL_WEIGHT ? zones.get(origin).demandMilli() : 0;
      }
    }
    return margins;
  }

  @Override
  public String toString() {
    return "plan " + version + " of " + fleet + ", " + cases.size() + " cases, "
        + Arrays.toString(zones.stream().map(Zone::name).toArray());
  }
}
