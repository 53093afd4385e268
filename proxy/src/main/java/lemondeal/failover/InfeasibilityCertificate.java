package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;

/**
 * Why a case does not fit, as a certificate that anybody can add up: the demand of some origins is more than the zones
 * that may serve them, and the crossings, let through. It is the dual of the flow's linear program, and holds for other
 * bounds too, so that it also says by how much these must change.
 *
 * @param origin the share, 0 to 1, with which each origin's demand counts
 * @param zone the same of each zone's usable capacity
 * @param crossZones the same of the load that may cross zones
 * @param crossRegions the same of regions
 */
record InfeasibilityCertificate(double[] originShares, double[] zoneShares, double zoneCrossingShare, double regionCrossingShare) {
  boolean countsCrossings() {
    return zoneCrossingShare > 0 || regionCrossingShare > 0;
  }

  /** How much of the demand stays unserved at least under these terms. */
  double shortfall(PolicyModel model, FlowBounds bounds) {
    double sum = 0;
    for (int i = 0; i < originShares.length; i++) {
      sum += model.demand(i) * originShares[i] - bounds.usableCapacity()[i] * zoneShares[i];
    }
    return sum - model.totalDemand() * (bounds.maxCrossZoneShare() * zoneCrossingShare + bounds.maxCrossRegionShare() * regionCrossingShare);
  }

  /** The origins that it counts, or the zones. */
  static List<Integer> nonZero(double[] shares) {
    List<Integer> indexes = new ArrayList<>();
    for (int i = 0; i < shares.length; i++) {
      if (shares[i] > 0) {
        indexes.add(i);
      }
    }
    return indexes;
  }
}
