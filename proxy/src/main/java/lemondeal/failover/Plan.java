package lemondeal.failover;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The last stage of the compiler: for each case and origin the weights by zone, in integer ten-thousandths. Proxies
 * distribute clients by it.
 *
 * @param headroom the share of each capacity that the plan keeps free
 * @param priorityClasses the classes that are served first, in order of priority
 * @param zones sorted by name; elsewhere a zone is its index in this list
 * @param cases the normal case first
 */
public record Plan(String fleet, long version, double headroom, List<String> priorityClasses, List<Zone> zones,
    List<Case> cases) {
  /** The sum of the weights of an origin. */
  public static final int FULL_WEIGHT = 10_000;

  /**
   * A zone with the numbers that the plan was compiled with.
   *
   * @param demandMilli in thousandths of the policy's unit
   * @param capacityMilli in thousandths of the policy's unit, including the headroom
   */
  public record Zone(String name, String region, long demandMilli, long capacityMilli) {}

  /** A zone that serves an origin, and its weight, 1 to {@link #FULL_WEIGHT}. */
  public record Weight(int zone, int weight) {}

  /**
   * The weights to use while exactly these zones are down.
   *
   * @param failed the indexes of the zones, ascending
   * @param origins for each zone as an origin the zones that serve it, sorted; empty where no zone can
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

  /** The case of exactly these failed zones; empty where the plan does not cover it or a zone is unknown. */
  public Optional<Case> findCase(Iterable<String> failedNames) {
    boolean[] failed = new boolean[zones.size()];
    for (String name : failedNames) {
      int zone = zoneIndex(name);
      if (zone < 0) {
        return Optional.empty();
      }
      failed[zone] = true;
    }
    List<Integer> failedIndexes =
        java.util.stream.IntStream.range(0, failed.length).filter(i -> failed[i]).boxed().toList();
    return cases.stream().filter(plannedCase -> plannedCase.failed().equals(failedIndexes)).findFirst();
  }

  /** The zone's index, or -1. */
  public int zoneIndex(String name) {
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The weights of an origin by zone name; empty for an unknown origin. */
  public Map<String, Integer> weights(Case plannedCase, String origin) {
    Map<String, Integer> weights = new TreeMap<>();
    int originIndex = zoneIndex(origin);
    if (originIndex >= 0) {
      plannedCase.origins().get(originIndex)
          .forEach(weight -> weights.put(zones.get(weight.zone()).name(), weight.weight()));
    }
    return weights;
  }

  /** The exact load of each zone in a case, in thousandths of the policy's unit times {@link #FULL_WEIGHT}. */
  public long[] loads(Case plannedCase) {
    long[] loads = new long[zones.size()];
    for (int origin = 0; origin < zones.size(); origin++) {
      long demand = zones.get(origin).demandMilli();
      plannedCase.origins().get(origin).forEach(weight -> loads[weight.zone()] += demand * weight.weight());
    }
    return loads;
  }

  /** By how much each zone may exceed its bound due to the rounding of weights, in the unit of {@link #loads}. */
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
