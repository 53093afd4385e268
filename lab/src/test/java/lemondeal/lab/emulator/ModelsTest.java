package lemondeal.lab.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.junit.jupiter.api.Test;

/** Compares the emulator's models with queueing theory. */
class ModelsTest {
  private static final long SECOND = Scenario.SECOND;

  private static Server server(EventScheduler scheduler, double cores, double coldCapacityShare, long warmUpTime,
      long startedAt) {
    return new Server(scheduler, "s", new Scenario.ServerPool("f", 1, cores, 1, 1_000_000, 1_000_000, coldCapacityShare,
        warmUpTime, 0), 0, 0, 0, 1, startedAt);
  }

  /** The probability that a job waits in an M/M/c queue (Erlang C formula). */
  private static double erlangC(int cores, double offeredLoad) {
    double term = 1;
    double sum = 1;
    for (int k = 1; k < cores; k++) {
      term *= offeredLoad / k;
      sum += term;
    }
    double waitingTerm = term * offeredLoad / cores / (1 - offeredLoad / cores);
    return waitingTerm / (sum + waitingTerm);
  }

  /**
   * Compares the mean time in an M/M/c queue with the Erlang C formula, for one, three and eight cores at two loads.
   */
  @Test
  void setUpTimesMatchErlangC() {
    double serviceSeconds = 0.02;
    for (int cores : new int[] {1, 3, 8}) {
      for (double utilization : new double[] {0.5, 0.8}) {
        EventScheduler scheduler = new EventScheduler();
        Server server = server(scheduler, cores, 1, 0, -1);
        RandomStreams randomStreams = new RandomStreams(cores * 100 + (long) (utilization * 10));
        ContinuousSampler gaps = randomStreams.exponential("gaps");
        ContinuousSampler work = randomStreams.exponential("work");
        double arrivalsPerSecond = utilization * cores / serviceSeconds;
        List<Long> times = new ArrayList<>();
        Runnable[] nextArrival = new Runnable[1];
        int[] remaining = {120_000};
        nextArrival[0] = () -> {
          long arrivalTime = scheduler.now();
          server.setUp(work.sample() * serviceSeconds * SECOND, () -> times.add(scheduler.now() - arrivalTime));
          if (--remaining[0] > 0) {
            scheduler.after((long) (gaps.sample() * SECOND / arrivalsPerSecond), nextArrival[0]);
          }
        };
        scheduler.at(0, nextArrival[0]);
        scheduler.runUntil(Long.MAX_VALUE / 2);
        double meanTime = times.stream().mapToLong(Long::longValue).average().orElseThrow() / SECOND;
        double expected = serviceSeconds
            + erlangC(cores, utilization * cores) * serviceSeconds / (cores * (1 - utilization));
        assertEquals(1, meanTime / expected, 0.05,
            cores + " cores at utilization " + utilization + ": " + meanTime + " s, expected " + expected + " s");
      }
    }
  }

  /** During its warm-up a cold server does as much work as the integral of its rising capacity. */
  @Test
  void coldServerProcessesTheIntegralOfItsCapacity() {
    EventScheduler scheduler = new EventScheduler();
    Server server = server(scheduler, 2, 0.25, 8 * SECOND, 0);
    long[] finishedJobs = new long[1];
    Runnable[] nextJob = new Runnable[1];
    nextJob[0] = () -> server.setUp(1_000, () -> {
      finishedJobs[0]++;
      nextJob[0].run();
    });
    nextJob[0].run();
    nextJob[0].run();
    scheduler.runUntil(8 * SECOND);
    double expected = 2 * 1_000.0 * 8 * (0.25 + 1) / 2;
    assertEquals(1, finishedJobs[0] / expected, 0.01, finishedJobs[0] + " jobs, expected " + expected);
    assertEquals(1, server.warmUpShare(8 * SECOND));
    assertEquals(0.625, server.warmUpShare(4 * SECOND), 1e-9);
  }

  /** Load above the capacity builds up a backlog, for which messages wait, and which is worked off when load drops. */
  @Test
  void loadAboveCapacityBuildsABacklog() {
    EventScheduler scheduler = new EventScheduler();
    Server server = server(scheduler, 1, 1, 0, -1);
    assertEquals(1, server.shareInTime(SECOND), 1e-9, "an idle server answers at once");
    server.changeLoad(1.5 * SECOND);
    scheduler.runUntil(4 * SECOND);
    server.update();
    assertEquals(2, server.backlogSeconds(), 1e-6);
    assertEquals(0, server.shareInTime(SECOND), "the backlog is longer than the latency target");
    server.changeLoad(-1 * SECOND);
    scheduler.runUntil(6 * SECOND);
    server.update();
    assertEquals(1, server.backlogSeconds(), 1e-6);
    scheduler.runUntil(8 * SECOND);
    server.update();
    assertEquals(0, server.backlogSeconds(), 1e-6);
    server.setSlowdown(4);
    assertEquals(2, server.utilization(), 1e-9, "half load at a slowdown of four");
  }

  /** An event cancelled at its own time does not run, and a second cancel has no effect. */
  @Test
  void cancelAtTheSameInstantTakesEffect() {
    EventScheduler scheduler = new EventScheduler();
    List<String> executed = new ArrayList<>();
    EventScheduler.ScheduledEvent[] cancelledEvent = new EventScheduler.ScheduledEvent[1];
    scheduler.at(5, () -> {
      executed.add("first");
      cancelledEvent[0].cancel();
      cancelledEvent[0].cancel();
      scheduler.at(5, () -> executed.add("planned within the instant"));
      scheduler.at(3, () -> executed.add("planned for the past"));
    });
    cancelledEvent[0] = scheduler.at(5, () -> executed.add("cancelled"));
    scheduler.at(5, () -> executed.add("second"));
    scheduler.runUntil(10);
    assertEquals(List.of("first", "second", "planned within the instant", "planned for the past"), executed);
    assertEquals(10, scheduler.now());
    assertEquals(4, scheduler.executedCount());
  }

  @Test
  void randomStreamsAreIndependentByPurpose() {
    RandomStreams first = new RandomStreams(9);
    RandomStreams second = new RandomStreams(9);
    second.stream("something else").nextLong();
    assertEquals(first.stream("lives").nextLong(), second.stream("lives").nextLong());
    assertFalse(first.stream("lives").nextLong() == first.stream("loads").nextLong());
    assertFalse(new RandomStreams(9).stream("a").nextLong() == new RandomStreams(10).stream("a").nextLong());
    double sum = 0;
    ContinuousSampler logNormal = first.logNormal("mean", 5, 1.2);
    for (int i = 0; i < 200_000; i++) {
      sum += logNormal.sample();
    }
    assertEquals(5, sum / 200_000, 0.15, "the mean must not depend on sigma");
    int[] counts = new int[2];
    var weighted = first.weighted("weights", new double[] {3, 1});
    for (int i = 0; i < 40_000; i++) {
      counts[weighted.getAsInt()]++;
    }
    assertEquals(3, counts[0] / (double) counts[1], 0.15);
  }

  /** The session store is one queue with a fixed rate, so calls of a burst wait. */
  @Test
  void sessionStoreIsOneQueue() {
    EventScheduler scheduler = new EventScheduler();
    SessionStore store = new SessionStore(scheduler, new Scenario.Store(100, 5_000));
    List<Long> answerTimes = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      store.call(() -> answerTimes.add(scheduler.now()));
    }
    scheduler.runUntil(10 * SECOND);
    assertEquals(5_000, answerTimes.get(0));
    assertEquals(495_000, answerTimes.get(49));
    store.setSlowdown(10);
    long callTime = scheduler.now();
    store.call(() -> answerTimes.add(scheduler.now()));
    scheduler.runUntil(11 * SECOND);
    assertEquals(callTime + 50_000, answerTimes.get(50));
    assertTrue(answerTimes.size() == 51);
  }
}
