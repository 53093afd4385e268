package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import lemondeal.failover.PolicyModel.Helper;

/**
 * A small policy with integer numbers that brute force can solve: by Gale's condition over every set of origins, and by
 * every integer flow. With integer bounds and at most one limit on crossings, some optimal flow is integer.
 *
 * @param helperMasks by origin the zones that may serve it beside itself, as a bit mask
 */
record SmallInstance(int[] demand, int[] capacity, int[] region, int[] helperMasks, double maxCrossZoneShare,
    double maxCrossRegionShare) {
  static final SourceLocation LOCATION = new SourceLocation("f", 1, 1);

  SmallInstance(int[] demand, int[] capacity, int[] helperMasks) {
    this(demand, capacity, new int[demand.length], helperMasks, 1, 1);
  }

  PolicyModel model() {
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (int zone = 0; zone < demand.length; zone++) {
      int origin = zone;
      List<Helper> helpers = IntStream.range(0, demand.length).filter(helperZone -> mayServe(origin, helperZone))
          .mapToObj(helperZone -> new Helper(helperZone, helperZone == origin ? 0 : 1, 1)).toList();
      zones.add(new PolicyModel.Zone("z" + zone, "r" + region[zone], region[zone], demand[zone], capacity[zone],
          helpers, LOCATION, LOCATION));
    }
    return new PolicyModel("f", 1, 0, maxCrossZoneShare, maxCrossRegionShare,
        new PolicySource.BoundLocations(LOCATION, LOCATION, LOCATION), List.of(), zones);
  }

  boolean mayServe(int origin, int zone) {
    return zone == origin || (helperMasks[origin] >> zone & 1) == 1;
  }

  /** The normal case and the failure of each single zone. */
  FailureCases singleZoneCases() {
    List<FailureCase> cases = new ArrayList<>(List.of(new FailureCase(List.of(), "", LOCATION)));
    IntStream.range(0, demand.length).forEach(zone -> cases.add(new FailureCase(List.of(zone), "", LOCATION)));
    return new FailureCases(cases);
  }

  /** Whether every set of origins has enough capacity in the zones that may serve it, without limits on crossings. */
  boolean satisfiesGaleCondition(List<Integer> failed) {
    int zoneCount = demand.length;
    for (int originSet = 1; originSet < 1 << zoneCount; originSet++) {
      int demandOfSet = 0;
      int reachableZones = 0;
      for (int origin = 0; origin < zoneCount; origin++) {
        if ((originSet >> origin & 1) == 1) {
          demandOfSet += demand[origin];
          reachableZones |= helperMasks[origin] | 1 << origin;
        }
      }
      int reachableCapacity = 0;
      for (int zone = 0; zone < zoneCount; zone++) {
        reachableCapacity += (reachableZones >> zone & 1) == 1 && !failed.contains(zone) ? capacity[zone] : 0;
      }
      // A set without demand is always served.
      if (demandOfSet > reachableCapacity) {
        return false;
      }
    }
    return true;
  }

  /** The minimum cost of all integer flows of a case, with costs by origin and zone; -1 if there is no flow. */
  int minimumCost(List<Integer> failed, int[][] cost) {
    int[] freeCapacity = capacity.clone();
    failed.forEach(zone -> freeCapacity[zone] = 0);
    int best = search(0, 0, demand.length == 0 ? 0 : demand[0], freeCapacity, cost, 0, Integer.MAX_VALUE);
    return best == Integer.MAX_VALUE ? -1 : best;
  }

  private int search(int origin, int zone, int demandLeft, int[] freeCapacity, int[][] cost, int costSoFar, int best) {
    if (origin == demand.length) {
      return Math.min(best, costSoFar);
    }
    if (demandLeft == 0) {
      int nextOrigin = origin + 1;
      return search(nextOrigin, 0, nextOrigin < demand.length ? demand[nextOrigin] : 0, freeCapacity, cost, costSoFar,
          best);
    }
    if (zone == demand.length || costSoFar >= best) {
      return best;
    }
    int maxLoad = mayServe(origin, zone) ? Math.min(demandLeft, freeCapacity[zone]) : 0;
    int bestFound = best;
    for (int load = maxLoad; load >= 0; load--) {
      freeCapacity[zone] -= load;
      bestFound = search(origin, zone + 1, demandLeft - load, freeCapacity, cost,
          costSoFar + load * cost[origin][zone], bestFound);
      freeCapacity[zone] += load;
    }
    return bestFound;
  }

  @Override
  public String toString() {
    return "d=" + Arrays.toString(demand) + " c=" + Arrays.toString(capacity) + " r=" + Arrays.toString(region)
        + " h=" + Arrays.toString(helperMasks) + " " + maxCrossZoneShare + "/" + maxCrossRegionShare;
  }
}
