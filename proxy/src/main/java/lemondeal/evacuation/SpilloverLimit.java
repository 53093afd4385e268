package lemondeal.evacuation;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes how much of an evacuated zone's traffic may go to the other zones: no more than they have capacity for. The
 * rest is refused at once with a retry-after that reflects the actual capacity, starting with the least valuable
 * classes. Stateless.
 */
public final class SpilloverLimit {
  private static final long MIN_RETRY_AFTER = 1_000;
  /**
   * Part of the capacity that may be used. The remainder covers the error of the predicted capacity, which is about
   * this large.
   */
  private static final double MAX_UTILIZATION = 0.9;

  private SpilloverLimit() {}

  /**
   * Capacity of one of the other zones.
   *
   * @param perSecond new connections a second in addition to its present load; NaN if unknown, which imposes no limit
   * @param plannedShare share of the evacuated traffic that the plan in force assigns to it; NaN if there is no plan
   */
  public record ZoneCapacity(int zone, double perSecond, double plannedShare) {}

  /** Demand of one class that would leave the zone: new connections a second, and the worth of each. */
  public record ClassDemand(int requestClass, double worth, double perSecond) {}

  /**
   * @param admittedShares by class, the share that may go to other zones, 0 to 1; the rest is to be refused
   * @param retryAfterMillis when refused clients should retry; 0 if none is refused
   */
  public record Admission(Map<Integer, Double> admittedShares, long retryAfterMillis) {}

  /** @param maxRetryAfter longest permitted retry-after in milliseconds */
  public static Admission compute(List<ZoneCapacity> capacities, List<ClassDemand> demands, long maxRetryAfter) {
    double totalDemand = demands.stream().mapToDouble(ClassDemand::perSecond).sum();
    double capacity = totalCapacity(capacities, totalDemand);
    double remaining = capacity;
    Map<Integer, Double> admittedShares = new TreeMap<>();
    List<ClassDemand> byWorth = demands.stream()
        .sorted(Comparator.comparingDouble(ClassDemand::worth).reversed()).toList();
    for (int i = 0; i < byWorth.size();) {
      int end = i;
      double groupDemand = 0;
      // Classes of equal worth get equal shares of the remaining capacity, whatever their order.
      for (; end < byWorth.size() && byWorth.get(end).worth() == byWorth.get(i).worth(); end++) {
        groupDemand += byWorth.get(end).perSecond();
      }
      double share = groupDemand <= remaining ? 1 : remaining / groupDemand;
      byWorth.subList(i, end).forEach(demand -> admittedShares.put(demand.requestClass(), share));
      remaining = Math.max(0, remaining - groupDemand);
      i = end;
    }
    return new Admission(admittedShares,
        totalDemand <= capacity ? 0 : retryAfter(totalDemand, capacity, maxRetryAfter));
  }

  /**
   * A retry-after in proportion to the overload: clients that retry after it arrive at the rate that the capacity
   * allows.
   */
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
        // A zone of unknown capacity is assumed to bear an equal part of the demand.
        sum += Double.isNaN(capacity.perSecond()) ? totalDemand / capacities.size() : usable;
      } else if (capacity.plannedShare() > 0 && !Double.isNaN(capacity.perSecond())) {
        sum = Math.min(sum, usable / capacity.plannedShare());
      }
    }
    return sum;
  }
}
