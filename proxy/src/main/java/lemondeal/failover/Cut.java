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
record Cut(double[] origin, double[] zone, double crossZones, double crossRegions) {
  boolean crosses() {
    return crossZones > 0 || crossRegions > 0;
  }

  /** How much of the demand stays unserved at least under these terms. */
  double shortfall(PolicyModel model, Terms terms) {
    double sum = 0;
    for (int i = 0; i < origin.length; i++) {
      sum += model.demand(i) * origin[i] - terms.usable()[i] * zone[i];
    }
    return sum - model.wholeDemand() * (terms.zoneShare() * crossZones + terms.regionShare() * crossRegions);
  }

  /** The origins that it counts, or the zones. */
  static List<Integer> counted(double[] shares) {
    List<Integer> counted = new ArrayList<>();
    for (int i = 0; i < shares.length; i++) {
      if (shares[i] > 0) {
        counted.add(i);
      }
    }
    return counted;
  }
}
