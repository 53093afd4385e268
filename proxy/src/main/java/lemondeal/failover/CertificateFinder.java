package lemondeal.failover;

import java.util.Arrays;
import java.util.List;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Finds the strongest {@link InfeasibilityCertificate} of a case: the dual values of the maximum flow's bounds. Only
 * the dual values of zones and crossings are taken from the solver. The weight of an origin is the smallest that its
 * helpers allow, so that the certificate is valid even where the solver is inexact. Solving the dual directly, as a
 * minimum cover of all origin-zone pairs, took seconds a case, since the solver adds an artificial variable for each
 * pair.
 */
final class CertificateFinder {
  /**
   * Added to each bound, as a share of the total demand, also where the bound is 0: a bound that does not limit the
   * flow then gets the dual value 0.
   */
  private static final double BOUND_PENALTY = 1e-9;
  /** The same, large enough to prefer certificates that count fewer zones. */
  private static final double SPARSITY_PENALTY = 1e-5;
  /** Smaller deviations from an integer are numerical noise of the solver. */
  private static final double NOISE = 1e-6;

  private final PolicyModel model;
  private final FlowBounds bounds;
  private final boolean[] failed;
  private final int zoneCount;

  private CertificateFinder(PolicyModel model, FlowBounds bounds, boolean[] failed) {
    this.model = model;
    this.bounds = bounds;
    this.failed = failed;
    zoneCount = model.zoneCount();
  }

  /** The certificate with the largest shortfall, which is 0 for a feasible case. */
  static InfeasibilityCertificate strongest(PolicyModel model, FlowBounds bounds, boolean[] failed) {
    return new CertificateFinder(model, bounds, failed).certificate(BOUND_PENALTY);
  }

  /** The certificate for messages: of those with about the same shortfall, the one that counts the fewest zones. */
  static InfeasibilityCertificate sparsest(PolicyModel model, FlowBounds bounds, boolean[] failed) {
    CertificateFinder finder = new CertificateFinder(model, bounds, failed);
    InfeasibilityCertificate sparsest = finder.certificate(SPARSITY_PENALTY);
    return sparsest.shortfall(model, bounds) > model.tolerance() ? sparsest : finder.certificate(BOUND_PENALTY);
  }

  /** @param penalty what is added to the bound of each zone and crossing, as a share of the total demand */
  private InfeasibilityCertificate certificate(double penalty) {
    double totalDemand = model.totalDemand();
    LinearProgram program = new LinearProgram(totalDemand);
    LinearProgram.Constraint[] zoneLoads = new LinearProgram.Constraint[zoneCount];
    Arrays.setAll(zoneLoads, zone -> program.constraint());
    LinearProgram.Constraint zoneCrossings = program.constraint();
    LinearProgram.Constraint regionCrossings = program.constraint();
    for (int origin = 0; origin < zoneCount; origin++) {
      LinearProgram.Constraint originLoads = program.constraint();
      for (Helper helper : availableHelpers(origin)) {
        int flowVariable = program.variable(-1);
        originLoads.addTerm(flowVariable, 1);
        zoneLoads[helper.zone()].addTerm(flowVariable, 1);
        if (helper.zone() != origin) {
          zoneCrossings.addTerm(flowVariable, 1);
        }
        if (model.crossesRegion(origin, helper.zone())) {
          regionCrossings.addTerm(flowVariable, 1);
        }
      }
      originLoads.atMost(model.demand(origin) + BOUND_PENALTY * totalDemand);
    }
    for (int zone = 0; zone < zoneCount; zone++) {
      zoneLoads[zone].atMost(bounds.usableCapacity()[zone] + penalty * totalDemand);
    }
    zoneCrossings.atMost((bounds.maxCrossZoneShare() + penalty) * totalDemand);
    regionCrossings.atMost((bounds.maxCrossRegionShare() + penalty) * totalDemand);
    double[] dualValues = program.dualValues();
    if (dualValues == null) {
      throw new IllegalStateException("the solver found no maximum flow although every flow is bounded");
    }
    return fromDualValues(dualValues);
  }

  private List<Helper> availableHelpers(int origin) {
    return model.demand(origin) == 0 ? List.of()
        : model.zone(origin).helpers().stream().filter(helper -> !failed[helper.zone()]).toList();
  }

  /** @param dualValues of the zones, of zone crossings and of region crossings, then of origins, which are ignored */
  private InfeasibilityCertificate fromDualValues(double[] dualValues) {
    double[] zoneShares = new double[zoneCount];
    Arrays.setAll(zoneShares, zone -> withoutNoise(dualValues[zone]));
    double zoneCrossing = withoutNoise(dualValues[zoneCount]);
    double regionCrossing = withoutNoise(dualValues[zoneCount + 1]);
    double[] originShares = new double[zoneCount];
    for (int origin = 0; origin < zoneCount; origin++) {
      double least = model.demand(origin) == 0 ? 0 : 1;
      for (Helper helper : availableHelpers(origin)) {
        least = Math.min(least, zoneShares[helper.zone()] + (helper.zone() == origin ? 0 : zoneCrossing)
            + (model.crossesRegion(origin, helper.zone()) ? regionCrossing : 0));
      }
      originShares[origin] = withoutNoise(least);
    }
    return new InfeasibilityCertificate(originShares, zoneShares, zoneCrossing, regionCrossing);
  }

  private static double withoutNoise(double share) {
    double rounded = Math.rint(share);
    return Math.abs(share - rounded) < NOISE ? Math.abs(rounded) : Math.max(0, share);
  }
}
