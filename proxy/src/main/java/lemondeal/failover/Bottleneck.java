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
final class Bottleneck {
  /** On top of each bound, also of 0, so that it is worth something only where it says something. */
  private static final double PREFERENCE = 1e-9;
  private static final double BREVITY = 1e-5;
  /** Shares below are a solver's noise. */
  private static final double NONE = 1e-6;

  private final PolicyModel model;
  private final Terms terms;
  private final boolean[] failed;
  private final int size;

  private Bottleneck(PolicyModel model, Terms terms, boolean[] failed) {
    this.model = model;
    this.terms = terms;
    this.failed = failed;
    size = model.size();
  }

  /** The strongest certificate; its shortfall is 0 where the case fits. */
  static Cut strongest(PolicyModel model, Terms terms, boolean[] failed) {
    return new Bottleneck(model, terms, failed).cut(PREFERENCE);
  }

  /** The shortest certificate, for people: of those that say about the same the one that counts the fewest zones. */
  static Cut shortest(PolicyModel model, Terms terms, boolean[] failed) {
    Bottleneck bottleneck = new Bottleneck(model, terms, failed);
    Cut shortest = bottleneck.cut(BREVITY);
    return shortest.shortfall(model, terms) > model.noise() ? shortest : bottleneck.cut(PREFERENCE);
  }

  /** @param each what is added to the bound of each zone and crossing, as a share of the whole demand */
  private Cut cut(double each) {
    double whole = model.wholeDemand();
    Program program = new Program(whole);
    Program.Row[] into = new Program.Row[size];
    Arrays.setAll(into, zone -> program.row());
    Program.Row crossZones = program.row();
    Program.Row crossRegions = program.row();
    for (int o = 0; o < size; o++) {
      Program.Row from = program.row();
      for (Helper helper : live(o)) {
        int load = program.variable(-1);
        from.with(load, 1);
        into[helper.zone()].with(load, 1);
        if (helper.zone() != o) {
          crossZones.with(load, 1);
        }
        if (model.crossesRegion(o, helper.zone())) {
          crossRegions.with(load, 1);
        }
      }
      from.most(model.demand(o) + PREFERENCE * whole);
    }
    for (int z = 0; z < size; z++) {
      into[z].most(terms.usable()[z] + each * whole);
    }
    crossZones.most((terms.zoneShare() + each) * whole);
    crossRegions.most((terms.regionShare() + each) * whole);
    double[] worth = program.worth();
    if (worth == null) {
      throw new IllegalStateException("the solver found no largest flow, though every flow is bounded");
    }
    return counted(worth);
  }

  private List<Helper> live(int origin) {
    return model.demand(origin) == 0 ? List.of()
        : model.zone(origin).helpers().stream().filter(helper -> !failed[helper.zone()]).toList();
  }

  /** @param worth of zones, of what crosses zones and of what crosses regions, then of origins, which is passed over */
  private Cut counted(double[] worth) {
    double[] zones = new double[size];
    Arrays.setAll(zones, zone -> clean(worth[zone]));
    double crossZones = clean(worth[size]);
    double crossRegions = clean(worth[size + 1]);
    double[] origins = new double[size];
    for (int o = 0; o < size; o++) {
      double least = model.demand(o) == 0 ? 0 : 1;
      for (Helper helper : live(o)) {
        least = Math.min(least, zones[helper.zone()] + (helper.zone() == o ? 0 : crossZones)
            + (model.crossesRegion(o, helper.zone()) ? crossRegions : 0));
      }
      origins[o] = clean(least);
    }
    return new Cut(origins, zones, crossZones, crossRegions);
  }

  private static double clean(double share) {
    double rounded = Math.rint(share);
    return Math.abs(share - rounded) < NONE ? Math.abs(rounded) : Math.max(0, share);
  }
}
