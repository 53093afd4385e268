package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;

/**
 * Proves that a case is infeasible by sums that can be checked by hand: the demand of some origins exceeds the capacity
 * of the zones that may serve them plus what may cross. It is a solution of the dual of the flow's linear program. It
 * remains valid for other bounds, and so also shows by how much the bounds must change.
 *
 * @param originShares the share, 0 to 1, with which each origin's demand counts
 * @param zoneShares the share with which each zone's usable capacity counts
 * @param zoneCrossingShare the share with which the limit on load that crosses zones counts
 * @param regionCrossingShare the share with which the limit on load that crosses regions counts
 */
record InfeasibilityCertificate(double[] originShares, double[] zoneShares, double zoneCrossingShare,
    double regionCrossingShare) {
  boolean countsCrossings() {
    return zoneCrossingShare > 0 || regionCrossingShare > 0;
  }

  /** A lower bound on the demand that cannot be served within these bounds. */
  double shortfall(PolicyModel model, FlowBounds bounds) {
    double sum = 0;
    for (int i = 0; i < originShares.length; i++) {
      sum += model.demand(i) * originShares[i] - bounds.usableCapacity()[i] * zoneShares[i];
    }
    return sum - model.totalDemand()
        * (bounds.maxCrossZoneShare() * zoneCrossingShare + bounds.maxCrossRegionShare() * regionCrossingShare);
  }

  /** The indexes of the origins or zones that count. */
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
