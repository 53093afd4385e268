package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts of servers, told by a wall clock that is stepped, on a clock that is not. */
class StartTimesTest {
  private static final long SECOND = 1_000_000;
  private static final long HOUR = 3_600 * SECOND;

  private long now = 1_000 * HOUR;
  private long step;
  private final StartTimes starts = new StartTimes(() -> now, () -> now + step);

  /** The start that is told in the wall clock as it stands at this moment. */
  private long stamp() {
    return now + step;
  }

  private void passes(long micros, boolean sampled) {
    now += micros;
    if (sampled) {
      starts.sample();
    }
  }

  private void steps(long micros) {
    step += micros;
    starts.sample();
  }

  private long here(String server, long told) {
    ServerEntry entry = new ServerEntry(server, 0, 0, 0, told, ServerState.READY, 1);
    return starts.toLocalClock(new ServerList(1, ListKind.CHANGES, List.of(entry))).entries().get(0).startedAt();
  }

  @Test
  void withoutAStepAStartStaysAsItIsTold() {
    assertEquals(0, here("s0", 0), "long ago");
    assertEquals(now - HOUR, here("s1", now - HOUR));
    passes(SECOND, true);
    assertEquals(now, here("s2", now));
  }

  @ParameterizedTest
  @ValueSource(longs = {2 * SECOND, -2 * SECOND, HOUR, -HOUR})
  void aStartAfterAStepIsAsYoungAsItIs(long by) {
    steps(by);
    passes(3 * SECOND, true);
    long stamped = stamp();
    long real = now;
    passes(SECOND, true);
    assertEquals(real, here("s", stamped));
  }

  /** It is told after the step, by the clock of before. */
  @ParameterizedTest
  @ValueSource(longs = {2 * SECOND, -2 * SECOND, HOUR, -HOUR})
  void aStartJustBeforeAStepIsAsYoungAsItIs(long by) {
    passes(10 * SECOND, true);
    long stamped = stamp();
    long real = now;
    passes(SECOND / 10, true);
    steps(by);
    passes(SECOND / 10, true);
    assertEquals(real, here("s", stamped));
  }

  @Test
  void whatWasToldOnceStaysWhereItIsWhateverIsStepped() {
    long stamped = stamp();
    long real = here("s", stamped);
    for (long by : new long[] {HOUR, -2 * HOUR, 2 * SECOND}) {
      steps(by);
      passes(SECOND, true);
      assertEquals(real, here("s", stamped));
    }
  }

  /** Between two looks a step may have come at any moment: the server is taken for as young as it may be. */
  @Test
  void whereTwoMomentsFitTheYoungerOneIsTaken() {
    passes(10 * SECOND, false);
    long stamped = stamp();
    steps(-5 * SECOND);
    passes(6 * SECOND, true);
    assertEquals(stamped + 5 * SECOND, here("s", stamped), "stamped after the step");
  }

  @Test
  void aStartInTheFutureIsNow() {
    assertEquals(now, here("s", now + HOUR));
  }

  /** Clocks that are set right little by little are not stepped. */
  @Test
  void driftIsFollowed() {
    for (int i = 0; i < 1_000; i++) {
      step += 10_000;
      passes(SECOND, true);
    }
    assertEquals(now, here("s", stamp()));
  }

  /** Where each replaced server has a name of its own, starts that nobody asks for would add up for months. */
  @Test
  void startsOfServersThatHaveGoneAreForgotten() {
    for (int i = 0; i < 100; i++) {
      here("s" + i, now);
    }
    starts.keepOnly(Set.of("s7"));
    assertEquals(1, starts.size());
    passes(SECOND, true);
    steps(HOUR);
    assertEquals(now - SECOND, here("s7", now - SECOND), "kept as it was");
  }
}
