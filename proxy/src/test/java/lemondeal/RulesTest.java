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

  private static NodeFixture nodeWith(Idempotency idempotency, DedupScope scope) {
    NodeFixture.Options options = new NodeFixture.Options();
    options.idempotency = idempotency;
    options.dedupScope = scope;
    return new NodeFixture(options);
  }

  private static int answers(NodeFixture node, String id) {
    return (int) node.allActions.stream().filter(a -> (a instanceof Refuse r && r.id().equals(id))
        || (a instanceof Fail f && f.id().equals(id))).count();
  }

  // ---- No request lost

  @Test
  void withNoServerARequestIsHeldThenAnsweredOnceBeforeItIsDue() {
    NodeFixture node = new NodeFixture();
    assertNull(node.arrive("r"));
    node.advance(3 * NodeFixture.SECOND - 1);
    assertEquals(1, answers(node, "r"));
    node.advance(10 * NodeFixture.SECOND);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aHeldRequestIsSentOnceAServerIsKnown() {
    NodeFixture node = new NodeFixture();
    node.arrive("r");
    node.advance(NodeFixture.SECOND / 2);
    node.equalServers(2);
    assertNotNull(NodeFixture.sentTo(node.advance(NodeFixture.SECOND / 2), "r"));
  }

  @Test
  void aRequestWithoutAttemptsLeftGetsOneAnswer() {
    NodeFixture node = new NodeFixture().equalServers(9);
    String server = node.arrive("r");
    int attempts = 0;
    while (server != null) {
      server = NodeFixture.sentTo(node.end("r", attempts++, server, Outcome.REFUSED), "r");
    }
    assertEquals(4, attempts);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aTimeOutAtTheDeadlineIsAnsweredAtOnce() {
    NodeFixture node = new NodeFixture().equalServers(9);
    String server = node.arrive("r");
    node.advance(3 * NodeFixture.SECOND);
    node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(1, answers(node, "r"));
    assertEquals(1, NodeFixture.ofType(node.allActions, Send.class).size());
  }

  @Test
  void requestsAreSentEvenIfAllServersAreEjected() {
    NodeFixture node = new NodeFixture().equalServers(3);
    node.failAll(12, Outcome.NO_CONNECTION);
    assertNotNull(node.arrive("last"));
  }

  @Test
  void aClientThatLeftGetsNoAnswerAndItsAttemptIsCancelled() {
    NodeFixture node = new NodeFixture().equalServers(3);
    String server = node.arrive("r");
    List<Action> actions = node.handle(new ClientGone("r"));
    assertEquals(List.of(new CancelAttempt("r", 0)), actions);
    assertTrue(node.handle(new Ended("r", 0, server, Outcome.CANCELLED, 1, true, null)).isEmpty());
    node.advance(10 * NodeFixture.SECOND);
    assertEquals(0, answers(node, "r"));
    assertEquals(1, NodeFixture.ofType(node.allActions, Send.class).size());
  }

  @Test
  void nothingIsSentAfterTheFinalAnswer() {
    NodeFixture node = new NodeFixture();
    node.arrive("r");
    node.advance(3 * NodeFixture.SECOND);
    node.equalServers(3);
    node.advance(10 * NodeFixture.SECOND);
    assertTrue(NodeFixture.ofType(node.allActions, Send.class).isEmpty());
  }

  @Test
  void manyWaitingRequestsAllGetTheirAnswer() {
    NodeFixture node = new NodeFixture().equalServers(1);
    for (int i = 0; i < 200; i++) {
      node.arrive("r" + i);
    }
    Set<String> sent = new HashSet<>();
    NodeFixture.ofType(node.allActions, Send.class).forEach(s -> sent.add(s.id()));
    assertTrue(sent.size() < 200, "a node never starts all set-ups at once");
    node.advance(4 * NodeFixture.SECOND);
    for (int i = 0; i < 200; i++) {
      assertEquals(sent.contains("r" + i) ? 0 : 1, answers(node, "r" + i));
    }
  }

  // ---- No effect twice

  @Test
  void attemptsAreNeverInFlightTogether() {
    NodeFixture node = new NodeFixture().equalServers(5);
    node.arrive("r");
    assertTrue(NodeFixture.ofType(node.advance(2 * NodeFixture.SECOND), Send.class).isEmpty());
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFails() {
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.SERVED) {
        continue;
      }
      NodeFixture node = nodeWith(Idempotency.UNSAFE, DedupScope.ALL).equalServers(5);
      String server = node.arrive("r");
      String next = NodeFixture.sentTo(node.end("r", 0, server, outcome), "r");
      assertEquals(outcome.mayHaveRun, next == null, outcome.toString());
      if (outcome.mayHaveRun) {
        assertEquals(List.of(new Fail("r")), NodeFixture.ofType(node.allActions, Fail.class));
        assertTrue(NodeFixture.ofType(node.allActions, Refuse.class).isEmpty());
      }
    }
  }

  @Test
  void anUnknownClassIsUnsafe() {
    NodeFixture node = new NodeFixture().equalServers(5);
    Request unknownClass =
        new Request("r", node.now + NodeFixture.SECOND, 9, "c", null, Double.NaN, false, false, 0, false);
    String server = NodeFixture.sentTo(node.handle(new Arrived(unknownClass)), "r");
    List<Action> actions = node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(List.of(new Fail("r")), NodeFixture.ofType(actions, Fail.class));
    assertTrue(NodeFixture.ofType(actions, Send.class).isEmpty());
  }

  @Test
  void aKeyedRequestIsRetriedOnlyWithinItsDedupScope() {
    for (DedupScope scope : List.of(DedupScope.ZONE, DedupScope.CELL)) {
      for (int i = 0; i < 20; i++) {
        NodeFixture node = nodeWith(Idempotency.KEYED, scope)
            .fullList(NodeFixture.server("z0c0a", 0, 0), NodeFixture.server("z0c0b", 0, 0),
            NodeFixture.server("z0c1", 0, 1), NodeFixture.server("z1c2", 1, 2), NodeFixture.server("z1c3", 1, 3));
        String first = node.arrive("r" + i);
        String next = NodeFixture.sentTo(node.end("r" + i, 0, first, Outcome.TIMED_OUT), "r" + i);
        if (next != null) {
          int shared = scope == DedupScope.ZONE ? 2 : 4;
          assertEquals(first.substring(0, shared), next.substring(0, shared));
        } else {
          node.advance(4 * NodeFixture.SECOND);
          assertEquals(List.of(new Fail("r" + i)), NodeFixture.ofType(node.allActions, Fail.class));
        }
      }
    }
  }

  @Test
  void aKeyedRequestIsNotRetriedAfterItsDedupWindow() {
    NodeFixture node = nodeWith(Idempotency.KEYED, DedupScope.ALL).equalServers(5);
    String server = node.arrive("r");
    node.advance(2 * NodeFixture.SECOND + 1);
    assertNull(NodeFixture.sentTo(node.end("r", 0, server, Outcome.TIMED_OUT), "r"));
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aKeyedRequestThatDidNotRunMayGoAnywhere() {
    NodeFixture node = nodeWith(Idempotency.KEYED, DedupScope.CELL)
        .fullList(NodeFixture.server("a", 0, 0), NodeFixture.server("b", 1, 1));
    String server = node.arrive("r");
    String next = NodeFixture.sentTo(node.end("r", 0, server, Outcome.REFUSED), "r");
    assertNotNull(next);
    assertNotEquals(server, next);
  }

  // ---- Drains respected

  @Test
  void drainingAndRemovedServersGetNothingNew() {
    NodeFixture node = new NodeFixture().equalServers(4);
    node.listChanges(NodeFixture.serverInState("s0", ServerState.DRAINING),
        NodeFixture.serverInState("s1", ServerState.GONE));
    for (int i = 0; i < 60; i++) {
      String server = node.open("r" + i, "r" + i, null);
      assertTrue(server.equals("s2") || server.equals("s3"), server);
    }
  }

  @Test
  void aServerAbsentFromAFullListIsRemoved() {
    NodeFixture node = new NodeFixture().equalServers(4);
    node.fullList(NodeFixture.server("s3", 1));
    assertEquals("s3", node.arrive("r"));
  }

  @Test
  void aServerKnownOnlyFromAnAdoptedConnectionIsNotSentTo() {
    NodeFixture node = new NodeFixture().equalServers(2);
    node.handle(new Adopted(node.request("old", "c", "g"), "elsewhere"));
    node.listChanges(NodeFixture.server("s0", 1));
    for (int i = 0; i < 40; i++) {
      assertNotEquals("elsewhere", node.open("r" + i, "r" + i, null));
    }
  }

  // ---- No cold server overloaded

  /** Number of sends to a cold server in a burst of returning clients at every node of a tier. */
  private static int coldSends(int nodes, int burst, boolean settled) {
    int sends = 0;
    for (int nodeIndex = 0; nodeIndex < nodes; nodeIndex++) {
      NodeFixture.Options options = new NodeFixture.Options();
      options.nodeCount = nodes;
      options.nodeIndex = nodeIndex;
      NodeFixture node = new NodeFixture(options).equalServers(4);
      if (settled) {
        for (int i = 0; i < 20; i++) {
          node.open("w" + nodeIndex + "-" + i, "w" + nodeIndex + "-" + i, null);
          node.advance(NodeFixture.SECOND / 2);
        }
      }
      node.listChanges(NodeFixture.serverStartedAt("s0", node.now));
      for (int i = 0; i < burst; i++) {
        String id = "r" + nodeIndex + "-" + i;
        String server = node.open(id, "k" + nodeIndex + "-" + i, null);
        sends += "s0".equals(server) ? 1 : 0;
        node.handle(new Ended(id, 0, server, Outcome.SERVED, 1, true, null));
      }
      for (Action a : node.advance(2 * NodeFixture.SECOND)) {
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
    NodeFixture node = new NodeFixture().equalServers(2);
    node.listChanges(NodeFixture.serverStartedAt("s0", node.now));
    node.advance(11 * NodeFixture.SECOND);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      used.add(node.open("r" + i, "r" + i, null));
    }
    assertEquals(Set.of("s0", "s1"), used);
  }

  @Test
  void aStartInTheFutureCountsAsJustStarted() {
    NodeFixture node = new NodeFixture().equalServers(2);
    node.listChanges(NodeFixture.serverStartedAt("s0", node.now + 100 * NodeFixture.SECOND));
    int coldSends = 0;
    for (int i = 0; i < 40; i++) {
      coldSends += "s0".equals(node.open("r" + i, "r" + i, null)) ? 1 : 0;
    }
    assertTrue(coldSends < 5, coldSends + " of 40 sent to a server that starts in the future");
  }
}
