package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.*;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The cost of a placement grows at most linearly with the number of servers. Compares the CPU time of one thread at two
 * sizes, the minimum of several rounds each, so that the result does not depend on the machine's speed or load.
 */
class PlacementCostTest {
  private static final int FEW = 200;
  private static final int MANY = 3_200;
  /** Linear growth would be 16 times, quadratic growth 256 times. */
  private static final double MAX_GROWTH = 64;
  private static final int ROUNDS = 6;
  private static final int PLACEMENTS = 12;
  private static final long SECOND = 1_000_000;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /** A module with a list of servers, and the requests that it gets. */
  private static final class ModuleDriver {
    private final DecisionModule module = new DecisionModule();
    private long now = 100 * SECOND;
    private int requests;

    ModuleDriver(int servers, boolean cold, boolean reports) {
      RequestClass requestClass =
          new RequestClass(Idempotency.SAFE, DedupScope.ALL, SECOND, SECOND, 2 * SECOND, 1, 100_000);
      Rules rules = new Rules(20_000, SECOND, 4, 2 * SECOND, 0.35, 9 * SECOND, 0);
      module.on(now, new Start(1, new Settings(0, 3, 0, List.of(requestClass), List.of(), rules,
          new Limits(3, true, reports, false, false, true, SECOND, 100_000), new Prices(0, 0, 0, 0, 0),
          WeightMeaning.NOMINAL, false, true, false, reports, false, 1)));
      List<ServerEntry> entries = new ArrayList<>();
      for (int s = 0; s < servers; s++) {
        entries.add(new ServerEntry("s" + s, 0, 0, 0, cold ? now - SECOND : 0, ServerState.READY, 1));
      }
      module.on(now, new ServerList(1, ListKind.FULL, entries));
    }

    /** One request, from its arrival to the end of its connection. */
    void place() {
      now += 10_000;
      String id = "r" + requests++;
      handle(new Arrived(new Request(id, now + 2 * SECOND, 0, id, null, 1000, false, false, 0, false)));
    }

    private void handle(Event event) {
      for (Action action : module.on(now, event)) {
        if (action instanceof Send send) {
          module.on(now, new Established(send.id(), 0, send.server(), 1_000));
          module.on(now, new Ended(send.id(), 0, send.server(), Outcome.SERVED, 1_000, true, null));
        }
      }
    }

    /** CPU time of the cheapest round, in nanoseconds. */
    long cost() {
      long lowest = Long.MAX_VALUE;
      for (int round = 0; round < ROUNDS; round++) {
        long startedAt = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < PLACEMENTS; i++) {
          place();
        }
        lowest = Math.min(lowest, THREADS.getCurrentThreadCpuTime() - startedAt);
      }
      return lowest;
    }
  }

  @ParameterizedTest
  @CsvSource({"false,false", "false,true", "true,false", "true,true"})
  void thePlacementCostGrowsAtMostInProportionToTheServers(boolean cold, boolean reports) {
    ModuleDriver few = new ModuleDriver(FEW, cold, reports);
    // Warm-up: both sizes run the same code, which is compiled after this.
    for (int i = 0; i < 100; i++) {
      few.cost();
    }
    long fewCost = few.cost();
    long manyCost = new ModuleDriver(MANY, cold, reports).cost();
    assertTrue(manyCost <= MAX_GROWTH * fewCost,
        PLACEMENTS + " placements: " + fewCost + " ns at " + FEW + " servers, " + manyCost + " ns at " + MANY);
  }
}
