package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The least change with which all cases hold, of one kind or of all. Certificates of the broken cases are gathered
 * until the least change that satisfies them all leaves no case broken (cutting planes): it is then the least, since no
 * smaller one satisfies even these. Only cases that are broken as things stand are looked at, as a change never breaks
 * another.
 */
final class LeastChange {
  private static final int MAX_ROUNDS = 200;
  private static final int MAX_NEW_CERTIFICATES = 64;
  /** What the whole demand is in the programs here. */
  private static final double SCALED_DEMAND = 1000;
  /** Shares and headroom are told in steps of a ten-thousandth. */
  private static final double SHARE_STEPS = 10_000;

  /**
   * A change.
   *
   * @param capacity what each zone's capacity grows by
   * @param headroom the new headroom
   * @param zoneShare the new share that may cross zones
   * @param regionShare the same of regions
   */
  record Change(double[] addedCapacity, double headroom, double maxCrossZoneShare, double maxCrossRegionShare) {}

  private final PolicyModel model;
  private final List<boolean[]> infeasibleCases;
  private final List<InfeasibilityCertificate> certificates = new ArrayList<>();

  LeastChange(PolicyModel model, List<FailureCase> infeasible) {
    this.model = model;
    this.infeasibleCases = infeasible.stream().map(failure -> failure.mask(model.zoneCount())).toList();
  }

  /** More capacity, the sum of it as little as can be; empty where none would do. */
  Optional<Change> moreCapacity() {
    return solveByCuttingPlanes(() -> cheapestGrowth(true, false));
  }

  /** More that may cross. */
  Optional<Change> moreCrossing() {
    return solveByCuttingPlanes(() -> cheapestGrowth(false, true));
  }

  /** Both; empty only where somebody has nobody left to serve it. */
  Optional<Change> moreCapacityAndCrossing() {
    return solveByCuttingPlanes(() -> cheapestGrowth(true, true));
  }

  /** Less headroom. */
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
    return new Change(new double[model.zoneCount()], model.headroom(), model.maxCrossZoneShare(), model.maxCrossRegionShare());
  }

  private FlowBounds boundsAfter(Change change) {
    double[] usable = new double[model.zoneCount()];
    for (int zone = 0; zone < usable.length; zone++) {
      usable[zone] = (model.zone(zone).capacity() + change.addedCapacity()[zone]) * (1 - change.headroom());
    }
    return new FlowBounds(usable, change.maxCrossZoneShare(), change.maxCrossRegionShare());
  }

  /** Adds certificates of cases that are broken under these terms; whether there was one. */
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
   * The cheapest growth that satisfies all certificates, or null where none does. Solved the other way round, as what
   * the certificates can ask for at these prices: that has a start that fits, and the growth is what its bounds are
   * worth.
   */
  private Change cheapestGrowth(boolean growCapacity, boolean growCrossing) {
    int zoneCount = model.zoneCount();
    double scaledUnit = model.totalDemand() / SCALED_DEMAND;
    LinearProgram program = new LinearProgram(SCALED_DEMAND);
    LinearProgram.Constraint[] prices = new LinearProgram.Constraint[zoneCount + 2];
    Arrays.setAll(prices, i -> program.constraint());
    FlowBounds currentBounds = boundsAfter(unchanged());
    for (InfeasibilityCertificate certificate : certificates) {
      if (!(growCapacity && !InfeasibilityCertificate.nonZero(certificate.zoneShares()).isEmpty()) && !(growCrossing && certificate.countsCrossings())) {
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
    // No share grows above 1.
    prices[zoneCount].addTerm(program.variable((1 - model.maxCrossZoneShare()) * SCALED_DEMAND), -1);
    prices[zoneCount + 1].addTerm(program.variable((1 - model.maxCrossRegionShare()) * SCALED_DEMAND), -1);
    for (int i = 0; i < prices.length; i++) {
      // Where it does not matter, the zone that stands first by name.
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
    return new Change(capacity, model.headroom(), raisedShare(model.maxCrossZoneShare(), growth[zoneCount] / totalDemand),
        raisedShare(model.maxCrossRegionShare(), growth[zoneCount + 1] / totalDemand));
  }

  private static double raisedShare(double share, double increase) {
    return increase < 1e-9 ? share : Math.ceil((share + increase - 1e-9) * SHARE_STEPS) / SHARE_STEPS;
  }

  /** In which steps capacities are told: a thousandth, or a millionth of the demand's order of magnitude. */
  double capacityStep() {
    return Math.max(0.001, Math.pow(10, Math.ceil(Math.log10(model.totalDemand())) - 6));
  }

  /** The highest headroom that satisfies all certificates, or null where none does. */
  private Change highestHeadroom() {
    double headroom = model.headroom();
    FlowBounds boundsWithoutCapacity = new FlowBounds(new double[model.zoneCount()], model.maxCrossZoneShare(), model.maxCrossRegionShare());
    for (InfeasibilityCertificate certificate : certificates) {
      double countedCapacity = 0;
      for (int zone = 0; zone < model.zoneCount(); zone++) {
        countedCapacity += model.zone(zone).capacity() * certificate.zoneShares()[zone];
      }
      headroom = Math.min(headroom, countedCapacity <= 0 ? -1 : 1 - certificate.shortfall(model, boundsWithoutCapacity) / countedCapacity);
    }
    double roundedHeadroom = Math.floor((headroom + 1e-9) * SHARE_STEPS) / SHARE_STEPS;
    return roundedHeadroom < 0 ? null : new Change(new double[model.zoneCount()], roundedHeadroom, model.maxCrossZoneShare(), model.maxCrossRegionShare());
  }
}
