package lemondeal.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondeal.lab.claims.ClaimStoreServer;
import lemondeal.lab.measure.Reports;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The lab's command line: stand-ins to start by hand, and measurements. Never on the platform. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Stand-ins and measurements.",
    subcommands = {Lab.MeasureResume.class, Lab.ClaimStore.class})
public final class Lab implements Runnable {
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  public static void main(String[] args) {
    System.exit(new CommandLine(new Lab()).execute(args));
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing: measure-resume or claim-store");
  }

  /** {@code measure-resume}. */
  @Command(name = "measure-resume", mixinStandardHelpOptions = true,
      description = "Measure resumable moves beside plain ones on real proxies; about two minutes.")
  static final class MeasureResume implements Callable<Integer> {
    @Option(names = "--clients", defaultValue = "100", description = "Clients at once (${DEFAULT-VALUE}).")
    private int clients;

    @Option(names = "--out", paramLabel = "FILE", description = "Where the tables go; standard output if not given.")
    private Path out;

    @Override
    public Integer call() throws Exception {
      String tables = Reports.resume(clients, System.err);
      if (out == null) {
        System.out.print(tables);
      } else {
        Files.writeString(out, tables);
      }
      return CommandLine.ExitCode.OK;
    }
  }

  /** {@code claim-store}. */
  @Command(name = "claim-store", mixinStandardHelpOptions = true,
      description = "Run the stand-in claim store until standard input ends. It forgets all with its process.")
  static final class ClaimStore implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      try (ClaimStoreServer server = new ClaimStoreServer()) {
        System.out.println("claim store at 127.0.0.1:" + server.address().getPort());
        while (System.in.read() >= 0) {
          continue;
        }
      }
      return CommandLine.ExitCode.OK;
    }
  }
}
