package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds the smallest change of the policy that makes all cases feasible, by a cutting-plane method: it collects
 * certificates of infeasible cases and computes the smallest change that satisfies all of them, until no case is
 * infeasible. The result is minimal, since no smaller change satisfies even the collected certificates. Only the cases
 * that are infeasible without a change are considered, as no change here makes another case infeasible.
 */
final class LeastChange {
  private static final int MAX_ROUNDS = 200;
  private static final int MAX_NEW_CERTIFICATES = 64;
  /** The total demand as the linear programs of this class see it. */
  private static final double SCALED_DEMAND = 1000;
  /** Shares and headroom are reported in steps of one ten-thousandth. */
  private static final double SHARE_STEPS = 10_000;

  /**
   * A change of the policy's bounds.
   *
   * @param addedCapacity the increase of each zone's capacity
   * @param headroom the new headroom
   * @param maxCrossZoneShare the new limit on the share of the demand that crosses zones
   * @param maxCrossRegionShare the new limit on the share that crosses regions
   */
  record Change(double[] addedCapacity, double headroom, double maxCrossZoneShare, double maxCrossRegionShare) {}

  private final PolicyModel model;
  private final List<boolean[]> infeasibleCases;
  private final List<InfeasibilityCertificate> certificates = new ArrayList<>();

  LeastChange(PolicyModel model, List<FailureCase> infeasible) {
    this.model = model;
    this.infeasibleCases = infeasible.stream().map(failure -> failure.mask(model.zoneCount())).toList();
  }

  /** The smallest total increase of capacity; empty where no increase is sufficient. */
  Optional<Change> moreCapacity() {
    return solveByCuttingPlanes(() -> cheapestGrowth(true, false));
  }

  /** The smallest increase of the crossing limits; empty where no increase is sufficient. */
  Optional<Change> moreCrossing() {
    return solveByCuttingPlanes(() -> cheapestGrowth(false, true));
  }

  /** More capacity and more crossing; empty only where an origin has no helper left in some case. */
  Optional<Change> moreCapacityAndCrossing() {
    return solveByCuttingPlanes(() -> cheapestGrowth(true, true));
  }

  /** The smallest reduction of the headroom; empty where no reduction is sufficient. */
  Optional<Change> lessHeadroom() {
    return solveByCuttingPlanes(this::highestHeadroom);
  }

  private Optional<Change> solveByCuttingPlanes(Supplier<Change> cheapestChange) {
    Change change = unchanged();
    for (int round = 0; round < MAX_ROUNDS; round++) {
      if (!addCertificates(boundsAfter(change))) {
        return Optional.of(change);
      }
      change = cheapestChange.get();
      if (change == null) {
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  private Change unchanged() {
    return new Change(new double[model.zoneCount()], model.headroom(), model.maxCrossZoneShare(),
        model.maxCrossRegionShare());
  }

  private FlowBounds boundsAfter(Change change) {
    double[] usable = new double[model.zoneCount()];
    for (int zone = 0; zone < usable.length; zone++) {
      usable[zone] = (model.zone(zone).capacity() + change.addedCapacity()[zone]) * (1 - change.headroom());
    }
    return new FlowBounds(usable, change.maxCrossZoneShare(), change.maxCrossRegionShare());
  }

  /** Adds certificates of cases that are infeasible within these bounds; returns whether there was one. */
  private boolean addCertificates(FlowBounds bounds) {
    int countBefore = certificates.size();
    for (boolean[] failed : infeasibleCases) {
      InfeasibilityCertificate certificate = CertificateFinder.strongest(model, bounds, failed);
      if (certificate.shortfall(model, bounds) > model.tolerance()) {
        certificates.add(certificate);
      }
      if (certificates.size() - countBefore == MAX_NEW_CERTIFICATES) {
        break;
      }
    }
    return certificates.size() > countBefore;
  }

  /**
   * The smallest increase that satisfies all certificates, or null where none does. Solved as the dual program, whose
   * feasible starting point is all zeros; the increases are the dual values of its constraints.
   */
  private Change cheapestGrowth(boolean growCapacity, boolean growCrossing) {
    int zoneCount = model.zoneCount();
    double scaledUnit = model.totalDemand() / SCALED_DEMAND;
    LinearProgram program = new LinearProgram(SCALED_DEMAND);
    LinearProgram.Constraint[] prices = new LinearProgram.Constraint[zoneCount + 2];
    Arrays.setAll(prices, i -> program.constraint());
    FlowBounds currentBounds = boundsAfter(unchanged());
    for (InfeasibilityCertificate certificate : certificates) {
      if (!(growCapacity && !InfeasibilityCertificate.nonZero(certificate.zoneShares()).isEmpty())
          && !(growCrossing && certificate.countsCrossings())) {
        return null;
      }
      int variable = program.variable(-certificate.shortfall(model, currentBounds) / scaledUnit);
      for (int zone = 0; growCapacity && zone < zoneCount; zone++) {
        prices[zone].addTerm(variable, certificate.zoneShares()[zone] * (1 - model.headroom()));
      }
      if (growCrossing) {
        prices[zoneCount].addTerm(variable, certificate.zoneCrossingShare());
        prices[zoneCount + 1].addTerm(variable, certificate.regionCrossingShare());
      }
    }
    // A share cannot exceed 1.
    prices[zoneCount].addTerm(program.variable((1 - model.maxCrossZoneShare()) * SCALED_DEMAND), -1);
    prices[zoneCount + 1].addTerm(program.variable((1 - model.maxCrossRegionShare()) * SCALED_DEMAND), -1);
    for (int i = 0; i < prices.length; i++) {
      // Breaks ties in favor of the zone that is first by name.
      prices[i].atMost(i < zoneCount ? 1 + i * 1e-6 : 1);
    }
    double[] growth = program.dualValues();
    return growth == null ? null : roundedUp(Arrays.stream(growth).map(increase -> increase * scaledUnit).toArray());
  }

  private Change roundedUp(double[] growth) {
    int zoneCount = model.zoneCount();
    double totalDemand = model.totalDemand();
    double[] capacity = new double[zoneCount];
    for (int zone = 0; zone < zoneCount; zone++) {
      double steps = (growth[zone] - Math.min(capacityStep() / 20, model.tolerance() / 2)) / capacityStep();
      capacity[zone] = Math.max(0, Math.ceil(steps)) * capacityStep();
    }
    return new Change(capacity, model.headroom(),
        raisedShare(model.maxCrossZoneShare(), growth[zoneCount] / totalDemand),
        raisedShare(model.maxCrossRegionShare(), growth[zoneCount + 1] / totalDemand));
  }

  private static double raisedShare(double share, double increase) {
    return increase < 1e-9 ? share : Math.ceil((share + increase - 1e-9) * SHARE_STEPS) / SHARE_STEPS;
  }

  /** The step in which capacities are reported: 0.001, or a millionth of the demand's order of magnitude if larger. */
  double capacityStep() {
    return Math.max(0.001, Math.pow(10, Math.ceil(Math.log10(model.totalDemand())) - 6));
  }

  /** The highest headroom that satisfies all certificates, or null where none does. */
  private Change highestHeadroom() {
    double headroom = model.headroom();
    FlowBounds boundsWithoutCapacity =
        new FlowBounds(new double[model.zoneCount()], model.maxCrossZoneShare(), model.maxCrossRegionShare());
    for (InfeasibilityCertificate certificate : certificates) {
      double countedCapacity = 0;
      for (int zone = 0; zone < model.zoneCount(); zone++) {
        countedCapacity += model.zone(zone).capacity() * certificate.zoneShares()[zone];
      }
      headroom = Math.min(headroom,
          countedCapacity <= 0 ? -1 : 1 - certificate.shortfall(model, boundsWithoutCapacity) / countedCapacity);
    }
    double roundedHeadroom = Math.floor((headroom + 1e-9) * SHARE_STEPS) / SHARE_STEPS;
    return roundedHeadroom < 0 ? null : new Change(new double[model.zoneCount()], roundedHeadroom,
        model.maxCrossZoneShare(), model.maxCrossRegionShare());
  }
}
