package lemondeal.failover;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lemondeal.operator.InvalidFileException;

/**
 * Compiles a policy file to a plan in stages: source, checked model, failure cases, solved flows, plan. Has no side
 * effects and reads nothing but the file.
 */
public final class PolicyCompiler {
  private PolicyCompiler() {}

  /** The plan; throws {@link InvalidFileException} for a file that is invalid, inconsistent or infeasible. */
  public static Plan compile(Path file, Measurements measurements) {
    return compile(PolicyReader.read(file), measurements);
  }

  /** As {@link #compile(Path, Measurements)}, for a policy read earlier, such as with new measurements. */
  public static Plan compile(PolicySource source, Measurements measurements) {
    PolicyModel model = PolicyModelBuilder.build(source, measurements);
    return PlanBuilder.build(solve(model, FailureCaseEnumerator.enumerate(source, model)));
  }

  static SolvedFlows solve(PolicyModel model, FailureCases cases) {
    SolveResult result = trySolve(model, cases);
    if (!result.infeasible().isEmpty()) {
      throw new InvalidFileException(new InfeasibilityReport(model, result.infeasible()).faults());
    }
    return new SolvedFlows(model, cases, result.loads());
  }

  /** The loads of the feasible cases, and the infeasible cases. */
  record SolveResult(List<double[][]> loads, List<FailureCase> infeasible) {}

  static SolveResult trySolve(PolicyModel model, FailureCases cases) {
    FlowBounds bounds = FlowBounds.of(model);
    double[][] normalFlows = null;
    SolveResult result = new SolveResult(new ArrayList<>(), new ArrayList<>());
    for (FailureCase failure : cases.all()) {
      double[][] baseline = normalFlows == null ? preferredFlows(model) : normalFlows;
      double[][] flows = solveCase(model, bounds, failure.mask(model.zoneCount()), baseline);
      if (flows == null) {
        result.infeasible().add(failure);
      } else {
        result.loads().add(flows);
      }
      normalFlows = normalFlows == null ? flows : normalFlows;
    }
    return result;
  }

  /**
   * Null only where a certificate proves it. Where the solver fails without one, a bound is met exactly up to numerical
   * noise, and it solves again with slightly wider bounds.
   */
  private static double[][] solveCase(PolicyModel model, FlowBounds bounds, boolean[] failed, double[][] baseline) {
    double[][] flows = new CaseSolver(model, bounds, failed, baseline).solve();
    if (flows != null || CertificateFinder.strongest(model, bounds, failed).shortfall(model, bounds)
        > model.tolerance()) {
      return flows;
    }
    double slack = 1.5 * model.tolerance() / model.totalDemand();
    double[] widenedCapacity =
        Arrays.stream(bounds.usableCapacity()).map(load -> load + slack * model.totalDemand()).toArray();
    return new CaseSolver(model, new FlowBounds(widenedCapacity, bounds.maxCrossZoneShare() + slack,
        bounds.maxCrossRegionShare() + slack), failed, baseline).solve();
  }

  /** The flows that the policy prefers without failures, feasible or not: each origin's first step by its weights. */
  static double[][] preferredFlows(PolicyModel model) {
    double[][] loads = new double[model.zoneCount()][model.zoneCount()];
    for (int index = 0; index < model.zoneCount(); index++) {
      int origin = index;
      double totalWeight = model.zone(index).helpers().stream().filter(helper -> helper.step() == 0)
          .mapToDouble(PolicyModel.Helper::weight).sum();
      model.zone(index).helpers().stream().filter(helper -> helper.step() == 0)
          .forEach(helper -> loads[origin][helper.zone()] = model.demand(origin) * helper.weight() / totalWeight);
    }
    return loads;
  }
}
