package lemondeal.failover;

import java.util.Arrays;
import java.util.List;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Finds the strongest {@link Cut} of a case: the largest flow is solved for, and what each of its bounds would be worth
 * is the certificate. Only the worth of zones and crossings is believed; with it each origin counts as far as every
 * zone that may serve it does, so that the certificate holds even where the solver was not exact. The other way round,
 * as a least cover of all pairs, the same took seconds a case, since the solver makes an artificial variable of each
 * pair.
 */
final class CertificateFinder {
  /** On top of each bound, also of 0, so that it is worth something only where it says something. */
  private static final double BOUND_PENALTY = 1e-9;
  private static final double SPARSITY_PENALTY = 1e-5;
  /** Shares below are a solver's noise. */
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

  /** The strongest certificate; its shortfall is 0 where the case fits. */
  static InfeasibilityCertificate strongest(PolicyModel model, FlowBounds bounds, boolean[] failed) {
    return new CertificateFinder(model, bounds, failed).certificate(BOUND_PENALTY);
  }

  /** The shortest certificate, for people: of those that say about the same the one that counts the fewest zones. */
  static InfeasibilityCertificate sparsest(PolicyModel model, FlowBounds bounds, boolean[] failed) {
    CertificateFinder finder = new CertificateFinder(model, bounds, failed);
    InfeasibilityCertificate sparsest = finder.certificate(SPARSITY_PENALTY);
    return sparsest.shortfall(model, bounds) > model.tolerance() ? sparsest : finder.certificate(BOUND_PENALTY);
  }

  /** @param each what is added to the bound of each zone and crossing, as a share of the whole demand */
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
      throw new IllegalStateException("the solver found no largest flow, though every flow is bounded");
    }
    return fromDualValues(dualValues);
  }

  private List<Helper> availableHelpers(int origin) {
    return model.demand(origin) == 0 ? List.of()
        : model.zone(origin).helpers().stream().filter(helper -> !failed[helper.zone()]).toList();
  }

  /** @param worth of zones, of what crosses zones and of what crosses regions, then of origins, which is passed over */
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
