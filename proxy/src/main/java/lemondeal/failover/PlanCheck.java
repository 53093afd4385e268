package lemondeal.failover;

import java.util.List;

/**
 * Reckons a finished plan through, in whole numbers and without the solver: every origin is served in every case, by
 * zones that are up and that may serve it, and no bound is passed by more than the rounding of weights.
 */
final class PlanCheck {
  private PlanCheck() {}

  /** Throws {@link IllegalStateException}: a plan that fails here is a fault of the compiler, not of the policy. */
  static void check(Plan plan, PolicyModel model) {
    for (Plan.Case planned : plan.cases()) {
      for (int o = 0; o < plan.zones().size(); o++) {
        origin(planned, model, o);
      }
      loads(plan, model, planned);
    }
  }

  private static void origin(Plan.Case planned, PolicyModel model, int o) {
    List<Plan.Weight> weights = planned.origins().get(o);
    int sum = weights.stream().mapToInt(Plan.Weight::weight).sum();
    require(sum == Plan.WHOLE || sum == 0 && model.demand(o) == 0, planned, "weights sum to " + sum);
    for (Plan.Weight weight : weights) {
      require(!planned.failed().contains(weight.zone()), planned, "a failed zone serves");
      require(model.zone(o).helpers().stream().anyMatch(helper -> helper.zone() == weight.zone()), planned,
          "a zone serves that may not");
    }
  }

  private static void loads(Plan plan, PolicyModel model, Plan.Case planned) {
    long[] loads = plan.loads(planned);
    long[] roundings = plan.rounding(planned);
    double milli = 1000.0 * Plan.WHOLE;
    double noise = 2 * model.noise() * milli;
    double whole = model.wholeDemand() * milli;
    double[] usable = model.usable();
    for (int z = 0; z < loads.length; z++) {
      require(loads[z] <= usable[z] * milli + roundings[z] + noise, planned, "a zone bears too much");
    }
    double[] crossing = {0, 0};
    double rounding = 0;
    for (int o = 0; o < loads.length; o++) {
      long demand = plan.zones().get(o).demandMilli();
      for (Plan.Weight weight : planned.origins().get(o)) {
        crossing[0] += weight.zone() == o ? 0 : demand * weight.weight();
        crossing[1] += model.crossesRegion(o, weight.zone()) ? demand * weight.weight() : 0;
        rounding += weight.weight() < Plan.WHOLE ? demand : 0;
      }
    }
    require(crossing[0] <= model.zoneShare() * whole + rounding + noise, planned, "too much crosses zones");
    require(crossing[1] <= model.regionShare() * whole + rounding + noise, planned, "too much crosses regions");
  }

  private static void require(boolean holds, Plan.Case planned, String what) {
    if (!holds) {
      throw new IllegalStateException("the compiler's own check: " + what + " in the case of zones "
          + planned.failed());
    }
  }
}
