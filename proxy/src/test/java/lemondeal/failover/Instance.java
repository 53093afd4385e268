package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import lemondeal.failover.PolicyModel.Helper;

/**
 * A small case in whole numbers, and what brute force says of it: Gale's condition over every set of origins, and every
 * whole-numbered flow. Bounds that are whole make flows with at most one bound on crossings whole at their best.
 *
 * @param helps who may serve whom: helps[o] has the zones beside itself, as bits
 */
record Instance(int[] demand, int[] capacity, int[] region, int[] helps, double zoneShare, double regionShare) {
  static final Place PLACE = new Place("f", 1, 1);

  Instance(int[] demand, int[] capacity, int[] helps) {
    this(demand, capacity, new int[demand.length], helps, 1, 1);
  }

  PolicyModel model() {
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (int i = 0; i < demand.length; i++) {
      int origin = i;
      List<Helper> helpers = IntStream.range(0, demand.length).filter(z -> mayServe(origin, z))
          .mapToObj(z -> new Helper(z, z == origin ? 0 : 1, 1)).toList();
      zones.add(new PolicyModel.Zone("z" + i, "r" + region[i], region[i], demand[i], capacity[i], helpers, PLACE,
          PLACE));
    }
    return new PolicyModel("f", 1, 0, zoneShare, regionShare, new PolicySource.Places(PLACE, PLACE, PLACE), List.of(),
        zones);
  }

  boolean mayServe(int origin, int zone) {
    return zone == origin || (helps[origin] >> zone & 1) == 1;
  }

  /** The normal case and each zone alone. */
  Cases anyZone() {
    List<FailureCase> cases = new ArrayList<>(List.of(new FailureCase(List.of(), "", PLACE)));
    IntStream.range(0, demand.length).forEach(z -> cases.add(new FailureCase(List.of(z), "", PLACE)));
    return new Cases(cases);
  }

  /** Whether every set of origins finds enough capacity among the zones that may serve it: crossings unbounded. */
  boolean gale(List<Integer> failed) {
    int size = demand.length;
    for (int set = 1; set < 1 << size; set++) {
      int wanted = 0;
      int reach = 0;
      for (int o = 0; o < size; o++) {
        if ((set >> o & 1) == 1) {
          wanted += demand[o];
          reach |= helps[o] | 1 << o;
        }
      }
      int borne = 0;
      for (int z = 0; z < size; z++) {
        borne += (reach >> z & 1) == 1 && !failed.contains(z) ? capacity[z] : 0;
      }
      // An origin without demand adds nothing to be served.
      if (wanted > borne) {
        return false;
      }
    }
    return true;
  }

  /** Of all whole flows of a case, the least cost by origin and zone; -1 where there is none. */
  int cheapest(List<Integer> failed, int[][] cost) {
    int[] room = capacity.clone();
    failed.forEach(z -> room[z] = 0);
    int best = search(0, 0, demand.length == 0 ? 0 : demand[0], room, cost, 0, Integer.MAX_VALUE);
    return best == Integer.MAX_VALUE ? -1 : best;
  }

  private int search(int origin, int zone, int left, int[] room, int[][] cost, int paid, int best) {
    if (origin == demand.length) {
      return Math.min(best, paid);
    }
    if (left == 0) {
      int next = origin + 1;
      return search(next, 0, next < demand.length ? demand[next] : 0, room, cost, paid, best);
    }
    if (zone == demand.length || paid >= best) {
      return best;
    }
    int most = mayServe(origin, zone) ? Math.min(left, room[zone]) : 0;
    int found = best;
    for (int load = most; load >= 0; load--) {
      room[zone] -= load;
      found = search(origin, zone + 1, left - load, room, cost, paid + load * cost[origin][zone], found);
      room[zone] += load;
    }
    return found;
  }

  @Override
  public String toString() {
    return "d=" + Arrays.toString(demand) + " c=" + Arrays.toString(capacity) + " r=" + Arrays.toString(region)
        + " h=" + Arrays.toString(helps) + " " + zoneShare + "/" + regionShare;
  }
}
