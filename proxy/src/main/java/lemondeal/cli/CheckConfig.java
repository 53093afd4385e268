package lemondeal.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondeal.operator.KeyFile;
import lemondeal.operator.OperatorConfig;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check-config}: checks the operator's file as a start would, without starting the proxy. */
@Command(name = "check-config", mixinStandardHelpOptions = true,
    description = "Check an operator's file and the key file that it names; report every fault with its location.")
final class CheckConfig implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", defaultValue = "${env:GW_OPERATOR_CONFIG}",
      description = "The file; defaults to $GW_OPERATOR_CONFIG.")
  private Path file;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    OperatorConfig config = OperatorConfig.read(file);
    if (config.resume() != null) {
      KeyFile.read(config.resume().keyFile());
    }
    spec.commandLine().getOut().println(file + ": valid");
    return CommandLine.ExitCode.OK;
  }
}
