package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Finds for one case the flows that move least from given ones. First what is lost alone is placed anew, all else left
 * where it is: nothing can move less. Where that does not fit, all may move, the least of it that helps. Among flows
 * that move alike those of earlier steps are taken, and within a step those that fill the zones most evenly by their
 * weights.
 */
final class CaseSolver {
  /** An earlier step goes before any evenness: an exchange of loads touches each zone twice at most, 64 zones. */
  private static final double STEP_COST = 1000;

  private final PolicyModel model;
  private final Terms terms;
  private final boolean[] failed;
  private final double[][] before;
  private final double noise;

  /** A load of the program: what of the origin's demand goes to the zone. */
  private record Load(int origin, int zone, int variable) {}

  /** @param before the load by origin and zone from which as little as possible is to move */
  CaseSolver(PolicyModel model, Terms terms, boolean[] failed, double[][] before) {
    this.model = model;
    this.terms = terms;
    this.failed = failed;
    this.before = before;
    noise = model.noise();
  }

  /** The load by origin and zone, or null where the demand does not fit. Rows that stay are those of {@code before}. */
  double[][] solve() {
    double[][] flows = placeLost();
    return flows != null ? flows : moveLeast();
  }

  private double[][] placeLost() {
    double[][] flows = before.clone();
    double[] lost = new double[model.size()];
    double[] room = terms.usable().clone();
    double[] crossing = {0, 0};
    for (int o = 0; o < model.size(); o++) {
      lost[o] = lost(o);
      if (lost[o] > 0) {
        flows[o] = kept(o);
      }
      for (int z = 0; z < model.size(); z++) {
        room[z] -= flows[o][z];
        crossing[0] += z == o ? 0 : flows[o][z];
        crossing[1] += model.crossesRegion(o, z) ? flows[o][z] : 0;
      }
    }
    for (int z = 0; z < model.size(); z++) {
      if (!failed[z] && room[z] < -noise) {
        return null;
      }
    }
    double whole = model.wholeDemand();
    double zones = terms.zoneShare() * whole - crossing[0];
    double regions = terms.regionShare() * whole - crossing[1];
    if (zones < -noise || regions < -noise) {
      return null;
    }
    return place(flows, lost, room, zones, regions);
  }

  private double[][] place(double[][] flows, double[] lost, double[] room, double zones, double regions) {
    Program program = new Program(model.wholeDemand());
    List<Load> moved = new ArrayList<>();
    for (int o = 0; o < model.size(); o++) {
      if (lost[o] > 0) {
        List<Load> loads = moved(program, o, true, STEP_COST);
        if (loads.isEmpty()) {
          return null;
        }
        Program.Row all = program.row();
        loads.forEach(load -> all.with(load.variable(), 1));
        all.exactly(lost[o]);
        moved.addAll(loads);
      }
    }
    if (moved.isEmpty()) {
      return flows;
    }
    bound(program, moved, room, zones, regions);
    double[] values = program.solve();
    if (values == null) {
      return null;
    }
    moved.forEach(load -> flows[load.origin()][load.zone()] += values[load.variable()]);
    return flows;
  }

  /** Variables of what moves from an origin to each zone that may serve it now. */
  private List<Load> moved(Program program, int origin, boolean evenly, double stepCost) {
    List<Load> loads = new ArrayList<>();
    List<Helper> helpers = live(origin);
    double[] lightest = new double[8];
    helpers.forEach(helper -> lightest[helper.step()] =
        lightest[helper.step()] == 0 ? helper.weight() : Math.min(lightest[helper.step()], helper.weight()));
    int[] fullest = new int[8];
    for (Helper helper : helpers) {
      int variable = program.variable(stepCost > 0 ? helper.step() * stepCost : 1);
      loads.add(new Load(origin, helper.zone(), variable));
      if (evenly) {
        if (fullest[helper.step()] == 0) {
          fullest[helper.step()] = program.variable(1) + 1;
        }
        program.row().with(variable, lightest[helper.step()] / helper.weight())
            .with(fullest[helper.step()] - 1, -1).most(0);
      }
    }
    return loads;
  }

  private List<Helper> live(int origin) {
    return model.zone(origin).helpers().stream()
        .filter(helper -> !failed[helper.zone()] && terms.usable()[helper.zone()] > 0).toList();
  }

  private void bound(Program program, List<Load> loads, double[] room, double zones, double regions) {
    Program.Row[] into = new Program.Row[model.size()];
    Program.Row crossZones = terms.zoneShare() < 1 ? program.row() : null;
    Program.Row crossRegions = terms.regionShare() < 1 ? program.row() : null;
    for (Load load : loads) {
      if (into[load.zone()] == null) {
        into[load.zone()] = program.row();
      }
      into[load.zone()].with(load.variable(), 1);
      if (crossZones != null && load.zone() != load.origin()) {
        crossZones.with(load.variable(), 1);
      }
      if (crossRegions != null && model.crossesRegion(load.origin(), load.zone())) {
        crossRegions.with(load.variable(), 1);
      }
    }
    for (int z = 0; z < into.length; z++) {
      if (into[z] != null) {
        into[z].most(Math.max(0, room[z]));
      }
    }
    if (crossZones != null) {
      crossZones.most(Math.max(0, zones));
    }
    if (crossRegions != null) {
      crossRegions.most(Math.max(0, regions));
    }
  }

  private double lost(int origin) {
    double lost = 0;
    for (int z = 0; z < model.size(); z++) {
      lost += failed[z] ? before[origin][z] : 0;
    }
    return lost;
  }

  private double[] kept(int origin) {
    double[] row = before[origin].clone();
    for (int z = 0; z < row.length; z++) {
      row[z] = failed[z] ? 0 : row[z];
    }
    return row;
  }

  /** Two programs: how little must move, and then with no more than that the earliest and most even steps. */
  private double[][] moveLeast() {
    Everything least = new Everything(false);
    double[] values = least.program.solve();
    if (values == null) {
      return null;
    }
    double must = least.moved.stream().mapToDouble(load -> values[load.variable()]).sum();
    Everything best = new Everything(true);
    Program.Row all = best.program.row();
    best.moved.forEach(load -> all.with(load.variable(), 1));
    all.most(must + noise / 10);
    double[] chosen = best.program.solve();
    return chosen == null ? least.flows(values) : best.flows(chosen);
  }

  /** The program in which every origin may move. */
  private final class Everything {
    private final Program program = new Program(model.wholeDemand());
    private final List<Load> kept = new ArrayList<>();
    private final List<Load> moved = new ArrayList<>();

    Everything(boolean choose) {
      boolean[] over = overfull();
      for (int o = 0; o < model.size(); o++) {
        if (model.demand(o) > 0) {
          origin(o, choose, over);
        }
      }
      List<Load> all = new ArrayList<>(kept);
      all.addAll(moved);
      double whole = model.wholeDemand();
      bound(program, all, terms.usable(), terms.zoneShare() * whole, terms.regionShare() * whole);
    }

    private void origin(int o, boolean choose, boolean[] over) {
      Program.Row all = program.row();
      boolean hit = false;
      for (int z = 0; z < model.size(); z++) {
        hit |= before[o][z] > 0 && over[z];
        if (before[o][z] > 0 && !failed[z]) {
          kept.add(new Load(o, z, program.variable(0, before[o][z])));
          all.with(kept.get(kept.size() - 1).variable(), 1);
        }
      }
      for (Load load : moved(program, o, choose && hit, choose ? STEP_COST : 0)) {
        moved.add(load);
        all.with(load.variable(), 1);
      }
      all.exactly(model.demand(o));
    }

    private boolean[] overfull() {
      boolean[] over = failed.clone();
      for (int z = 0; z < over.length; z++) {
        double load = 0;
        for (double[] row : before) {
          load += row[z];
        }
        over[z] |= load > terms.usable()[z] + noise;
      }
      return over;
    }

    double[][] flows(double[] values) {
      double[][] flows = new double[model.size()][model.size()];
      kept.forEach(load -> flows[load.origin()][load.zone()] += values[load.variable()]);
      moved.forEach(load -> flows[load.origin()][load.zone()] += values[load.variable()]);
      return flows;
    }
  }
}
