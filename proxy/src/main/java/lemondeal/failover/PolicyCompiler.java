package lemondeal.failover;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lemondeal.operator.FileFaults;

/**
 * From a policy's file to its plan, stage by stage: source, checked model, cases, solved flows, plan. Pure but for the
 * file.
 */
public final class PolicyCompiler {
  private PolicyCompiler() {}

  /** The plan; throws {@link FileFaults} for a file that is none, contradicts itself or cannot hold. */
  public static Plan compile(Path file, Measured measured) {
    return compile(SourceReader.read(file), measured);
  }

  /** As {@link #compile(Path, Measured)}, of a policy that was read before: what was measured may have changed. */
  public static Plan compile(PolicySource source, Measured measured) {
    PolicyModel model = ModelMaker.make(source, measured);
    return PlanMaker.make(solve(model, CaseMaker.make(source, model)));
  }

  static SolvedFlows solve(PolicyModel model, Cases cases) {
    Attempt attempt = attempt(model, cases);
    if (!attempt.broken().isEmpty()) {
      throw new FileFaults(new Refusal(model, attempt.broken()).faults());
    }
    return new SolvedFlows(model, cases, attempt.loads());
  }

  /** What came of all cases: the loads of those that hold, and those that do not. */
  record Attempt(List<double[][]> loads, List<FailureCase> broken) {}

  static Attempt attempt(PolicyModel model, Cases cases) {
    Terms terms = Terms.of(model);
    double[][] normal = null;
    Attempt attempt = new Attempt(new ArrayList<>(), new ArrayList<>());
    for (FailureCase failure : cases.all()) {
      double[][] before = normal == null ? wished(model) : normal;
      double[][] flows = flows(model, terms, failure.mask(model.size()), before);
      if (flows == null) {
        attempt.broken().add(failure);
      } else {
        attempt.loads().add(flows);
      }
      normal = normal == null ? flows : normal;
    }
    return attempt;
  }

  /** Null only where a certificate says so: a bound that is met to the last digit is met. */
  private static double[][] flows(PolicyModel model, Terms terms, boolean[] failed, double[][] before) {
    double[][] flows = new CaseSolver(model, terms, failed, before).solve();
    if (flows != null || Bottleneck.strongest(model, terms, failed).shortfall(model, terms) > model.noise()) {
      return flows;
    }
    double slack = 1.5 * model.noise() / model.wholeDemand();
    double[] wider = Arrays.stream(terms.usable()).map(load -> load + slack * model.wholeDemand()).toArray();
    return new CaseSolver(model, new Terms(wider, terms.zoneShare() + slack, terms.regionShare() + slack), failed,
        before).solve();
  }

  /** What the policy asks for while nothing fails, whether or not it fits: each origin's first step by its weights. */
  static double[][] wished(PolicyModel model) {
    double[][] loads = new double[model.size()][model.size()];
    for (int o = 0; o < model.size(); o++) {
      int origin = o;
      double sum = model.zone(o).helpers().stream().filter(helper -> helper.step() == 0)
          .mapToDouble(PolicyModel.Helper::weight).sum();
      model.zone(o).helpers().stream().filter(helper -> helper.step() == 0)
          .forEach(helper -> loads[origin][helper.zone()] = model.demand(origin) * helper.weight() / sum);
    }
    return loads;
  }
}
