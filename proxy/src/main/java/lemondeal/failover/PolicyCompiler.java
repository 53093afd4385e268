package lemondeal.failover;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemondeal.operator.Fault;
import lemondeal.operator.FileFaults;

/** From a policy's file to its plan, stage by stage: source, checked model, cases, solved flows, plan. Pure but for the file. */
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

  private static SolvedFlows solve(PolicyModel model, Cases cases) {
    Terms terms = Terms.of(model);
    double[][] normal = null;
    List<double[][]> loads = new ArrayList<>();
    List<FailureCase> broken = new ArrayList<>();
    for (FailureCase failure : cases.all()) {
      double[][] before = normal == null ? wished(model) : normal;
      double[][] flows = new CaseSolver(model, terms, failure.mask(model.size()), before).solve();
      if (flows == null) {
        broken.add(failure);
      } else {
        loads.add(flows);
      }
      normal = normal == null ? flows : normal;
    }
    if (!broken.isEmpty()) {
      List<Fault> told = Refusal.tell(model, broken);
      throw new FileFaults(told);
    }
    return new SolvedFlows(model, cases, loads);
  }

  /** What the policy asks for while nothing fails, whether or not it fits: each origin's first step by its weights. */
  private static double[][] wished(PolicyModel model) {
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
