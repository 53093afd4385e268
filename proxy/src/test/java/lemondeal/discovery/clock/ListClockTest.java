package lemondeal.discovery.clock;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/** What the pages say of when a change counts as told: a row for each sentence, in the table beside. */
class ListClockTest {
  private static final long ASK_EVERY = 10_000_000;
  private static final long GRACE = 1_000_000;
  private static final long SLACK = 50_000;

  private static ListClock clock(String lists) {
    long wait = lists.startsWith("waits ") ? micros(lists.substring(6)) : 0;
    return new ListClock(new ListClock.Settings(lists.equals("pushed"), ASK_EVERY, GRACE, SLACK, wait), 0);
  }

  private static long micros(String seconds) {
    return Math.round(Double.parseDouble(seconds) * 1e6);
  }

  private static ListClock after(String lists, String happened) {
    ListClock clock = clock(lists);
    for (String event : happened == null ? new String[0] : happened.split(" ")) {
      String[] parts = event.split(":");
      long at = micros(parts[0]);
      switch (parts[1]) {
        case "call" -> clock.called(at);
        case "line" -> clock.heard(at);
        case "part" -> clock.stirred(at);
        case "answer" -> clock.answered(at);
        case "fail" -> clock.failed(at);
        case "down" -> clock.down(at);
        case "back" -> clock.back(at);
        case "reload" -> clock.reconfigured(at);
        default -> throw new IllegalArgumentException(event);
      }
    }
    return clock;
  }

  @ParameterizedTest(name = "{0}: {7}")
  @CsvFileSource(resources = "/conformance/list-clock.csv", delimiter = ';')
  void tells(String lists, String happened, String changed, String now, String told, String watch, String ended,
      String why) {
    ListClock clock = after(lists, happened);
    long at = micros(now);
    assertAll(why,
        () -> assertEquals(told.equals("told"), clock.toldAt(micros(changed)) <= at, "told"),
        () -> assertEquals(watch.equals("broken"), clock.broken(at), "broken"),
        () -> assertEquals(ended.equals("ended"), clock.sendsEndBy(micros(changed)) <= at, "ended"));
  }

  @Test
  void theListHeldIsGoodUntilWhatMayBeMissedEndsSends() {
    assertEquals(ListClock.NEVER, after("asked", "0:call 0.1:line").goodUntil(1_000_000), "a sound watch misses nothing");
    assertEquals(100_000 + 6_000_000 + GRACE + SLACK, after("asked", "0:call 0.1:line").goodUntil(3_000_000));
    assertEquals(GRACE + SLACK, after("pushed", null).goodUntil(0), "a new process has not looked yet");
    assertEquals(5_000_000 + GRACE + SLACK, after("pushed", "0:call 0.1:line 5:down 5:back 5:fail").goodUntil(5_000_000));
  }

  /** A few calls may fail before the list held is no good any more, whatever the draw. */
  @Test
  void asksSoonEnoughForAFewCallsToFail() {
    for (double draw : new double[] {0, 0.999}) {
      ListClock pushed = after("pushed", "0:call 0.1:line 2:fail");
      assertTrue(pushed.askAt(2_000_000, draw) <= 2_000_000 + GRACE / 2, "what the agent has counts already");
      ListClock silent = after("asked", "0:call 0.1:line 2.1:line 4.7:fail");
      assertTrue(silent.askAt(4_700_000, draw) <= 2_100_000 + 6_000_000, "before what was missed counts");
      ListClock out = after("asked", "0:call 0.1:line 5:down");
      assertTrue(out.askAt(20_000_000, draw) <= 20_000_000 + ASK_EVERY / 2, "however long the outage");
      assertEquals(2_700_000, after("asked", "0:call 0.1:line").askAt(1_000_000, draw), "a sound watch is left alone");
    }
  }
}
