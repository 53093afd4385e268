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

/** Conversion of servers' start times from a wall clock that may be stepped to a monotonic clock. */
class StartTimesTest {
  private static final long SECOND = 1_000_000;
  private static final long HOUR = 3_600 * SECOND;

  private long now = 1_000 * HOUR;
  private long clockOffset;
  private final StartTimes startTimes = new StartTimes(() -> now, () -> now + clockOffset);

  /** The wall clock's present time. */
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

  /** The start is reported after the step, by the wall clock from before it. */
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

  /** The step may have happened at any time between two samples: the server counts as as young as possible. */
  @Test
  void ofTwoPossibleStartsTheLaterOneIsTaken() {
    advance(10 * SECOND, false);
    long wallStart = wallTimeNow();
    stepWallClock(-5 * SECOND);
    advance(6 * SECOND, true);
    assertEquals(wallStart + 5 * SECOND, toLocalClock("s", wallStart), "counted as started after the step");
  }

  @Test
  void aStartInTheFutureIsNow() {
    assertEquals(now, toLocalClock("s", now + HOUR));
  }

  /** A clock that is slewed gradually is not stepped. */
  @Test
  void driftIsFollowed() {
    for (int i = 0; i < 1_000; i++) {
      clockOffset += 10_000;
      advance(SECOND, true);
    }
    assertEquals(now, toLocalClock("s", wallTimeNow()));
  }

  /** Guards against a leak: where each replaced server has a new id, unused start times would add up for months. */
  @Test
  void startsOfRemovedServersAreDropped() {
    for (int i = 0; i < 100; i++) {
      toLocalClock("s" + i, now);
    }
    startTimes.keepOnly(Set.of("s7"));
    assertEquals(1, startTimes.size());
    advance(SECOND, true);
    stepWallClock(HOUR);
    assertEquals(now - SECOND, toLocalClock("s7", now - SECOND), "the kept start is unchanged");
  }
}
