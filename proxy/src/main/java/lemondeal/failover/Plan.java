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
public record Plan(String fleet, long version, double headroom, List<String> first, List<Zone> zones,
    List<Case> cases) {
  /** The weights of an origin sum to this. */
  public static final int WHOLE = 10_000;

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
    first = List.copyOf(first);
    zones = List.copyOf(zones);
    cases = List.copyOf(cases);
  }

  /** The case of exactly these zones; empty where the policy promises nothing for it or a zone is unknown. */
  public Optional<Case> of(Iterable<String> failedNames) {
    boolean[] failed = new boolean[zones.size()];
    for (String name : failedNames) {
      int zone = number(name);
      if (zone < 0) {
        return Optional.empty();
      }
      failed[zone] = true;
    }
    List<Integer> numbers = java.util.stream.IntStream.range(0, failed.length).filter(i -> failed[i]).boxed().toList();
    return cases.stream().filter(planned -> planned.failed().equals(numbers)).findFirst();
  }

  /** The zone's place in the list, or -1. */
  public int number(String name) {
    for (int i = 0; i < zones.size(); i++) {
      if (zones.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** The weights of an origin by the names of zones; empty for an unknown one. */
  public Map<String, Integer> weights(Case planned, String origin) {
    Map<String, Integer> weights = new TreeMap<>();
    int number = number(origin);
    if (number >= 0) {
      planned.origins().get(number).forEach(weight -> weights.put(zones.get(weight.zone()).name(), weight.weight()));
    }
    return weights;
  }

  /** What each zone bears in a case, in thousandths of the policy's unit times {@link #WHOLE}: exact. */
  public long[] loads(Case planned) {
    long[] loads = new long[zones.size()];
    for (int o = 0; o < zones.size(); o++) {
      long demand = zones.get(o).demandMilli();
      planned.origins().get(o).forEach(weight -> loads[weight.zone()] += demand * weight.weight());
    }
    return loads;
  }

  /** By how much the rounding of weights may put each zone above its bound, in the unit of {@link #loads}. */
  long[] rounding(Case planned) {
    long[] rounding = new long[zones.size()];
    for (int o = 0; o < zones.size(); o++) {
      for (Weight weight : planned.origins().get(o)) {
        rounding[weight.zone()] += weight.weight() < WHOLE ? zones.get(o).demandMilli() : 0;
      }
    }
    return rounding;
  }

  @Override
  public String toString() {
    return "plan " + version + " of " + fleet + ", " + cases.size() + " cases, "
        + Arrays.toString(zones.stream().map(Zone::name).toArray());
  }
}
