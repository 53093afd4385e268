package lemondeal.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import lemondeal.lab.claims.FakeClaimStore;
import lemondeal.lab.consul.ConsulConsole;
import lemondeal.lab.experiment.ExperimentCommands;
import lemondeal.lab.fleet.FleetCountCommand;
import lemondeal.lab.measure.Reports;
import lemondeal.lab.soak.SoakCommand;
import lemondeal.lab.stream.RollingDrain;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of the test tools: fake servers to start by hand, and measurements. Never runs on the platform. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Fake servers and measurements.",
    subcommands = {Lab.DrainDayCommand.class, Lab.MeasureResume.class, Lab.MeasureConsul.class,
        Lab.MeasureEmulator.class, Lab.ClaimStore.class, Lab.Consul.class, ExperimentCommands.Run.class,
        ExperimentCommands.Compare.class, ExperimentCommands.Results.class, ExperimentCommands.Placement.class,
        FleetCountCommand.class, SoakCommand.class})
public final class Lab implements Runnable {
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  public static void main(String[] args) {
    System.exit(new CommandLine(new Lab()).execute(args));
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing: "
        + String.join(", ", spec.subcommands().keySet()));
  }

  /** {@code drain-day}. */
  @Command(name = "drain-day", mixinStandardHelpOptions = true, exitCodeListHeading = "%nExit codes:%n",
      exitCodeList = {"0:all guarantees held", "1:a guarantee was broken; each breach is printed on a line",
          "2:invalid usage"},
      description = "Drain the servers of a small cluster one after another under resuming clients, and check the "
          + "guarantees.")
  static final class DrainDayCommand implements Callable<Integer> {
    @Option(names = "--proxies", defaultValue = "3", description = "Real proxies (${DEFAULT-VALUE}).")
    private int proxies;

    @Option(names = "--servers", defaultValue = "6", description = "Fake servers at the same time (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--clients", defaultValue = "100", description = "Clients at the same time (${DEFAULT-VALUE}).")
    private int clients;

    @Option(names = "--seconds", defaultValue = "20",
        description = "Seconds for which clients send (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--pace", defaultValue = "100", description = "Milliseconds between two lines (${DEFAULT-VALUE}).")
    private int pace;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      for (int value : new int[] {proxies, servers, clients, seconds, pace}) {
        if (value < 1 || value > 5000) {
          throw new CommandLine.ParameterException(spec.commandLine(), "found " + value + "; allowed: 1 to 5000");
        }
      }
      List<String> breaches = new RollingDrain(proxies, servers, clients, System.err).run(seconds, pace);
      breaches.forEach(System.out::println);
      System.out.println(breaches.size() + " guarantees broken");
      return breaches.isEmpty() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
  }

  /** {@code measure-resume}. */
  @Command(name = "measure-resume", mixinStandardHelpOptions = true,
      description = "Compare resumable with plain moves on real proxies; takes about two minutes.")
  static final class MeasureResume implements Callable<Integer> {
    @Option(names = "--clients", defaultValue = "100", description = "Clients at the same time (${DEFAULT-VALUE}).")
    private int clients;

    @Option(names = "--out", paramLabel = "FILE", description = "File for the tables; standard output by default.")
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

  /** {@code measure-consul}. */
  @Command(name = "measure-consul", mixinStandardHelpOptions = true,
      description = "Measure discovery through Consul with real proxies and a fake Consul; takes some minutes.")
  static final class MeasureConsul implements Callable<Integer> {
    @Option(names = "--plays", defaultValue = "20", description = "Rounds of each kind of drain (${DEFAULT-VALUE}).")
    private int plays;

    @Option(names = "--sizes", split = ",", defaultValue = "100,1000,10000",
        description = "Instances per list (${DEFAULT-VALUE}).")
    private int[] sizes;

    @Option(names = "--fleets", split = ",", defaultValue = "3,48",
        description = "Proxies on one Consul (${DEFAULT-VALUE}).")
    private int[] fleets;

    @Option(names = "--seconds", defaultValue = "20", description = "Seconds per size and fleet (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--out", paramLabel = "FILE", description = "File for the tables; standard output by default.")
    private Path out;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      check("--plays", plays, 1, 1000);
      check("--seconds", seconds, 1, 600);
      for (int size : sizes) {
        check("--sizes", size, 1, 100_000);
      }
      for (int fleet : fleets) {
        check("--fleets", fleet, 1, 100);
      }
      String tables = Reports.consul(plays, sizes, fleets, seconds, System.err);
      if (out == null) {
        System.out.print(tables);
      } else {
        Files.writeString(out, tables);
      }
      return CommandLine.ExitCode.OK;
    }

    private void check(String name, int value, int minimum, int maximum) {
      if (value < minimum || value > maximum) {
        throw new CommandLine.ParameterException(spec.commandLine(), name + ": found " + value + "; allowed: " + minimum
            + " to " + maximum);
      }
    }
  }

  /** {@code measure-emulator}. */
  @Command(name = "measure-emulator", mixinStandardHelpOptions = true,
      description = "Measure the emulator's speed, the largest run, and the module's time per request; takes some "
          + "minutes.")
  static final class MeasureEmulator implements Callable<Integer> {
    @Option(names = "--largest", description = "Add a run with 1,000 servers, 100 proxies and a million connections.")
    private boolean largest;

    @Override
    public Integer call() throws Exception {
      System.out.print(Reports.emulator(largest, System.err));
      return CommandLine.ExitCode.OK;
    }
  }

  /** {@code claim-store}. */
  @Command(name = "claim-store", mixinStandardHelpOptions = true,
      description = "Run the fake claim store until standard input ends. Claims are kept in memory only.")
  static final class ClaimStore implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      try (FakeClaimStore server = new FakeClaimStore()) {
        System.out.println("claim store at 127.0.0.1:" + server.address().getPort());
        while (System.in.read() >= 0) {
          continue;
        }
      }
      return CommandLine.ExitCode.OK;
    }
  }

  /** {@code consul}. */
  @Command(name = "consul", mixinStandardHelpOptions = true,
      description = "Run the fake Consul with echo servers registered. Lines on standard input change it until the "
          + "input ends.")
  static final class Consul implements Callable<Integer> {
    @Option(names = "--servers", defaultValue = "4",
        description = "Echo servers registered at the start (${DEFAULT-VALUE}).")
    private int servers;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      if (servers < 0 || servers > 500) {
        throw new CommandLine.ParameterException(spec.commandLine(), "--servers: found " + servers
            + "; allowed: 0 to 500");
      }
      try (ConsulConsole console = new ConsulConsole(servers, System.out)) {
        console.run(new java.io.BufferedReader(new java.io.InputStreamReader(System.in,
            java.nio.charset.StandardCharsets.UTF_8)));
      }
      return CommandLine.ExitCode.OK;
    }
  }
}
