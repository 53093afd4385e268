package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Finds the flows of one case that move the least load from given baseline flows. It first reassigns only the load of
 * failed zones and leaves all other load in place; no solution can move less. Where that is infeasible, all load may
 * move, and the moved load is minimized. Among solutions that move the same amount, those that use earlier steps of the
 * policy are preferred, and within a step those that fill the zones most evenly by their weights.
 */
final class CaseSolver {
  /**
   * Outweighs any gain in evenness, so that earlier steps are always preferred: an exchange of loads involves each zone
   * at most twice, and there are at most 64 zones.
   */
  private static final double STEP_COST = 1000;

  private final PolicyModel model;
  private final FlowBounds bounds;
  private final boolean[] failed;
  private final double[][] baseline;
  private final double tolerance;

  /** A variable of the linear program: the part of the origin's demand that the zone serves. */
  private record FlowVariable(int origin, int zone, int variable) {}

  /** @param baseline the load by origin and zone from which as little as possible should move */
  CaseSolver(PolicyModel model, FlowBounds bounds, boolean[] failed, double[][] baseline) {
    this.model = model;
    this.bounds = bounds;
    this.failed = failed;
    this.baseline = baseline;
    tolerance = model.tolerance();
  }

  /** The load by origin and zone, or null if infeasible. May share the rows of unaffected origins with the baseline. */
  double[][] solve() {
    double[][] flows = reassignLost();
    return flows != null ? flows : minimizeMovedLoad();
  }

  private double[][] reassignLost() {
    double[][] flows = baseline.clone();
    double[] lostLoads = new double[model.zoneCount()];
    double[] freeCapacity = bounds.usableCapacity().clone();
    double[] crossingLoads = {0, 0};
    for (int origin = 0; origin < model.zoneCount(); origin++) {
      lostLoads[origin] = lostLoad(origin);
      if (lostLoads[origin] > 0) {
        flows[origin] = withoutFailedZones(origin);
      }
      for (int zone = 0; zone < model.zoneCount(); zone++) {
        freeCapacity[zone] -= flows[origin][zone];
        crossingLoads[0] += zone == origin ? 0 : flows[origin][zone];
        crossingLoads[1] += model.crossesRegion(origin, zone) ? flows[origin][zone] : 0;
      }
    }
    for (int zone = 0; zone < model.zoneCount(); zone++) {
      if (!failed[zone] && freeCapacity[zone] < -tolerance) {
        return null;
      }
    }
    double totalDemand = model.totalDemand();
    double zoneCrossingLeft = bounds.maxCrossZoneShare() * totalDemand - crossingLoads[0];
    double regionCrossingLeft = bounds.maxCrossRegionShare() * totalDemand - crossingLoads[1];
    if (zoneCrossingLeft < -tolerance || regionCrossingLeft < -tolerance) {
      return null;
    }
    return assign(flows, lostLoads, freeCapacity, zoneCrossingLeft, regionCrossingLeft);
  }

  private double[][] assign(double[][] flows, double[] lostLoads, double[] freeCapacity, double zoneCrossingLeft,
      double regionCrossingLeft) {
    LinearProgram program = new LinearProgram(model.totalDemand());
    List<FlowVariable> movedFlows = new ArrayList<>();
    for (int origin = 0; origin < model.zoneCount(); origin++) {
      if (lostLoads[origin] > 0) {
        List<FlowVariable> originFlows = addMoveVariables(program, origin, true, STEP_COST);
        if (originFlows.isEmpty()) {
          return null;
        }
        LinearProgram.Constraint total = program.constraint();
        originFlows.forEach(flow -> total.addTerm(flow.variable(), 1));
        total.equalTo(lostLoads[origin]);
        movedFlows.addAll(originFlows);
      }
    }
    if (movedFlows.isEmpty()) {
      return flows;
    }
    addBounds(program, movedFlows, freeCapacity, zoneCrossingLeft, regionCrossingLeft);
    double[] values = program.solve();
    if (values == null) {
      return null;
    }
    movedFlows.forEach(flow -> flows[flow.origin()][flow.zone()] += values[flow.variable()]);
    return flows;
  }

  /** Adds a variable for the load that moves from the origin to each of its available helpers. */
  private List<FlowVariable> addMoveVariables(LinearProgram program, int origin, boolean balanceWithinStep,
      double stepCost) {
    List<FlowVariable> moveFlows = new ArrayList<>();
    List<Helper> helpers = availableHelpers(origin);
    double[] minWeightByStep = new double[8];
    helpers.forEach(helper -> minWeightByStep[helper.step()] =
        minWeightByStep[helper.step()] == 0 ? helper.weight()
        : Math.min(minWeightByStep[helper.step()], helper.weight()));
    // The index of the step's variable plus 1, or 0 while the step has none.
    int[] peakVariableByStep = new int[8];
    for (Helper helper : helpers) {
      int variable = program.variable(stepCost > 0 ? helper.step() * stepCost : 1);
      moveFlows.add(new FlowVariable(origin, helper.zone(), variable));
      if (balanceWithinStep) {
        if (peakVariableByStep[helper.step()] == 0) {
          peakVariableByStep[helper.step()] = program.variable(1) + 1;
        }
        program.constraint().addTerm(variable, minWeightByStep[helper.step()] / helper.weight())
            .addTerm(peakVariableByStep[helper.step()] - 1, -1).atMost(0);
      }
    }
    return moveFlows;
  }

  private List<Helper> availableHelpers(int origin) {
    return model.zone(origin).helpers().stream()
        .filter(helper -> !failed[helper.zone()] && bounds.usableCapacity()[helper.zone()] > 0).toList();
  }

  private void addBounds(LinearProgram program, List<FlowVariable> flows, double[] capacity, double zoneCrossingLimit,
      double regionCrossingLimit) {
    LinearProgram.Constraint[] zoneLoads = new LinearProgram.Constraint[model.zoneCount()];
    LinearProgram.Constraint zoneCrossings = bounds.maxCrossZoneShare() < 1 ? program.constraint() : null;
    LinearProgram.Constraint regionCrossings = bounds.maxCrossRegionShare() < 1 ? program.constraint() : null;
    for (FlowVariable flow : flows) {
      if (zoneLoads[flow.zone()] == null) {
        zoneLoads[flow.zone()] = program.constraint();
      }
      zoneLoads[flow.zone()].addTerm(flow.variable(), 1);
      if (zoneCrossings != null && flow.zone() != flow.origin()) {
        zoneCrossings.addTerm(flow.variable(), 1);
      }
      if (regionCrossings != null && model.crossesRegion(flow.origin(), flow.zone())) {
        regionCrossings.addTerm(flow.variable(), 1);
      }
    }
    for (int zone = 0; zone < zoneLoads.length; zone++) {
      if (zoneLoads[zone] != null) {
        zoneLoads[zone].atMost(Math.max(0, capacity[zone]));
      }
    }
    if (zoneCrossings != null) {
      zoneCrossings.atMost(Math.max(0, zoneCrossingLimit));
    }
    if (regionCrossings != null) {
      regionCrossings.atMost(Math.max(0, regionCrossingLimit));
    }
  }

  private double lostLoad(int origin) {
    double lost = 0;
    for (int zone = 0; zone < model.zoneCount(); zone++) {
      lost += failed[zone] ? baseline[origin][zone] : 0;
    }
    return lost;
  }

  private double[] withoutFailedZones(int origin) {
    double[] row = baseline[origin].clone();
    for (int zone = 0; zone < row.length; zone++) {
      row[zone] = failed[zone] ? 0 : row[zone];
    }
    return row;
  }

  /** Solves twice: for the minimal moved load, then with that limit for the earliest steps and the most even fill. */
  private double[][] minimizeMovedLoad() {
    GlobalProgram minimalMove = new GlobalProgram(false);
    double[] values = minimalMove.program.solve();
    if (values == null) {
      return null;
    }
    double minimalLoad = minimalMove.movedFlows.stream().mapToDouble(flow -> values[flow.variable()]).sum();
    GlobalProgram refined = new GlobalProgram(true);
    LinearProgram.Constraint totalMoved = refined.program.constraint();
    refined.movedFlows.forEach(flow -> totalMoved.addTerm(flow.variable(), 1));
    totalMoved.atMost(minimalLoad + tolerance / 10);
    double[] refinedValues = refined.program.solve();
    return refinedValues == null ? minimalMove.flows(values) : refined.flows(refinedValues);
  }

  /** The linear program in which the load of every origin may move. */
  private final class GlobalProgram {
    private final LinearProgram program = new LinearProgram(model.totalDemand());
    private final List<FlowVariable> keptFlows = new ArrayList<>();
    private final List<FlowVariable> movedFlows = new ArrayList<>();

    GlobalProgram(boolean refine) {
      boolean[] overloaded = overloadedZones();
      for (int origin = 0; origin < model.zoneCount(); origin++) {
        if (model.demand(origin) > 0) {
          addOrigin(origin, refine, overloaded);
        }
      }
      List<FlowVariable> allFlows = new ArrayList<>(keptFlows);
      allFlows.addAll(movedFlows);
      double totalDemand = model.totalDemand();
      addBounds(program, allFlows, bounds.usableCapacity(), bounds.maxCrossZoneShare() * totalDemand,
          bounds.maxCrossRegionShare() * totalDemand);
    }

    private void addOrigin(int origin, boolean refine, boolean[] overloaded) {
      LinearProgram.Constraint total = program.constraint();
      boolean affected = false;
      for (int zone = 0; zone < model.zoneCount(); zone++) {
        affected |= baseline[origin][zone] > 0 && overloaded[zone];
        if (baseline[origin][zone] > 0 && !failed[zone]) {
          keptFlows.add(new FlowVariable(origin, zone, program.variable(0, baseline[origin][zone])));
          total.addTerm(keptFlows.get(keptFlows.size() - 1).variable(), 1);
        }
      }
      for (FlowVariable flow : addMoveVariables(program, origin, refine && affected, refine ? STEP_COST : 0)) {
        movedFlows.add(flow);
        total.addTerm(flow.variable(), 1);
      }
      total.equalTo(model.demand(origin));
    }

    private boolean[] overloadedZones() {
      boolean[] overloaded = failed.clone();
      for (int zone = 0; zone < overloaded.length; zone++) {
        double load = 0;
        for (double[] row : baseline) {
          load += row[zone];
        }
        overloaded[zone] |= load > bounds.usableCapacity()[zone] + tolerance;
      }
      return overloaded;
    }

    double[][] flows(double[] values) {
      double[][] flows = new double[model.zoneCount()][model.zoneCount()];
      keptFlows.forEach(flow -> flows[flow.origin()][flow.zone()] += values[flow.variable()]);
      movedFlows.forEach(flow -> flows[flow.origin()][flow.zone()] += values[flow.variable()]);
      return flows;
    }
  }
}
