package lemondeal.evacuation;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How much of a zone's work may leave it: no more than the other zones can take. What does not fit is turned away at
 * once with an honest pause, the work worth least first. Pure.
 */
public final class SpilloverLimit {
  private static final long MIN_RETRY_AFTER = 1_000;
  /** Room is never used up: what is predicted of servers is off by about so much. */
  private static final double MAX_UTILIZATION = 0.9;

  private SpilloverLimit() {}

  /**
   * What one of the other zones can take.
   *
   * @param perSecond new connections a second beyond what it has; NaN where nothing is known, which holds nothing back
   * @param share of the leaving work that the plan in force gives it; NaN where no plan says
   */
  public record ZoneCapacity(int zone, double perSecond, double plannedShare) {}

  /** New connections a second of a class that would come out of the zone, and what one is worth. */
  public record ClassDemand(int requestClass, double worth, double perSecond) {}

  /**
   * @param leaves by class, the share that goes to other zones, 0 to 1; the rest is to be refused
   * @param busyMillis after which one that was turned away should come again; 0 where nobody is
   */
  public record Admission(Map<Integer, Double> admittedShares, long retryAfterMillis) {}

  /**
   * @param most milliseconds that a client may be told to wait at the longest
   */
  public static Admission compute(List<ZoneCapacity> capacities, List<ClassDemand> demands, long maxRetryAfter) {
    double totalDemand = demands.stream().mapToDouble(ClassDemand::perSecond).sum();
    double capacity = totalCapacity(capacities, totalDemand);
    double remaining = capacity;
    Map<Integer, Double> admittedShares = new TreeMap<>();
    List<ClassDemand> byWorth = demands.stream().sorted(Comparator.comparingDouble(ClassDemand::worth).reversed()).toList();
    for (int i = 0; i < byWorth.size();) {
      int end = i;
      double groupDemand = 0;
      // Classes worth the same share what is left of the room alike, whatever their order.
      for (; end < byWorth.size() && byWorth.get(end).worth() == byWorth.get(i).worth(); end++) {
        groupDemand += byWorth.get(end).perSecond();
      }
      double share = groupDemand <= remaining ? 1 : remaining / groupDemand;
      byWorth.subList(i, end).forEach(demand -> admittedShares.put(demand.requestClass(), share));
      remaining = Math.max(0, remaining - groupDemand);
      i = end;
    }
    return new Admission(admittedShares, totalDemand <= capacity ? 0 : retryAfter(totalDemand, capacity, maxRetryAfter));
  }

  /** What comes again after so long comes at the rate that fits: as many turns as there are for each place. */
  private static long retryAfter(double demand, double capacity, long maxRetryAfter) {
    double rounds = demand / Math.max(capacity, demand / 1e6);
    return (long) Math.min(Math.max(maxRetryAfter, MIN_RETRY_AFTER), Math.ceil(rounds * MIN_RETRY_AFTER));
  }

  private static double totalCapacity(List<ZoneCapacity> capacities, double totalDemand) {
    boolean planned = capacities.stream().anyMatch(capacity -> capacity.plannedShare() > 0);
    double sum = planned ? Double.POSITIVE_INFINITY : 0;
    for (ZoneCapacity capacity : capacities) {
      double usable = Math.max(0, capacity.perSecond()) * MAX_UTILIZATION;
      if (!planned) {
        // Of what nothing is known it is taken that it bears its even part.
        sum += Double.isNaN(capacity.perSecond()) ? totalDemand / capacities.size() : usable;
      } else if (capacity.plannedShare() > 0 && !Double.isNaN(capacity.perSecond())) {
        sum = Math.min(sum, usable / capacity.plannedShare());
      }
    }
    return sum;
  }
}
