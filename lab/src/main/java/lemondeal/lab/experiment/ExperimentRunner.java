package lemondeal.lab.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import lemondeal.lab.emulator.Breach;
import lemondeal.lab.emulator.Simulation;
import lemondeal.lab.emulator.policy.Policies;

/** Executes an experiment's runs on several threads, each run on one of them; saves each row when it is ready. */
final class ExperimentRunner {
  private static final int PROGRESS_LINES = 20;

  private final Experiment experiment;
  private final int threads;
  private final PrintStream progress;
  private int finishedRuns;

  ExperimentRunner(Experiment experiment, int threads, PrintStream progress) {
    this.experiment = experiment;
    this.threads = threads;
    this.progress = progress;
  }

  /**
   * Returns all rows in the experiment's order, whatever the order in which the runs finished. Runs whose rows are
   * already in the file are not repeated.
   */
  List<Row> run(Path file) throws IOException, InterruptedException {
    Map<String, Row> rows = RowFile.read(file);
    finishedRuns = rows.size();
    if (finishedRuns > 0) {
      progress.println(finishedRuns + " of " + experiment.runCount() + " runs are already done");
    }
    Map<String, Future<Row>> futures = new LinkedHashMap<>();
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try (RowFile rowFile = RowFile.append(file)) {
      for (Experiment.Point point : experiment.points()) {
        for (long seed : experiment.seeds()) {
          for (String policy : experiment.policies()) {
            String key = Row.key(policy, point.name(), seed);
            if (!rows.containsKey(key)) {
              futures.put(key, pool.submit(() -> runOnce(policy, point, seed, rowFile)));
            }
          }
        }
      }
      for (Map.Entry<String, Future<Row>> entry : futures.entrySet()) {
        rows.put(entry.getKey(), entry.getValue().get());
      }
    } catch (ExecutionException e) {
      throw new IOException("a run failed: " + e.getCause(), e);
    } finally {
      pool.shutdownNow();
    }
    return inOrder(rows);
  }

  private List<Row> inOrder(Map<String, Row> rows) {
    List<Row> ordered = new ArrayList<>();
    for (Experiment.Point point : experiment.points()) {
      for (String policy : experiment.policies()) {
        for (long seed : experiment.seeds()) {
          ordered.add(rows.get(Row.key(policy, point.name(), seed)));
        }
      }
    }
    return ordered;
  }

  private Row runOnce(String policy, Experiment.Point point, long seed, RowFile rowFile) throws IOException {
    Simulation.Result result = new Simulation(point.scenario(), Policies.byName(policy), seed).run();
    List<Breach> breaches = result.breaches();
    Row row = new Row(policy, point.name(), seed, result.figures(), result.servedOverTime(), result.breachCounts(),
        breaches.isEmpty() ? "" : breaches.get(0).toString(), Long.toHexString(result.digest()), result.eventCount());
    rowFile.add(row);
    reportProgress();
    return row;
  }

  private synchronized void reportProgress() {
    finishedRuns++;
    int interval = Math.max(1, experiment.runCount() / PROGRESS_LINES);
    if (finishedRuns % interval == 0 || finishedRuns == experiment.runCount()) {
      progress.println(finishedRuns + " of " + experiment.runCount() + " runs");
    }
  }
}
