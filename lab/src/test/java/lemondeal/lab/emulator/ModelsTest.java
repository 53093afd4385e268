package lemondeal.lab.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.junit.jupiter.api.Test;

/** The emulator's models against what theory says of them. */
class ModelsTest {
  private static final long SECOND = Scenario.SECOND;

  private static Server server(Agenda agenda, double cores, double coldFrom, long warm, long startedAt) {
    return new Server(agenda, "s", new Scenario.Fleet("f", 1, cores, 1, 1_000_000, 1_000_000, coldFrom, warm, 0), 0, 0, 0,
        1, startedAt);
  }

  /** The probability that a job waits in an M/M/c queue (Erlang's C formula). */
  private static double erlangC(int cores, double offered) {
    double term = 1;
    double sum = 1;
    for (int k = 1; k < cores; k++) {
      term *= offered / k;
      sum += term;
    }
    double last = term * offered / cores / (1 - offered / cores);
    return last / (sum + last);
  }

  /** Mean time in an M/M/c queue, for one, three and eight cores at several loads, against Erlang's formula. */
  @Test
  void setUpsWaitAsInAnMmcQueue() {
    double service = 0.02;
    for (int cores : new int[] {1, 3, 8}) {
      for (double use : new double[] {0.5, 0.8}) {
        Agenda agenda = new Agenda();
        Server server = server(agenda, cores, 1, 0, -1);
        Draws draws = new Draws(cores * 100 + (long) (use * 10));
        ContinuousSampler gaps = draws.exponential("gaps");
        ContinuousSampler work = draws.exponential("work");
        double perSecond = use * cores / service;
        List<Long> times = new ArrayList<>();
        Runnable[] next = new Runnable[1];
        int[] left = {120_000};
        next[0] = () -> {
          long came = agenda.now();
          server.setUp(work.sample() * service * SECOND, () -> times.add(agenda.now() - came));
          if (--left[0] > 0) {
            agenda.after((long) (gaps.sample() * SECOND / perSecond), next[0]);
          }
        };
        agenda.at(0, next[0]);
        agenda.runTo(Long.MAX_VALUE / 2);
        double mean = times.stream().mapToLong(Long::longValue).average().orElseThrow() / SECOND;
        double theory = service + erlangC(cores, use * cores) * service / (cores * (1 - use));
        assertEquals(1, mean / theory, 0.05, cores + " cores at " + use + ": " + mean + " against " + theory);
      }
    }
  }

  /** What a cold server works off in its warm-up: the integral of its rising capacity. */
  @Test
  void aColdServerWorksOffTheIntegralOfItsWarmth() {
    Agenda agenda = new Agenda();
    Server server = server(agenda, 2, 0.25, 8 * SECOND, 0);
    long[] done = new long[1];
    Runnable[] next = new Runnable[1];
    next[0] = () -> server.setUp(1_000, () -> {
      done[0]++;
      next[0].run();
    });
    next[0].run();
    next[0].run();
    agenda.runTo(8 * SECOND);
    double theory = 2 * 1_000.0 * 8 * (0.25 + 1) / 2;
    assertEquals(1, done[0] / theory, 0.01, done[0] + " jobs against " + theory);
    assertEquals(1, server.warmth(8 * SECOND));
    assertEquals(0.625, server.warmth(4 * SECOND), 1e-9);
  }

  /** Load beyond the capacity piles up and is worked off when there is room: messages wait for it. */
  @Test
  void whatTheCoresCannotGivePilesUp() {
    Agenda agenda = new Agenda();
    Server server = server(agenda, 1, 1, 0, -1);
    assertEquals(1, server.inTime(SECOND), 1e-9, "an idle server answers at once");
    server.swing(1.5 * SECOND);
    agenda.runTo(4 * SECOND);
    server.update();
    assertEquals(2, server.backlogSeconds(), 1e-6);
    assertEquals(0, server.inTime(SECOND), "behind by more than the aim");
    server.swing(-1 * SECOND);
    agenda.runTo(6 * SECOND);
    server.update();
    assertEquals(1, server.backlogSeconds(), 1e-6);
    agenda.runTo(8 * SECOND);
    server.update();
    assertEquals(0, server.backlogSeconds(), 1e-6);
    server.slow(4);
    assertEquals(2, server.use(), 1e-9, "four times slower at half its load");
  }

  /** A set-up that is called off at the very instant of its end does not end, and one cancelled twice is no fault. */
  @Test
  void cancellingAtTheSameInstantWins() {
    Agenda agenda = new Agenda();
    List<String> said = new ArrayList<>();
    Agenda.Entry[] late = new Agenda.Entry[1];
    agenda.at(5, () -> {
      said.add("first");
      late[0].cancel();
      late[0].cancel();
      agenda.at(5, () -> said.add("planned within the instant"));
      agenda.at(3, () -> said.add("planned for the past"));
    });
    late[0] = agenda.at(5, () -> said.add("cancelled"));
    agenda.at(5, () -> said.add("second"));
    agenda.runTo(10);
    assertEquals(List.of("first", "second", "planned within the instant", "planned for the past"), said);
    assertEquals(10, agenda.now());
    assertEquals(4, agenda.happened());
  }

  @Test
  void streamsOfOnePurposeDoNotDependOnOthers() {
    Draws one = new Draws(9);
    Draws other = new Draws(9);
    other.stream("something else").nextLong();
    assertEquals(one.stream("lives").nextLong(), other.stream("lives").nextLong());
    assertFalse(one.stream("lives").nextLong() == one.stream("loads").nextLong());
    assertFalse(new Draws(9).stream("a").nextLong() == new Draws(10).stream("a").nextLong());
    double sum = 0;
    ContinuousSampler logNormal = one.logNormal("mean", 5, 1.2);
    for (int i = 0; i < 200_000; i++) {
      sum += logNormal.sample();
    }
    assertEquals(5, sum / 200_000, 0.15, "the mean is the mean whatever the sigma");
    int[] counts = new int[2];
    var weighted = one.weighted("weights", new double[] {3, 1});
    for (int i = 0; i < 40_000; i++) {
      counts[weighted.getAsInt()]++;
    }
    assertEquals(3, counts[0] / (double) counts[1], 0.15);
  }

  /** The store is one queue with a fixed rate: a burst waits its turn. */
  @Test
  void theStoreIsOneQueue() {
    Agenda agenda = new Agenda();
    SessionStore store = new SessionStore(agenda, new Scenario.Store(100, 5_000));
    List<Long> answered = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      store.call(() -> answered.add(agenda.now()));
    }
    agenda.runTo(10 * SECOND);
    assertEquals(5_000, answered.get(0));
    assertEquals(495_000, answered.get(49));
    store.slow(10);
    long before = agenda.now();
    store.call(() -> answered.add(agenda.now()));
    agenda.runTo(11 * SECOND);
    assertEquals(before + 50_000, answered.get(50));
    assertTrue(answered.size() == 51);
  }
}
