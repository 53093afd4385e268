package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Why a case does not fit, as a certificate that anybody can add up: the demand of some origins is more than the zones that
 * may serve them, and the crossings, let through. It is the dual of the flow's linear program, and holds for other bounds
 * too, so that it also says by how much these must change.
 *
 * @param origin the share, 0 to 1, with which each origin's demand counts
 * @param zone the same of each zone's usable capacity
 * @param crossZones the same of the load that may cross zones
 * @param crossRegions the same of regions
 */
record Cut(double[] origin, double[] zone, double crossZones, double crossRegions) {
  /** Shares below are a solver's noise. */
  private static final double NONE = 1e-6;
  /** On top of each bound, also of 0: a share that costs nothing could be taken where it says nothing. */
  private static final double PREFERENCE = 1e-6;
  private static final double BREVITY = 1e-2;

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

  /**
   * The strongest certificate for a case; its shortfall is 0 where the case fits. Each pair of an origin and a zone that
   * may serve it is covered by one of them, or by what bounds their crossing, at the least cost: what is not counted of an
   * origin's demand counts as served. All costs are positive, so that the solver starts from a cover that it can mend.
   */
  static Cut of(PolicyModel model, Terms terms, boolean[] failed) {
    return of(model, terms, failed, PREFERENCE);
  }

  /** The shortest certificate, for people: of those that say about the same the one that counts the fewest zones. */
  static Cut shortest(PolicyModel model, Terms terms, boolean[] failed) {
    Cut shortest = of(model, terms, failed, BREVITY);
    return shortest.shortfall(model, terms) > model.noise() ? shortest : of(model, terms, failed);
  }

  private static Cut of(PolicyModel model, Terms terms, boolean[] failed, double each) {
    int size = model.size();
    double whole = model.wholeDemand();
    Program program = new Program(1);
    int[] waived = new int[size];
    int[] zones = new int[size];
    for (int i = 0; i < size; i++) {
      waived[i] = program.variable(model.demand(i) / whole * 1000 + PREFERENCE);
      zones[i] = program.variable(terms.usable()[i] / whole * 1000 + each);
    }
    int crossZones = program.variable(terms.zoneShare() * 1000 + each);
    int crossRegions = program.variable(terms.regionShare() * 1000 + each);
    for (int o = 0; o < size; o++) {
      for (PolicyModel.Helper helper : model.zone(o).helpers()) {
        if (!failed[helper.zone()] && model.demand(o) > 0) {
          Program.Row row = program.row().with(waived[o], -1).with(zones[helper.zone()], -1);
          if (helper.zone() != o) {
            row.with(crossZones, -1);
          }
          if (model.crossesRegion(o, helper.zone())) {
            row.with(crossRegions, -1);
          }
          row.most(-1);
        }
      }
    }
    double[] values = program.solve();
    if (values == null) {
      throw new IllegalStateException("the solver found no certificate, though to waive all demand is one");
    }
    double[] origins = pick(values, waived);
    for (int o = 0; o < size; o++) {
      origins[o] = model.demand(o) > 0 ? Math.max(0, 1 - origins[o]) : 0;
    }
    return new Cut(origins, pick(values, zones), clean(values[crossZones]), clean(values[crossRegions]));
  }

  private static double[] pick(double[] values, int[] which) {
    return Arrays.stream(which).mapToDouble(variable -> clean(values[variable])).toArray();
  }

  private static double clean(double share) {
    double rounded = Math.rint(share);
    return Math.abs(share - rounded) < NONE ? rounded : share;
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
