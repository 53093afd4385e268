package lemondeal.lab.measure;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import lemondeal.lab.emulator.Scenario;
import lemondeal.lab.emulator.Simulation;
import lemondeal.lab.emulator.policy.Policies;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Measures the emulator's speed, the largest run that fits, and the module's time per request, as Markdown tables. */
final class EmulatorReport {
  private static final long SECOND = Scenario.SECOND;
  /** Each: servers, proxies, new clients per second, seconds. */
  private static final int[][] SIZES = {{10, 4, 20, 60}, {100, 10, 200, 60}, {1000, 50, 2000, 20}};
  private static final int[] LARGEST = {1000, 100, 25_000, 40};

  private final boolean largest;
  private final PrintStream progress;

  EmulatorReport(boolean largest, PrintStream progress) {
    this.largest = largest;
    this.progress = progress;
  }

  String run() throws RunnerException {
    StringBuilder text = new StringBuilder("""
        ## The emulator's speed, one run on one core

        | servers | proxies | clients | policy | events | events a second | seconds | most connections | heap MB |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- |
        """);
    for (int[] size : SIZES) {
      text.append(row(size, "lemondeal")).append(row(size, "rendezvous"));
    }
    if (largest) {
      text.append(row(LARGEST, "lemondeal"));
    }
    text.append("\n## A request's whole way through the module (JMH)\n\n| servers | microseconds |\n| --- | --- |\n");
    for (RunResult result : new Runner(new OptionsBuilder().include(RankingBenchmark.class.getSimpleName())
        .verbosity(VerboseMode.SILENT).build()).run()) {
      text.append(String.format(Locale.ROOT, "| %s | %.1f |%n", result.getParams().getParam("servers"),
          result.getPrimaryResult().getScore()));
    }
    return text.toString();
  }

  private String row(int[] size, String policy) {
    Scenario scenario = new Scenario(size[3], 0, 3, size[1],
        List.of(new Scenario.ServerPool("link", size[0], 8, 8, 10_000, 10_000, 0.3, 8 * SECOND, 0)),
        List.of(new Scenario.ClientClass("chat", 1, 2_000, 0.8, 0, 0, 600 * SECOND, 1, 2_000, false, 500_000, 300_000,
            2 * SECOND, 1)), size[2], List.of(), 0, 0, 0, new Scenario.Network(500, 1_500), new Scenario.Store(0, 0),
        new Scenario.Discovery(500, 300_000, 2 * SECOND),
        new Scenario.FrontEnd(2 * SECOND, 200_000, 4 * SECOND, 200_000, 12),
        new Scenario.Rules(20_000, SECOND, 4, 2 * SECOND), List.of());
    long startNanos = System.nanoTime();
    Simulation.Result result = new Simulation(scenario, Policies.byName(policy), 1).run();
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    progress.println("emulator: " + size[0] + " servers, " + policy + " done");
    return String.format(Locale.ROOT, "| %d | %d | %.0f | %s | %d | %.0f | %.1f | %.0f | %d |%n", size[0], size[1],
        result.figures().get("clients"), policy, result.eventCount(), result.eventCount() / seconds, seconds,
        result.figures().get("most-connections"), heap >> 20);
  }
}
