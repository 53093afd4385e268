package lemondeal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondeal.failover.Measurements;
import lemondeal.failover.Plan;
import lemondeal.failover.PlanCodec;
import lemondeal.failover.PolicyCompiler;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code compile-policy}: compiles a failover policy to a plan, or reports why it is infeasible. */
@Command(name = "compile-policy", mixinStandardHelpOptions = true,
    description = "Check a failover policy against every failure that it must survive, and write its plan.")
final class CompilePolicy implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "The policy (YAML).")
  private Path file;

  @Option(names = "--out", paramLabel = "PLAN",
      description = "The file to write the plan to; without it the policy is only checked.")
  private Path out;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    Plan plan = PolicyCompiler.compile(file, Measurements.NONE);
    if (out != null) {
      Files.write(out, PlanCodec.encode(plan));
    }
    spec.commandLine().getOut().println(file + ": feasible in " + plan.cases().size() + " cases; version "
        + plan.version() + " of " + plan.fleet() + ", digest " + PlanCodec.digest(plan));
    return CommandLine.ExitCode.OK;
  }
}
