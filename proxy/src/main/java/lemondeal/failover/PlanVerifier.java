package lemondeal.failover;

import java.util.List;

/**
 * Verifies a finished plan in integer arithmetic and without the solver: every origin is served in every case, by zones
 * that are up and may serve it, and no bound is exceeded by more than the rounding of weights.
 */
final class PlanVerifier {
  private PlanVerifier() {}

  /** Throws {@link IllegalStateException}: an invalid plan is a bug in the compiler and not an error in the policy. */
  static void verify(Plan plan, PolicyModel model) {
    for (Plan.Case plannedCase : plan.cases()) {
      for (int origin = 0; origin < plan.zones().size(); origin++) {
        verifyOrigin(plannedCase, model, origin);
      }
      verifyLoads(plan, model, plannedCase);
    }
  }

  private static void verifyOrigin(Plan.Case plannedCase, PolicyModel model, int origin) {
    List<Plan.Weight> weights = plannedCase.origins().get(origin);
    int sum = weights.stream().mapToInt(Plan.Weight::weight).sum();
    require(sum == Plan.FULL_WEIGHT || sum == 0 && model.demand(origin) == 0, plannedCase, "weights sum to " + sum);
    for (Plan.Weight weight : weights) {
      require(!plannedCase.failed().contains(weight.zone()), plannedCase, "a failed zone serves");
      require(model.zone(origin).helpers().stream().anyMatch(helper -> helper.zone() == weight.zone()), plannedCase,
          "a zone that may not serve an origin serves it");
    }
  }

  private static void verifyLoads(Plan plan, PolicyModel model, Plan.Case plannedCase) {
    long[] loads = plan.loads(plannedCase);
    long[] roundingMargins = plan.roundingMargin(plannedCase);
    double planUnits = 1000.0 * Plan.FULL_WEIGHT;
    double tolerance = 2 * model.tolerance() * planUnits;
    double totalDemand = model.totalDemand() * planUnits;
    double[] usable = model.usableCapacity();
    for (int zone = 0; zone < loads.length; zone++) {
      require(loads[zone] <= usable[zone] * planUnits + roundingMargins[zone] + tolerance, plannedCase,
          "a zone is overloaded");
    }
    double[] crossingLoads = {0, 0};
    double crossingMargin = 0;
    for (int origin = 0; origin < loads.length; origin++) {
      long demand = plan.zones().get(origin).demandMilli();
      for (Plan.Weight weight : plannedCase.origins().get(origin)) {
        crossingLoads[0] += weight.zone() == origin ? 0 : demand * weight.weight();
        crossingLoads[1] += model.crossesRegion(origin, weight.zone()) ? demand * weight.weight() : 0;
        crossingMargin += weight.weight() < Plan.FULL_WEIGHT ? demand : 0;
      }
    }
    require(crossingLoads[0] <= model.maxCrossZoneShare() * totalDemand + crossingMargin + tolerance, plannedCase,
        "too much crosses zones");
    require(crossingLoads[1] <= model.maxCrossRegionShare() * totalDemand + crossingMargin + tolerance, plannedCase,
        "too much crosses regions");
  }

  private static void require(boolean condition, Plan.Case plannedCase, String violation) {
    if (!condition) {
      throw new IllegalStateException("the compiled plan is invalid: " + violation + " in the case of zones "
          + plannedCase.failed());
    }
  }
}
