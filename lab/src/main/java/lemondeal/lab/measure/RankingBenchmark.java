package lemondeal.lab.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.module.DecisionModule;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the module's time for one request (arrival, ranking, up, end) by the number of servers. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m"})
public class RankingBenchmark {
  private static final long SECOND = 1_000_000;

  @Param({"10", "100", "1000", "10000"})
  private int servers;

  private Balancer module;
  private long now;

  /** Creates a module with the server list. */
  @Setup
  public void start() {
    module = new DecisionModule();
    Balancer.RequestClass requestClass = new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL,
        0, SECOND / 2, 2 * SECOND, 1, 300_000);
    module.on(0, new Start(1, new Balancer.Settings(0, 1, 0, List.of(requestClass), List.of(),
        new Balancer.Rules(20_000, SECOND, 4, 2 * SECOND, 0.35, 9 * SECOND, 0),
        new Balancer.Limits(3, true, true, false, false, true, 2 * SECOND, SECOND),
        new Balancer.Prices(0.03, 0.2, 0.0023, 0, 0.01), Balancer.WeightMeaning.ROUGH, true, false, false, true,
        false, 1)));
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      entries.add(new ServerEntry("s-" + i, i % 3, 0, 0, 0, ServerState.READY, 1 + i % 4));
    }
    module.on(0, new ServerList(1, ListKind.FULL, entries));
  }

  /** Processes one request from arrival to end. */
  @Benchmark
  public List<Action> request() {
    now += 10_000;
    String id = Long.toHexString(now);
    List<Action> actions = module.on(now, new Arrived(new Request(id, now + 2 * SECOND, 0, id, null, Double.NaN, false,
        false, 0, false)));
    for (Action action : actions) {
      if (action instanceof Send send) {
        module.on(now + 2_000, new Established(id, 0, send.server(), 2_000));
        module.on(now + 5_000, new Ended(id, 0, send.server(), Outcome.SERVED, 5_000, true, null));
      }
    }
    return actions;
  }
}
