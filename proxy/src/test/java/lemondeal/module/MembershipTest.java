package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Limits;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Prices;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Rules;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.Balancer.WeightMeaning;
import lemondeal.discovery.SimulatedDiscovery;
import lemondeal.discovery.SimulatedDiscovery.Reply;
import org.junit.jupiter.api.Test;

/** When the module subscribes: early enough to miss no change, and not so often that discovery is overloaded. */
class MembershipTest {
  private static final long SECOND = 1_000_000;
  /** Time within which a change must take effect once discovery has it and is reachable. */
  private static final long LIST_DEADLINE = 6 * SECOND;
  private static final long GRACE = SECOND;
  private static final int NODES = 100;
  private static final long CALL_TIMEOUT = 2 * SECOND;

  private static Settings settings(long pollInterval) {
    RequestClass requestClass =
        new RequestClass(Idempotency.SAFE, DedupScope.ALL, 2 * SECOND, SECOND / 2, 3 * SECOND, 1, 100_000);
    return new Settings(0, NODES, 0, List.of(requestClass), List.of(),
        new Rules(20_000, GRACE, 3, 2 * SECOND, 0.2, 10 * SECOND, pollInterval),
        new Limits(4, true, false, false, false, true, SECOND, 100_000),
        new Prices(0.01, 0.1, 0.002, 0.01, 0.02), WeightMeaning.NOMINAL, true, false, false, false, false, 0.1);
  }

  /** A process that subscribes to its list. */
  private static final class Process {
    private final SimulatedDiscovery discovery;
    private final DecisionModule module = new DecisionModule();
    /** Number of calls that fail before one succeeds. */
    private int failuresLeft;
    private boolean ignoresReplies;
    private int calls;
    private long calledAt = -1;
    private long listedAt = -1;

    Process(SimulatedDiscovery discovery, long seed) {
      this(discovery, seed, 10 * SECOND);
    }

    Process(SimulatedDiscovery discovery, long seed, long pollInterval) {
      this.discovery = discovery;
      handle(new Start(seed, settings(pollInterval)));
      handle(new ServerList(1, ListKind.SAVED, List.of()));
    }

    void handle(Event event) {
      for (Action action : module.on(discovery.now(), event)) {
        if (action instanceof WakeAfter a) {
          discovery.after(a.delay(), () -> handle(new Wake(a.token())));
        } else if (action instanceof Subscribe) {
          calledAt = calledAt < 0 ? discovery.now() : calledAt;
          calls++;
          discovery.call(this::replied);
        }
      }
    }

    private void replied(Reply reply) {
      boolean fails = reply != Reply.LIST || failuresLeft-- > 0;
      if (!fails) {
        listedAt = discovery.now();
      }
      if (!ignoresReplies) {
        handle(new ServerList(2, fails ? ListKind.FAILED : ListKind.FULL, List.of()));
      }
    }

    /** The watch ends; calls count from the next {@link #resetCounts} on. */
    void watchEnds() {
      listedAt = -1;
      handle(new ServerList(2, ListKind.FAILED, List.of()));
    }

    void resetCounts() {
      calls = 0;
      calledAt = -1;
    }
  }

  private static List<Process> processes(SimulatedDiscovery discovery) {
    List<Process> all = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      all.add(new Process(discovery, 1_000 + i));
    }
    return all;
  }

  /** Drains from before a process's start apply to it at once, and it must stop sending within the grace. */
  @Test
  void aProcessSubscribesWithinHalfOfTheDrainGraceOfItsStart() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000, CALL_TIMEOUT);
    for (Process process : processes(discovery)) {
      discovery.runUntil(discovery.now() + GRACE / 2 + 2_000);
      assertTrue(process.listedAt >= 0, "no list within the grace");
    }
    assertEquals(NODES, discovery.callTimes.size());
  }

  /** The first calls were once spread over four seconds, and the last nodes used an old list for as long. */
  @Test
  void aHundredNodesThatStartTogetherHaveTheirListWithinSixSeconds() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(40_000, CALL_TIMEOUT);
    List<Process> all = processes(discovery);
    discovery.runUntil(LIST_DEADLINE);
    assertEquals(0, all.stream().filter(process -> process.listedAt < 0).count());
    assertTrue(discovery.maxCallsPerSecond() <= 2 * NODES, discovery.maxCallsPerSecond() + " calls in a second");
  }

  @Test
  void aHundredNodesHaveTheirListWithinSixSecondsOfDiscoverysRecovery() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(40_000, CALL_TIMEOUT);
    List<Process> all = processes(discovery);
    discovery.runUntil(20 * SECOND);
    discovery.goDown();
    all.forEach(Process::watchEnds);
    discovery.runUntil(28 * SECOND);
    discovery.comeUp();
    all.forEach(Process::resetCounts);
    discovery.runUntil(29 * SECOND);
    assertEquals(0, all.stream().filter(process -> process.calledAt < 0).count(), "not called within a second");
    discovery.runUntil(28 * SECOND + LIST_DEADLINE);
    assertEquals(0, all.stream().filter(process -> process.listedAt < 0).count(), "without a list");
    assertTrue(discovery.maxCallsPerSecond() <= 3 * NODES, discovery.maxCallsPerSecond() + " calls in a second");
  }

  /** Every process has its list in time even if two more of its calls fail. */
  @Test
  void twoFailedCallsAfterTheRecoveryLeaveTimeForAThird() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000, CALL_TIMEOUT);
    List<Process> all = processes(discovery);
    discovery.runUntil(20 * SECOND);
    discovery.goDown();
    all.forEach(Process::watchEnds);
    discovery.runUntil(28 * SECOND);
    discovery.comeUp();
    all.forEach(process -> process.failuresLeft = 2);
    // Time for three of the longest back-offs and for the calls' wait in the queue.
    discovery.runUntil(28 * SECOND + LIST_DEADLINE / 2);
    assertEquals(0, all.stream().filter(process -> process.listedAt < 0).count());
  }

  /** Calls that time out in discovery's queue keep it overloaded if they are repeated as soon as others. */
  @Test
  void callsThatFailedInTheQueueBackOffLonger() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000 * SECOND, SECOND);
    List<Process> all = processes(discovery);
    discovery.runUntil(60 * SECOND);
    int before = discovery.callTimes.size();
    discovery.runUntil(70 * SECOND);
    int calls = discovery.callTimes.size() - before;
    assertTrue(calls <= 10 * NODES * 4 / 10, calls + " calls in 10 s");
    discovery.goDown();
    discovery.runUntil(80 * SECOND);
    all.forEach(Process::resetCounts);
    discovery.runUntil(81 * SECOND);
    long called = all.stream().filter(process -> process.calledAt >= 0).count();
    assertTrue(called >= NODES - 1, "calls that fail at once are repeated soon: by all but the one that is served");
  }

  /** After an outage, two calls fail after a second in the queue each: the third is made within six seconds. */
  @Test
  void twoCallsThatFailInTheQueueLeaveTimeForAThird() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000 * SECOND, SECOND);
    discovery.goDown();
    List<Process> all = processes(discovery);
    discovery.runUntil(10 * SECOND);
    discovery.comeUp();
    // Occupies the only slot, so that every other call fails in the queue.
    discovery.call(reply -> { });
    all.forEach(Process::resetCounts);
    discovery.runUntil(10 * SECOND + LIST_DEADLINE);
    assertEquals(0, all.stream().filter(process -> process.calls < 3).count());
  }

  /** The deadline holds however long the poll interval of the settings is. */
  @Test
  void anUnansweredCallIsRepeatedWithinTheListDeadline() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000, CALL_TIMEOUT);
    Process process = new Process(discovery, 1, 60 * SECOND);
    process.ignoresReplies = true;
    discovery.runUntil(GRACE / 2);
    assertEquals(1, discovery.callTimes.size());
    discovery.runUntil(discovery.callTimes.get(0) + LIST_DEADLINE);
    assertEquals(2, discovery.callTimes.size());
  }

  /** Without growing back-offs, all nodes would call again and again while discovery refuses them. */
  @Test
  void backoffGrowsAndIsRandomized() {
    SimulatedDiscovery discovery = new SimulatedDiscovery(1_000, CALL_TIMEOUT);
    discovery.goDown();
    List<Process> all = processes(discovery);
    discovery.runUntil(SECOND);
    final int first = discovery.callTimes.size();
    discovery.runUntil(60 * SECOND);
    int before = discovery.callTimes.size();
    discovery.runUntil(61 * SECOND);
    int later = discovery.callTimes.size() - before;
    assertTrue(later < first && later <= 2 * NODES, first + " calls in the first second, " + later + " later");
    long distinctTimes = discovery.callTimes.subList(before, discovery.callTimes.size()).stream().distinct().count();
    assertTrue(distinctTimes > later * 9 / 10, "calls must be spread");
    assertEquals(NODES, all.size());
  }
}
