package lemondeal.lab.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import lemondeal.Balancer.Prices;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code fleet-count}. */
@Command(name = "fleet-count", mixinStandardHelpOptions = true, exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:counted", "2:invalid usage, or no trace lines"},
    description = "Count the events of all proxies from logs written with GW_TRACE set, one file per proxy.")
public final class FleetCountCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FOLDER", description = "Folder with the .log files.")
  private Path folder;

  @Option(names = "--config", paramLabel = "FILE",
      description = "A proxy's configuration, whose prices are used to report costs.")
  private Path config;

  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    if (!Files.isDirectory(folder)) {
      throw usageError(folder + " is no folder; allowed: one with .log files");
    }
    Prices prices = config == null ? null : prices();
    FleetTraceCounts count = FleetTraceCounts.read(folder);
    if (count.isEmpty()) {
      throw usageError(folder + " has no traced line; allowed: logs of proxies started with GW_TRACE set");
    }
    PrintWriter out = spec.commandLine().getOut();
    out.print(count.report());
    if (prices != null) {
      out.print(count.costLine("probe", prices.probe()) + count.costLine("move", prices.move()));
    }
    // The command line's writer flushes only on println.
    out.flush();
    return CommandLine.ExitCode.OK;
  }

  private Prices prices() {
    try {
      return Config.read(Map.of("GW_CONFIG", config.toString())).settings().prices();
    } catch (ConfigException e) {
      throw usageError(e.getMessage());
    }
  }

  private CommandLine.ParameterException usageError(String message) {
    return new CommandLine.ParameterException(spec.commandLine(), message);
  }
}
