package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks whether the active plan still fits the measured capacity of its zones, so that an overload is reported before
 * the failure happens. Without state; a zone that was not measured has the capacity that the plan was compiled with.
 */
public final class PlanCapacityCheck {
  /**
   * A case in which a zone would be overloaded.
   *
   * @param failed the names of the zones that would be down
   * @param zone the name of the overloaded zone
   * @param load the load that the plan assigns to it, in the policy's unit
   * @param usableCapacity its measured capacity, less the plan's headroom
   */
  public record OverloadedCase(List<String> failed, String zone, double load, double usableCapacity) {
    /** The text for the log. */
    public String describe() {
      return (failed.isEmpty() ? "in the normal case"
          : "if " + MessageText.join(failed) + (failed.size() == 1 ? " fails" : " fail")) + ", " + zone
          + " can serve " + MessageText.decimal(usableCapacity) + " of " + MessageText.decimal(load);
    }
  }

  private PlanCapacityCheck() {}

  /**
   * The cases with an overloaded zone, in the plan's order; each with the zone that lacks the most capacity.
   *
   * @param capacity the measured total capacity by zone name, in the policy's unit; values that are not finite or are
   *     negative are ignored
   */
  public static List<OverloadedCase> overloadedCases(Plan plan, Map<String, Double> capacity) {
    List<OverloadedCase> overloadedCases = new ArrayList<>();
    for (Plan.Case plannedCase : plan.cases()) {
      OverloadedCase worst = null;
      long[] loads = plan.loads(plannedCase);
      long[] roundingMargins = plan.roundingMargin(plannedCase);
      for (int zone = 0; zone < loads.length; zone++) {
        double usableCapacity = usableCapacity(plan, zone, capacity);
        double load = loads[zone] / (1000.0 * Plan.FULL_WEIGHT);
        boolean overloaded =
            load > usableCapacity + roundingMargins[zone] / (1000.0 * Plan.FULL_WEIGHT) + 1e-6 * Math.max(1, load);
        if (overloaded && (worst == null || load - usableCapacity > worst.load() - worst.usableCapacity())) {
          worst = new OverloadedCase(failedNames(plan, plannedCase), plan.zones().get(zone).name(), load,
              usableCapacity);
        }
      }
      if (worst != null) {
        overloadedCases.add(worst);
      }
    }
    return overloadedCases;
  }

  /**
   * The weights of a case that fit the measured capacity: all weights of an overloaded zone are reduced by the same
   * factor. What an origin's weights lack of {@link Plan#FULL_WEIGHT} has no capacity and should be refused.
   */
  public static Plan.Case scaledToCapacity(Plan plan, Plan.Case plannedCase, Map<String, Double> capacity) {
    long[] loads = plan.loads(plannedCase);
    double[] factors = new double[loads.length];
    for (int zone = 0; zone < factors.length; zone++) {
      double load = loads[zone] / (1000.0 * Plan.FULL_WEIGHT);
      factors[zone] = load <= 0 ? 1 : Math.min(1, usableCapacity(plan, zone, capacity) / load);
    }
    List<List<Plan.Weight>> origins = new ArrayList<>();
    for (List<Plan.Weight> weights : plannedCase.origins()) {
      origins.add(weights.stream()
          .map(weight -> new Plan.Weight(weight.zone(),
              (int) Math.floor(weight.weight() * factors[weight.zone()] + 1e-9)))
          .filter(weight -> weight.weight() > 0).toList());
    }
    return new Plan.Case(plannedCase.failed(), origins);
  }

  private static double usableCapacity(Plan plan, int zone, Map<String, Double> capacity) {
    Double measured = capacity.get(plan.zones().get(zone).name());
    boolean known = measured != null && Double.isFinite(measured) && measured >= 0;
    return (known ? measured : plan.zones().get(zone).capacityMilli() / 1000.0) * (1 - plan.headroom());
  }

  private static List<String> failedNames(Plan plan, Plan.Case plannedCase) {
    return plannedCase.failed().stream().map(zone -> plan.zones().get(zone).name()).toList();
  }
}
