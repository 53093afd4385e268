package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer.Action;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The rules: one final answer in time, no effect twice, drains respected, no cold server overloaded. */
class RulesTest {

  private static TestNode nodeWith(Idempotency idempotency, DedupScope scope) {
    TestNode.Options options = new TestNode.Options();
    options.idempotency = idempotency;
    options.dedupScope = scope;
    return new TestNode(options);
  }

  private static int answers(TestNode node, String id) {
    return (int) node.allActions.stream().filter(a -> (a instanceof Refuse r && r.id().equals(id))
        || (a instanceof Fail f && f.id().equals(id))).count();
  }

  // ---- No request lost

  @Test
  void withNoServerARequestIsHeldThenAnsweredOnceBeforeItIsDue() {
    TestNode node = new TestNode();
    assertNull(node.arrive("r"));
    node.advance(3 * TestNode.SECOND - 1);
    assertEquals(1, answers(node, "r"));
    node.advance(10 * TestNode.SECOND);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aHeldRequestIsSentOnceAServerIsKnown() {
    TestNode node = new TestNode();
    node.arrive("r");
    node.advance(TestNode.SECOND / 2);
    node.equalServers(2);
    assertNotNull(TestNode.sentTo(node.advance(TestNode.SECOND / 2), "r"));
  }

  @Test
  void aRequestWithoutAttemptsLeftGetsOneAnswer() {
    TestNode node = new TestNode().equalServers(9);
    String server = node.arrive("r");
    int attempts = 0;
    while (server != null) {
      server = TestNode.sentTo(node.end("r", attempts++, server, Outcome.REFUSED), "r");
    }
    assertEquals(4, attempts);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aTimeOutAtTheDeadlineIsAnsweredAtOnce() {
    TestNode node = new TestNode().equalServers(9);
    String server = node.arrive("r");
    node.advance(3 * TestNode.SECOND);
    node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(1, answers(node, "r"));
    assertEquals(1, TestNode.ofType(node.allActions, Send.class).size());
  }

  @Test
  void requestsAreSentEvenIfAllServersAreEjected() {
    TestNode node = new TestNode().equalServers(3);
    node.failAll(12, Outcome.NO_CONNECTION);
    assertNotNull(node.arrive("last"));
  }

  @Test
  void aClientThatLeftGetsNoAnswerAndItsAttemptIsCancelled() {
    TestNode node = new TestNode().equalServers(3);
    String server = node.arrive("r");
    List<Action> actions = node.handle(new ClientGone("r"));
    assertEquals(List.of(new CancelAttempt("r", 0)), actions);
    assertTrue(node.handle(new Ended("r", 0, server, Outcome.CANCELLED, 1, true, null)).isEmpty());
    node.advance(10 * TestNode.SECOND);
    assertEquals(0, answers(node, "r"));
    assertEquals(1, TestNode.ofType(node.allActions, Send.class).size());
  }

  @Test
  void nothingIsSentAfterTheFinalAnswer() {
    TestNode node = new TestNode();
    node.arrive("r");
    node.advance(3 * TestNode.SECOND);
    node.equalServers(3);
    node.advance(10 * TestNode.SECOND);
    assertTrue(TestNode.ofType(node.allActions, Send.class).isEmpty());
  }

  @Test
  void manyWaitingRequestsAllGetTheirAnswer() {
    TestNode node = new TestNode().equalServers(1);
    for (int i = 0; i < 200; i++) {
      node.arrive("r" + i);
    }
    Set<String> sent = new HashSet<>();
    TestNode.ofType(node.allActions, Send.class).forEach(s -> sent.add(s.id()));
    assertTrue(sent.size() < 200, "a node never starts all set-ups at once");
    node.advance(4 * TestNode.SECOND);
    for (int i = 0; i < 200; i++) {
      assertEquals(sent.contains("r" + i) ? 0 : 1, answers(node, "r" + i));
    }
  }

  // ---- No effect twice

  @Test
  void attemptsAreNeverInFlightTogether() {
    TestNode node = new TestNode().equalServers(5);
    node.arrive("r");
    assertTrue(TestNode.ofType(node.advance(2 * TestNode.SECOND), Send.class).isEmpty());
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFails() {
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.SERVED) {
        continue;
      }
      TestNode node = nodeWith(Idempotency.UNSAFE, DedupScope.ALL).equalServers(5);
      String server = node.arrive("r");
      String next = TestNode.sentTo(node.end("r", 0, server, outcome), "r");
      assertEquals(outcome.mayHaveRun, next == null, outcome.toString());
      if (outcome.mayHaveRun) {
        assertEquals(List.of(new Fail("r")), TestNode.ofType(node.allActions, Fail.class));
        assertTrue(TestNode.ofType(node.allActions, Refuse.class).isEmpty());
      }
    }
  }

  @Test
  void anUnknownClassIsUnsafe() {
    TestNode node = new TestNode().equalServers(5);
    Request unknownClass =
        new Request("r", node.now + TestNode.SECOND, 9, "c", null, Double.NaN, false, false, 0, false);
    String server = TestNode.sentTo(node.handle(new Arrived(unknownClass)), "r");
    List<Action> actions = node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(List.of(new Fail("r")), TestNode.ofType(actions, Fail.class));
    assertTrue(TestNode.ofType(actions, Send.class).isEmpty());
  }

  @Test
  void aKeyedRequestIsRetriedOnlyWithinItsDedupScope() {
    for (DedupScope scope : List.of(DedupScope.ZONE, DedupScope.CELL)) {
      for (int i = 0; i < 20; i++) {
        TestNode node = nodeWith(Idempotency.KEYED, scope)
            .fullList(TestNode.server("z0c0a", 0, 0), TestNode.server("z0c0b", 0, 0),
            TestNode.server("z0c1", 0, 1), TestNode.server("z1c2", 1, 2), TestNode.server("z1c3", 1, 3));
        String first = node.arrive("r" + i);
        String next = TestNode.sentTo(node.end("r" + i, 0, first, Outcome.TIMED_OUT), "r" + i);
        if (next != null) {
          int shared = scope == DedupScope.ZONE ? 2 : 4;
          assertEquals(first.substring(0, shared), next.substring(0, shared));
        } else {
          node.advance(4 * TestNode.SECOND);
          assertEquals(List.of(new Fail("r" + i)), TestNode.ofType(node.allActions, Fail.class));
        }
      }
    }
  }

  @Test
  void aKeyedRequestIsNotRetriedAfterItsDedupWindow() {
    TestNode node = nodeWith(Idempotency.KEYED, DedupScope.ALL).equalServers(5);
    String server = node.arrive("r");
    node.advance(2 * TestNode.SECOND + 1);
    assertNull(TestNode.sentTo(node.end("r", 0, server, Outcome.TIMED_OUT), "r"));
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aKeyedRequestThatDidNotRunMayGoAnywhere() {
    TestNode node = nodeWith(Idempotency.KEYED, DedupScope.CELL)
        .fullList(TestNode.server("a", 0, 0), TestNode.server("b", 1, 1));
    String server = node.arrive("r");
    String next = TestNode.sentTo(node.end("r", 0, server, Outcome.REFUSED), "r");
    assertNotNull(next);
    assertNotEquals(server, next);
  }

  // ---- Drains respected

  @Test
  void drainingAndRemovedServersGetNothingNew() {
    TestNode node = new TestNode().equalServers(4);
    node.listChanges(TestNode.serverInState("s0", ServerState.DRAINING),
        TestNode.serverInState("s1", ServerState.GONE));
    for (int i = 0; i < 60; i++) {
      String server = node.open("r" + i, "r" + i, null);
      assertTrue(server.equals("s2") || server.equals("s3"), server);
    }
  }

  @Test
  void aServerAbsentFromAFullListIsRemoved() {
    TestNode node = new TestNode().equalServers(4);
    node.fullList(TestNode.server("s3", 1));
    assertEquals("s3", node.arrive("r"));
  }

  @Test
  void aServerKnownOnlyFromAnAdoptedConnectionIsNotSentTo() {
    TestNode node = new TestNode().equalServers(2);
    node.handle(new Adopted(node.request("old", "c", "g"), "elsewhere"));
    node.listChanges(TestNode.server("s0", 1));
    for (int i = 0; i < 40; i++) {
      assertNotEquals("elsewhere", node.open("r" + i, "r" + i, null));
    }
  }

  // ---- No cold server overloaded

  /** Number of sends to a cold server in a burst of returning clients at every node of a tier. */
  private static int coldSends(int nodes, int burst, boolean settled) {
    int sends = 0;
    for (int nodeIndex = 0; nodeIndex < nodes; nodeIndex++) {
      TestNode.Options options = new TestNode.Options();
      options.nodeCount = nodes;
      options.nodeIndex = nodeIndex;
      TestNode node = new TestNode(options).equalServers(4);
      if (settled) {
        for (int i = 0; i < 20; i++) {
          node.open("w" + nodeIndex + "-" + i, "w" + nodeIndex + "-" + i, null);
          node.advance(TestNode.SECOND / 2);
        }
      }
      node.listChanges(TestNode.serverStartedAt("s0", node.now));
      for (int i = 0; i < burst; i++) {
        String id = "r" + nodeIndex + "-" + i;
        String server = node.open(id, "k" + nodeIndex + "-" + i, null);
        sends += "s0".equals(server) ? 1 : 0;
        node.handle(new Ended(id, 0, server, Outcome.SERVED, 1, true, null));
      }
      for (Action a : node.advance(2 * TestNode.SECOND)) {
        sends += a instanceof Send s && s.server().equals("s0") ? 1 : 0;
      }
    }
    return sends;
  }

  @Test
  void theNodesTogetherKeepTheColdBudgetInABurst() {
    for (int nodes : new int[] {1, 5, 40}) {
      // Each node holds 20 connections, a quarter of them at each server: one is filled in 10 s at a rate of
      // nodes x 20 / 4 / 10 s. The budget of a window of 2 s is three times the cold share of it; two windows.
      double budget = nodes * 20 / 4.0 / 10 * 3 * 0.36 * 2;
      int sends = coldSends(nodes, 100, true);
      assertTrue(sends <= 2 * budget + 2, nodes + " nodes sent " + sends + ", budget " + budget);
    }
  }

  @Test
  void nodesThatHaveJustRestartedSendAColdServerNothing() {
    assertEquals(0, coldSends(10, 1, false));
  }

  @Test
  void aWarmServerIsUsedInFull() {
    TestNode node = new TestNode().equalServers(2);
    node.listChanges(TestNode.serverStartedAt("s0", node.now));
    node.advance(11 * TestNode.SECOND);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      used.add(node.open("r" + i, "r" + i, null));
    }
    assertEquals(Set.of("s0", "s1"), used);
  }

  @Test
  void aStartInTheFutureCountsAsJustStarted() {
    TestNode node = new TestNode().equalServers(2);
    node.listChanges(TestNode.serverStartedAt("s0", node.now + 100 * TestNode.SECOND));
    int coldSends = 0;
    for (int i = 0; i < 40; i++) {
      coldSends += "s0".equals(node.open("r" + i, "r" + i, null)) ? 1 : 0;
    }
    assertTrue(coldSends < 5, coldSends + " of 40 sent to a server that starts in the future");
  }
}
