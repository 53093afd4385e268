package lemondeal.discovery.clock;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import lemondeal.discovery.ModelledDiscovery;
import lemondeal.discovery.ModelledDiscovery.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the pages say of when a change counts as told: a row for each sentence, in the table beside. */
class ListClockTest {
  private static final long ASK_EVERY = 10_000_000;
  private static final long GRACE = 1_000_000;
  private static final long SLACK = 50_000;

  private static ListClock clock(String lists) {
    long wait = lists.startsWith("waits ") ? micros(lists.substring(6)) : 0;
    long askEvery = lists.startsWith("asked ") ? micros(lists.substring(6)) : ASK_EVERY;
    return new ListClock(new ListClock.Settings(lists.equals("pushed"), askEvery, GRACE, SLACK, wait), 0);
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
    assertEquals(ListClock.NEVER, after("asked", "0:call 0.1:line").goodUntil(1_000_000), "sound: misses nothing");
    assertEquals(100_000 + 6_000_000 + GRACE + SLACK, after("asked", "0:call 0.1:line").goodUntil(3_000_000));
    assertEquals(GRACE + SLACK, after("pushed", null).goodUntil(0), "a new process has not looked yet");
    assertEquals(GRACE + SLACK, after("asked", null).goodUntil(0), "nor has one that asks");
    ListClock failing = after("asked", "0:call 0.1:line 4:line 5:down 13:back 13.1:call 14:fail");
    assertEquals(13_000_000 + 6_000_000 + GRACE + SLACK, failing.goodUntil(14_000_000), "whatever failed");
    ListClock back = after("pushed", "0:call 0.1:line 5:down 5:back 5:fail");
    assertEquals(5_000_000 + GRACE + SLACK, back.goodUntil(5_000_000));
  }

  /** Before the list held is no good any more, whatever the draw; where lists are pushed two calls may fail. */
  @Test
  void asksSoonEnough() {
    for (double draw : new double[] {0, 0.999}) {
      ListClock pushed = after("pushed",
          "0:call 0.1:line 2:fail 2.1:call 2.2:fail 2.3:call 2.4:fail 2.5:call 2.6:fail");
      assertTrue(3 * (pushed.askAt(2_600_000, draw) - 2_600_000) < GRACE, "what the agent has counts already");
      ListClock silent = after("asked", "0:call 0.1:line 2.1:line 4.7:fail");
      assertTrue(silent.askAt(4_700_000, draw) <= 2_100_000 + 6_000_000, "before what was missed counts");
      ListClock out = after("asked", "0:call 0.1:line 5:down");
      assertTrue(out.askAt(20_000_000, draw) <= 20_000_000 + ASK_EVERY / 2, "however long the outage");
      assertEquals(2_700_000, after("asked", "0:call 0.1:line").askAt(1_000_000, draw), "a sound watch is left alone");
    }
  }

  /** The same pause each time brings all proxies to a discovery that is overrun for as long as it is. */
  @Test
  void pausesGrowWherePushedListsAreAskedForInVain() {
    ListClock clock = after("pushed", "0:call 0.1:line 2.1:line 3:fail");
    long first = clock.askAt(3_000_000, 0.5) - 3_000_000;
    clock.called(3_100_000);
    clock.failed(3_200_000);
    assertEquals(2 * first, clock.askAt(3_200_000, 0.5) - 3_200_000);
    for (int i = 0; i < 100; i++) {
      clock.failed(4_000_000);
    }
    assertEquals(GRACE / 5, clock.askAt(4_000_000, 0.5) - 4_000_000, "but not past what the grace leaves room for");
    clock.heard(5_000_000);
    clock.failed(5_100_000);
    assertEquals(GRACE / 5, clock.askAt(5_100_000, 0.5) - 5_100_000, "a watch of one line is no better than none");
    clock.called(6_000_000);
    clock.heard(6_100_000);
    clock.heard(8_100_000);
    clock.failed(8_200_000);
    assertEquals(first, clock.askAt(8_200_000, 0.5) - 8_200_000, "one that lasted is");
  }

  /** One process without a watch, whose calls a modelled discovery answers. */
  private static final class Caller {
    private final ModelledDiscovery discovery;
    private final ListClock clock;
    private final SplittableRandom random;
    private int toFail;
    private long calledAt = -1;
    private long listedAt = -1;

    Caller(ModelledDiscovery discovery, long seed) {
      this.discovery = discovery;
      clock = clock("pushed");
      random = new SplittableRandom(seed);
    }

    void call() {
      calledAt = calledAt < 0 ? discovery.now() : calledAt;
      clock.called(discovery.now());
      discovery.call(this::answered);
    }

    private void answered(Reply reply) {
      if (reply == Reply.REFUSED) {
        clock.down(discovery.now());
      } else {
        clock.back(discovery.now());
      }
      if (reply == Reply.LIST && toFail-- <= 0) {
        listedAt = discovery.now();
        return;
      }
      if (reply != Reply.REFUSED) {
        clock.failed(discovery.now());
      }
      discovery.after(clock.askAt(discovery.now(), random.nextDouble()) - discovery.now(), this::call);
    }
  }

  /** What the agent has counts at once at its return: the list is there within the grace, also if two calls fail. */
  @ParameterizedTest
  @ValueSource(ints = {0, 2})
  void aHundredHaveTheirPushedListsWithinTheGraceOfTheReturn(int toFail) {
    ModelledDiscovery discovery = new ModelledDiscovery(500, GRACE);
    discovery.goDown();
    List<Caller> all = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      all.add(new Caller(discovery, i));
      all.get(i).call();
    }
    discovery.runTo(8_000_000);
    int before = discovery.calls.size();
    discovery.runTo(9_000_000);
    int outage = discovery.calls.size() - before;
    assertTrue(outage <= 350, outage + " calls a second while it is down");
    discovery.comeBack();
    all.forEach(caller -> caller.calledAt = -1);
    all.forEach(caller -> caller.toFail = toFail);
    discovery.runTo(9_000_000 + GRACE);
    assertEquals(0, all.stream().filter(caller -> caller.listedAt < 0).count(), "without a list");
    assertTrue(all.stream().allMatch(caller -> caller.calledAt <= 9_000_000 + GRACE * 6 / 10));
  }

  /** Settings without a grace must not make a busy loop of it. */
  @Test
  void thereIsAlwaysAPauseBetweenTwoCalls() {
    for (boolean pushed : new boolean[] {true, false}) {
      ListClock clock = new ListClock(new ListClock.Settings(pushed, 0, 0, SLACK, 0), 0);
      clock.called(0);
      clock.failed(1_000);
      assertTrue(clock.askAt(1_000, 0) >= 1_000 + 20_000);
    }
  }
}
