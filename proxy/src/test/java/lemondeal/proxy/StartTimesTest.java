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
  private long clockOffset;
  private final StartTimes startTimes = new StartTimes(() -> now, () -> now + clockOffset);

  /** The start that is told in the wall clock as it stands at this moment. */
  private long wallTimeNow() {
    return now + clockOffset;
  }

  private void advance(long micros, boolean sampled) {
    now += micros;
    if (sampled) {
      startTimes.sample();
    }
  }

  private void stepWallClock(long micros) {
    clockOffset += micros;
    startTimes.sample();
  }

  private long toLocalClock(String server, long wallTime) {
    ServerEntry entry = new ServerEntry(server, 0, 0, 0, wallTime, ServerState.READY, 1);
    return startTimes.toLocalClock(new ServerList(1, ListKind.CHANGES, List.of(entry))).entries().get(0).startedAt();
  }

  @Test
  void withoutAStepAStartKeepsItsTime() {
    assertEquals(0, toLocalClock("s0", 0), "long ago");
    assertEquals(now - HOUR, toLocalClock("s1", now - HOUR));
    advance(SECOND, true);
    assertEquals(now, toLocalClock("s2", now));
  }

  @ParameterizedTest
  @ValueSource(longs = {2 * SECOND, -2 * SECOND, HOUR, -HOUR})
  void aStartAfterAStepHasItsTrueAge(long stepMicros) {
    stepWallClock(stepMicros);
    advance(3 * SECOND, true);
    long wallStart = wallTimeNow();
    long expected = now;
    advance(SECOND, true);
    assertEquals(expected, toLocalClock("s", wallStart));
  }

  /** It is told after the step, by the clock of before. */
  @ParameterizedTest
  @ValueSource(longs = {2 * SECOND, -2 * SECOND, HOUR, -HOUR})
  void aStartJustBeforeAStepHasItsTrueAge(long stepMicros) {
    advance(10 * SECOND, true);
    long wallStart = wallTimeNow();
    long expected = now;
    advance(SECOND / 10, true);
    stepWallClock(stepMicros);
    advance(SECOND / 10, true);
    assertEquals(expected, toLocalClock("s", wallStart));
  }

  @Test
  void aConvertedStartIsNotChangedByLaterSteps() {
    long wallStart = wallTimeNow();
    long expected = toLocalClock("s", wallStart);
    for (long stepMicros : new long[] {HOUR, -2 * HOUR, 2 * SECOND}) {
      stepWallClock(stepMicros);
      advance(SECOND, true);
      assertEquals(expected, toLocalClock("s", wallStart));
    }
  }

  /** Between two looks a step may have come at any moment: the server is taken for as young as it may be. */
  @Test
  void ofTwoPossibleStartsTheLaterOneIsTaken() {
    advance(10 * SECOND, false);
    long wallStart = wallTimeNow();
    stepWallClock(-5 * SECOND);
    advance(6 * SECOND, true);
    assertEquals(wallStart + 5 * SECOND, toLocalClock("s", wallStart), "stamped after the step");
  }

  @Test
  void aStartInTheFutureIsNow() {
    assertEquals(now, toLocalClock("s", now + HOUR));
  }

  /** Clocks that are set right little by little are not stepped. */
  @Test
  void driftIsFollowed() {
    for (int i = 0; i < 1_000; i++) {
      clockOffset += 10_000;
      advance(SECOND, true);
    }
    assertEquals(now, toLocalClock("s", wallTimeNow()));
  }

  /** Where each replaced server has a name of its own, starts that nobody asks for would add up for months. */
  @Test
  void startsOfRemovedServersAreDropped() {
    for (int i = 0; i < 100; i++) {
      toLocalClock("s" + i, now);
    }
    startTimes.keepOnly(Set.of("s7"));
    assertEquals(1, startTimes.size());
    advance(SECOND, true);
    stepWallClock(HOUR);
    assertEquals(now - SECOND, toLocalClock("s7", now - SECOND), "kept as it was");
  }
}
