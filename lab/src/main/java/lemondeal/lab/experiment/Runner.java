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
import lemondeal.lab.emulator.World;
import lemondeal.lab.emulator.policy.Policies;

/** Plays an experiment's runs on several threads, each run on one; rows go to disk as they come in. */
final class Runner {
  private static final int TOLD = 20;

  private final Experiment experiment;
  private final int threads;
  private final PrintStream progress;
  private int done;

  Runner(Experiment experiment, int threads, PrintStream progress) {
    this.experiment = experiment;
    this.threads = threads;
    this.progress = progress;
  }

  /** All rows, in the experiment's order whatever the order in which they came in; those in the file are not played again. */
  List<Row> run(Path file) throws IOException, InterruptedException {
    Map<String, Row> rows = RowFile.read(file);
    done = rows.size();
    if (done > 0) {
      progress.println(done + " of " + experiment.runs() + " runs are there already");
    }
    Map<String, Future<Row>> out = new LinkedHashMap<>();
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try (RowFile to = RowFile.append(file)) {
      for (Experiment.Point point : experiment.points()) {
        for (long seed : experiment.seeds()) {
          for (String policy : experiment.policies()) {
            String key = Row.key(policy, point.name(), seed);
            if (!rows.containsKey(key)) {
              out.put(key, pool.submit(() -> played(policy, point, seed, to)));
            }
          }
        }
      }
      for (Map.Entry<String, Future<Row>> one : out.entrySet()) {
        rows.put(one.getKey(), one.getValue().get());
      }
    } catch (ExecutionException e) {
      throw new IOException("a run failed: " + e.getCause(), e);
    } finally {
      pool.shutdownNow();
    }
    return inOrder(rows);
  }

  private List<Row> inOrder(Map<String, Row> rows) {
    List<Row> all = new ArrayList<>();
    for (Experiment.Point point : experiment.points()) {
      for (String policy : experiment.policies()) {
        for (long seed : experiment.seeds()) {
          all.add(rows.get(Row.key(policy, point.name(), seed)));
        }
      }
    }
    return all;
  }

  private Row played(String policy, Experiment.Point point, long seed, RowFile to) throws IOException {
    World.Result result = new World(point.scenario(), Policies.named(policy), seed).run();
    List<Breach> breaches = result.breaches();
    Row row = new Row(policy, point.name(), seed, result.figures(), result.course(), result.breachCounts(),
        breaches.isEmpty() ? "" : breaches.get(0).toString(), Long.toHexString(result.digest()), result.events());
    to.add(row);
    tell();
    return row;
  }

  private synchronized void tell() {
    done++;
    int every = Math.max(1, experiment.runs() / TOLD);
    if (done % every == 0 || done == experiment.runs()) {
      progress.println(done + " of " + experiment.runs() + " runs");
    }
  }
}
