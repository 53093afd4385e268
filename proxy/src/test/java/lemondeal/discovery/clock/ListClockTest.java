package lemondeal.discovery.clock;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import lemondeal.discovery.SimulatedDiscovery;
import lemondeal.discovery.SimulatedDiscovery.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The documented rules on when a list change counts as known: one row for each rule in list-clock.csv. */
class ListClockTest {
  private static final long POLL_INTERVAL = 10_000_000;
  private static final long GRACE = 1_000_000;
  private static final long SLACK = 50_000;

  private static ListClock clock(String listMode) {
    long longPollWait = listMode.startsWith("waits ") ? micros(listMode.substring(6)) : 0;
    long pollInterval = listMode.startsWith("asked ") ? micros(listMode.substring(6)) : POLL_INTERVAL;
    return new ListClock(
        new ListClock.Settings(listMode.equals("pushed"), pollInterval, GRACE, SLACK, longPollWait), 0);
  }

  private static long micros(String seconds) {
    return Math.round(Double.parseDouble(seconds) * 1e6);
  }

  private static ListClock clockAfter(String listMode, String history) {
    ListClock clock = clock(listMode);
    long calledAt = 0;
    for (String event : history == null ? new String[0] : history.split(" ")) {
      String[] parts = event.split(":");
      long at = micros(parts[0]);
      switch (parts[1]) {
        case "call" -> clock.callStarted(calledAt = at);
        case "reject" -> clock.callRejected(calledAt, at);
        case "line" -> clock.lineReceived(at);
        case "part" -> clock.bytesReceived(at);
        case "answer" -> clock.listReceived(at);
        case "fail" -> clock.callFailed(at);
        case "down" -> clock.discoveryUnreachable(at);
        case "back" -> clock.discoveryReachable(at);
        case "reload" -> clock.reconfigured(at);
        default -> throw new IllegalArgumentException(event);
      }
    }
    return clock;
  }

  @ParameterizedTest(name = "{0}: {7}")
  @CsvFileSource(resources = "/conformance/list-clock.csv", delimiter = ';')
  void matchesTheConformanceTable(String listMode, String history, String changedAt, String now, String known,
      String watchState, String sendsEnded, String reason) {
    ListClock clock = clockAfter(listMode, history);
    long at = micros(now);
    assertAll(reason,
        () -> assertEquals(known.equals("told"), clock.knownAt(micros(changedAt)) <= at, "told"),
        () -> assertEquals(watchState.equals("broken"), clock.isBroken(at), "broken"),
        () -> assertEquals(sendsEnded.equals("ended"), clock.sendDeadline(micros(changedAt)) <= at, "ended"));
  }

  @Test
  void heldListIsValidUntilAMissedChangeEndsSends() {
    assertEquals(ListClock.NEVER, clockAfter("asked", "0:call 0.1:line").listValidUntil(1_000_000),
        "an intact watch misses nothing");
    assertEquals(100_000 + 6_000_000 + GRACE + SLACK, clockAfter("asked", "0:call 0.1:line").listValidUntil(3_000_000));
    assertEquals(GRACE + SLACK, clockAfter("pushed", null).listValidUntil(0),
        "a new process has not received a list yet");
    assertEquals(GRACE + SLACK, clockAfter("asked", null).listValidUntil(0), "the same in poll mode");
    ListClock failing = clockAfter("asked", "0:call 0.1:line 4:line 5:down 13:down 13:back 13.1:call 14:fail");
    assertEquals(13_000_000 + 6_000_000 + GRACE + SLACK, failing.listValidUntil(14_000_000),
        "failed calls do not extend the limit");
    ListClock back = clockAfter("pushed", "0:call 0.1:line 5:down 5:back 5:fail");
    assertEquals(5_000_000 + GRACE + SLACK, back.listValidUntil(5_000_000));
  }

  /** Guards against sends by a list of which discovery may have listed a server as draining for over 6 s: review/10. */
  @ParameterizedTest(name = "{0}: {4}")
  @CsvSource(delimiter = ';', value = {
      "asked; 0:call 0.1:line; 1; never; an intact watch misses nothing",
      "asked; 0:call 0.1:line; 3; 7.15; a silent one does from its last line on",
      "asked; 0:call 3:reject; 4; 7.05; a new process learns of changes from its start on",
      "asked; 0:call 3:reject 4:call; 7; 7.05; a pending call brings no list",
      "asked; 0:call 0.1:line 4:line 5:fail 5:call 8:reject 9:call 12:reject; 13; 12.05; nor do calls that fail",
      "asked; 0:call 0.1:line 4:line 5:fail 5:call 8:reject 9:call 9.1:line; 13; 16.15; a list begins anew",
      "asked; 0:call 0.1:line 4:line 5:fail 5:call 5.1:reject; 60; never; while discovery is down it lists nothing new",
      "asked; 0:call 0.1:line 5:line 5:fail 5:call 5.1:reject 6:call 9:reject; 9; 12.15; until its queue is back",
      "asked; 0:call 0.1:line 4:line 5:reload 5:call; 6; 12.05; a new discovery may list other states",
      "asked 2; 0:call 0.1:line 4:line 5:fail; 6; 8.05; a shorter poll interval ends it earlier",
      "pushed; 0:call; 3; 7.05; an agent that says nothing may be broken",
      "pushed; 0:call 3.6:fail; 60; never; or discovery is down",
      "pushed; 0:call 0.1:line 4:line 5:fail 5:call; 5.9; 12.05; the same after a watch has ended",
      "pushed; 0:call 0.1:line 4:line 5:fail 5:call 6:reject; 6; 6.05; what a failing agent has counts at once",
      "pushed; 0:call 0.1:line 4:line 5:fail 5:call 5.1:reject; 60; never; unless discovery is down"})
  void newRequestsEndBeforeAMissedDrainIsTooOld(String listMode, String history, String now, String until,
      String reason) {
    long allowedUntil = clockAfter(listMode, history).validity(micros(now)).until();
    assertEquals(until.equals("never") ? ListClock.NEVER : micros(until), allowedUntil, reason);
  }

  /** A list may be used for longer only as long as discovery may be down, which the end of an intact watch shows. */
  @ParameterizedTest
  @CsvSource(delimiter = ';', value = {"0:call 0.1:line 2:line 3:fail 3:call 6:reject; true",
      "0:call 3:reject; false", "0:call 0.1:line 2:line 5:fail; false", "0:call 0.1:answer 1:call 4:reject; false",
      "0:call 0.1:line 2:line 3:fail 3:call 6:reject 6:reload; false",
      "0:call 0.1:line 2:line 3:fail 3:call 3.1:line 6:fail; false"})
  void anOutageIsPossibleAfterTheEndOfAnIntactWatch(String history, boolean possible) {
    assertEquals(possible, clockAfter("asked", history).validity(7_000_000).outagePossible());
  }

  /**
   * The next call comes before the held list expires, whatever the jitter; in push mode there is time for two failed
   * calls.
   */
  @Test
  void callsBeforeTheHeldListExpires() {
    for (double jitter : new double[] {0, 0.999}) {
      ListClock pushed = clockAfter("pushed",
          "0:call 0.1:line 2:fail 2.1:call 2.2:fail 2.3:call 2.4:fail 2.5:call 2.6:fail");
      assertTrue(3 * (pushed.nextCallAt(2_600_000, jitter) - 2_600_000) < GRACE,
          "what the agent holds already counts as known");
      ListClock silent = clockAfter("asked", "0:call 0.1:line 2.1:line 4.7:fail");
      assertTrue(silent.nextCallAt(4_700_000, jitter) <= 2_100_000 + 6_000_000,
          "before the missed change counts as known");
      ListClock unreachable = clockAfter("asked", "0:call 0.1:line 5:down");
      assertTrue(unreachable.nextCallAt(20_000_000, jitter) <= 20_000_000 + POLL_INTERVAL / 2,
          "however long the outage");
      assertEquals(2_700_000, clockAfter("asked", "0:call 0.1:line").nextCallAt(1_000_000, jitter),
          "an intact watch is not reopened");
    }
  }

  /** A constant pause would keep all proxies calling an overloaded discovery, and so keep it overloaded. */
  @Test
  void failedCallsBackOffExponentiallyInPushMode() {
    ListClock clock = clockAfter("pushed", "0:call 0.1:line 2.1:line 3:fail");
    long first = clock.nextCallAt(3_000_000, 0.5) - 3_000_000;
    clock.callStarted(3_100_000);
    clock.callFailed(3_200_000);
    assertEquals(2 * first, clock.nextCallAt(3_200_000, 0.5) - 3_200_000);
    for (int i = 0; i < 100; i++) {
      clock.callFailed(4_000_000);
    }
    assertEquals(GRACE / 5, clock.nextCallAt(4_000_000, 0.5) - 4_000_000, "bounded by the drain grace");
    clock.lineReceived(5_000_000);
    clock.callFailed(5_100_000);
    assertEquals(GRACE / 5, clock.nextCallAt(5_100_000, 0.5) - 5_100_000,
        "a watch that ended after one line does not reset the backoff");
    clock.callStarted(6_000_000);
    clock.lineReceived(6_100_000);
    clock.lineReceived(8_100_000);
    clock.callFailed(8_200_000);
    assertEquals(first, clock.nextCallAt(8_200_000, 0.5) - 8_200_000, "a watch that lasted does");
  }

  /** One process without a watch, whose calls a simulated discovery answers. */
  private static final class Caller {
    private final SimulatedDiscovery discovery;
    private final ListClock clock;
    private final SplittableRandom random;
    private int remainingFailures;
    private long firstCallAt = -1;
    private long listReceivedAt = -1;

    Caller(SimulatedDiscovery discovery, long seed) {
      this.discovery = discovery;
      clock = clock("pushed");
      random = new SplittableRandom(seed);
    }

    void call() {
      firstCallAt = firstCallAt < 0 ? discovery.now() : firstCallAt;
      clock.callStarted(discovery.now());
      discovery.call(this::onReply);
    }

    private void onReply(Reply reply) {
      if (reply == Reply.REFUSED) {
        clock.discoveryUnreachable(discovery.now());
      } else {
        clock.discoveryReachable(discovery.now());
      }
      if (reply == Reply.LIST && remainingFailures-- <= 0) {
        listReceivedAt = discovery.now();
        return;
      }
      if (reply != Reply.REFUSED) {
        clock.callFailed(discovery.now());
      }
      discovery.after(clock.nextCallAt(discovery.now(), random.nextDouble()) - discovery.now(), this::call);
    }
  }

  /**
   * At discovery's return everything that the agent holds counts as known at once: each proxy has its list within the
   * drain grace, even if two of its calls fail.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 2})
  void hundredProxiesGetTheirListsWithinTheGraceAfterAnOutage(int failuresPerCaller) {
    SimulatedDiscovery discovery = new SimulatedDiscovery(500, GRACE);
    discovery.goDown();
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      callers.add(new Caller(discovery, i));
      callers.get(i).call();
    }
    discovery.runUntil(8_000_000);
    int callsBefore = discovery.callTimes.size();
    discovery.runUntil(9_000_000);
    int callsDuringOutage = discovery.callTimes.size() - callsBefore;
    assertTrue(callsDuringOutage <= 350, callsDuringOutage + " calls a second while it is down");
    discovery.comeUp();
    callers.forEach(caller -> caller.firstCallAt = -1);
    callers.forEach(caller -> caller.remainingFailures = failuresPerCaller);
    discovery.runUntil(9_000_000 + GRACE);
    assertEquals(0, callers.stream().filter(caller -> caller.listReceivedAt < 0).count(), "callers without a list");
    assertTrue(callers.stream().allMatch(caller -> caller.firstCallAt <= 9_000_000 + GRACE * 6 / 10));
  }

  /** Settings without a drain grace must not cause a busy loop. */
  @Test
  void thereIsAlwaysAPauseBetweenTwoCalls() {
    for (boolean pushed : new boolean[] {true, false}) {
      ListClock clock = new ListClock(new ListClock.Settings(pushed, 0, 0, SLACK, 0), 0);
      clock.callStarted(0);
      clock.callFailed(1_000);
      assertTrue(clock.nextCallAt(1_000, 0) >= 1_000 + 20_000);
    }
  }
}
