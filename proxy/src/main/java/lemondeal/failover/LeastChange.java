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
  private static final int MOST_ROUNDS = 200;
  private static final int MOST_AT_ONCE = 64;
  /** What the whole demand is in the programs here. */
  private static final double UNITS = 1000;
  /** Shares and headroom are told in steps of a ten-thousandth. */
  private static final double STEPS = 10_000;

  /**
   * A change.
   *
   * @param capacity what each zone's capacity grows by
   * @param headroom the new headroom
   * @param zoneShare the new share that may cross zones
   * @param regionShare the same of regions
   */
  record Change(double[] capacity, double headroom, double zoneShare, double regionShare) {}

  private final PolicyModel model;
  private final List<boolean[]> broken;
  private final List<Cut> cuts = new ArrayList<>();

  LeastChange(PolicyModel model, List<FailureCase> broken) {
    this.model = model;
    this.broken = broken.stream().map(failure -> failure.mask(model.size())).toList();
  }

  /** More capacity, the sum of it as little as can be; empty where none would do. */
  Optional<Change> capacity() {
    return settle(() -> grown(true, false));
  }

  /** More that may cross. */
  Optional<Change> crossing() {
    return settle(() -> grown(false, true));
  }

  /** Both; empty only where somebody has nobody left to serve it. */
  Optional<Change> both() {
    return settle(() -> grown(true, true));
  }

  /** Less headroom. */
  Optional<Change> headroom() {
    return settle(this::lowered);
  }

  private Optional<Change> settle(Supplier<Change> least) {
    Change change = unchanged();
    for (int round = 0; round < MOST_ROUNDS; round++) {
      if (!gather(terms(change))) {
        return Optional.of(change);
      }
      change = least.get();
      if (change == null) {
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  private Change unchanged() {
    return new Change(new double[model.size()], model.headroom(), model.zoneShare(), model.regionShare());
  }

  private Terms terms(Change change) {
    double[] usable = new double[model.size()];
    for (int z = 0; z < usable.length; z++) {
      usable[z] = (model.zone(z).capacity() + change.capacity()[z]) * (1 - change.headroom());
    }
    return new Terms(usable, change.zoneShare(), change.regionShare());
  }

  /** Adds certificates of cases that are broken under these terms; whether there was one. */
  private boolean gather(Terms terms) {
    int before = cuts.size();
    for (boolean[] failed : broken) {
      Cut cut = Bottleneck.strongest(model, terms, failed);
      if (cut.shortfall(model, terms) > model.noise()) {
        cuts.add(cut);
      }
      if (cuts.size() - before == MOST_AT_ONCE) {
        break;
      }
    }
    return cuts.size() > before;
  }

  /**
   * The cheapest growth that satisfies all certificates, or null where none does. Solved the other way round, as what
   * the certificates can ask for at these prices: that has a start that fits, and the growth is what its bounds are
   * worth.
   */
  private Change grown(boolean capacities, boolean crossings) {
    int size = model.size();
    double unit = model.wholeDemand() / UNITS;
    Program program = new Program(UNITS);
    Program.Row[] price = new Program.Row[size + 2];
    Arrays.setAll(price, i -> program.row());
    Terms now = terms(unchanged());
    for (Cut cut : cuts) {
      if (!(capacities && !Cut.counted(cut.zone()).isEmpty()) && !(crossings && cut.crosses())) {
        return null;
      }
      int asked = program.variable(-cut.shortfall(model, now) / unit);
      for (int z = 0; capacities && z < size; z++) {
        price[z].with(asked, cut.zone()[z] * (1 - model.headroom()));
      }
      if (crossings) {
        price[size].with(asked, cut.crossZones());
        price[size + 1].with(asked, cut.crossRegions());
      }
    }
    // No share grows above 1.
    price[size].with(program.variable((1 - model.zoneShare()) * UNITS), -1);
    price[size + 1].with(program.variable((1 - model.regionShare()) * UNITS), -1);
    for (int i = 0; i < price.length; i++) {
      // Where it does not matter, the zone that stands first by name.
      price[i].most(i < size ? 1 + i * 1e-6 : 1);
    }
    double[] growth = program.worth();
    return growth == null ? null : rounded(Arrays.stream(growth).map(more -> more * unit).toArray());
  }

  private Change rounded(double[] growth) {
    int size = model.size();
    double whole = model.wholeDemand();
    double[] capacity = new double[size];
    for (int z = 0; z < size; z++) {
      double grains = (growth[z] - Math.min(grain() / 20, model.noise() / 2)) / grain();
      capacity[z] = Math.max(0, Math.ceil(grains)) * grain();
    }
    return new Change(capacity, model.headroom(), raised(model.zoneShare(), growth[size] / whole),
        raised(model.regionShare(), growth[size + 1] / whole));
  }

  private static double raised(double share, double by) {
    return by < 1e-9 ? share : Math.ceil((share + by - 1e-9) * STEPS) / STEPS;
  }

  /** In which steps capacities are told: a thousandth, or a millionth of the demand's order of magnitude. */
  double grain() {
    return Math.max(0.001, Math.pow(10, Math.ceil(Math.log10(model.wholeDemand())) - 6));
  }

  /** The highest headroom that satisfies all certificates, or null where none does. */
  private Change lowered() {
    double headroom = model.headroom();
    Terms bare = new Terms(new double[model.size()], model.zoneShare(), model.regionShare());
    for (Cut cut : cuts) {
      double borne = 0;
      for (int z = 0; z < model.size(); z++) {
        borne += model.zone(z).capacity() * cut.zone()[z];
      }
      headroom = Math.min(headroom, borne <= 0 ? -1 : 1 - cut.shortfall(model, bare) / borne);
    }
    double told = Math.floor((headroom + 1e-9) * STEPS) / STEPS;
    return told < 0 ? null : new Change(new double[model.size()], told, model.zoneShare(), model.regionShare());
  }
}
