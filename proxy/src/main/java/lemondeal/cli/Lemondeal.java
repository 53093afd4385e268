package lemondeal.cli;

import java.nio.file.Path;
import lemondeal.Main;
import lemondeal.Serve;
import lemondeal.log.LogQueue;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. Exit codes: 0 done, 1 failed, 2 usage error or invalid input. */
@Command(name = "lemondeal", mixinStandardHelpOptions = true, versionProvider = Lemondeal.Version.class,
    description = "A proxy for long-lived connections, and its tools.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done", "1:failed", "2:usage error or invalid input, one line for each fault"},
    subcommands = {Lemondeal.ServeCommand.class, Lemondeal.BenchlinkCommand.class, CheckConfig.class, KeysCommand.class,
        TokenCommand.class, CompilePolicy.class, AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class})
public final class Lemondeal implements Runnable {
  @Spec
  private CommandSpec spec;

  /** Runs the command and returns the exit code of the program, or {@link Main#KEEP_RUNNING} if it must not exit. */
  public static int run(String[] args) {
    CommandLine commandLine = new CommandLine(new Lemondeal());
    commandLine.setParameterExceptionHandler(Lemondeal::usageError);
    commandLine.setExecutionExceptionHandler(Lemondeal::executionError);
    return commandLine.execute(args);
  }

  /** Prints one line instead of the whole usage text, which --help shows. */
  private static int usageError(ParameterException e, String[] args) {
    CommandLine command = e.getCommandLine();
    command.getErr().println("lemondeal: " + e.getMessage().replace('\n', ' ') + " (see '"
        + command.getCommandSpec().qualifiedName() + " --help')");
    return CommandLine.ExitCode.USAGE;
  }

  private static int executionError(Exception e, CommandLine command, CommandLine.ParseResult parsed) {
    for (String line : String.valueOf(e.getMessage()).split("\n")) {
      command.getErr().println("lemondeal: " + line);
    }
    boolean invalidInput =
        e instanceof lemondeal.operator.InvalidFileException || e instanceof IllegalArgumentException;
    return invalidInput ? CommandLine.ExitCode.USAGE : CommandLine.ExitCode.SOFTWARE;
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** {@code --version}. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Lemondeal.class.getPackage().getImplementationVersion();
      return new String[] {"lemondeal " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** {@code serve} with options; {@code Main} handles it without options itself. */
  @Command(name = "serve", mixinStandardHelpOptions = true, description = "Run one proxy until SIGTERM.")
  static final class ServeCommand implements java.util.concurrent.Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:GW_OPERATOR_CONFIG}",
        description = "The operator's file (YAML); defaults to $GW_OPERATOR_CONFIG.")
    private Path file;

    @Override
    public Integer call() {
      LogQueue.install();
      int code = Serve.run(System.getenv(), file == null || file.toString().isEmpty() ? null : file);
      return code == 0 ? Main.KEEP_RUNNING : code;
    }
  }

  /** {@code benchlink}. */
  @Command(name = "benchlink", mixinStandardHelpOptions = true,
      description = "Run the decision module for the simulator, over standard input and output.")
  static final class BenchlinkCommand implements java.util.concurrent.Callable<Integer> {
    @Override
    public Integer call() throws java.io.IOException {
      return lemondeal.benchlink.SimulatorHost.host();
    }
  }
}
