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
import lemondeal.Balancer.Effect;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.RepeatScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The rules: one final answer in time, no effect twice, drains kept, no cold server pushed over. */
class RulesTest {

  private static Node with(Effect effect, RepeatScope scope) {
    Node.With with = new Node.With();
    with.effect = effect;
    with.scope = scope;
    return new Node(with);
  }

  private static int answers(Node node, String id) {
    return (int) node.done.stream().filter(a -> (a instanceof Refuse r && r.id().equals(id))
        || (a instanceof Fail f && f.id().equals(id))).count();
  }

  // ---- No request lost

  @Test
  void withNoServerARequestIsHeldThenAnsweredOnceBeforeItIsDue() {
    Node node = new Node();
    assertNull(node.arrive("r"));
    node.pass(3 * Node.SECOND - 1);
    assertEquals(1, answers(node, "r"));
    node.pass(10 * Node.SECOND);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aHeldRequestIsSentOnceAServerIsKnown() {
    Node node = new Node();
    node.arrive("r");
    node.pass(Node.SECOND / 2);
    node.fleet(2);
    assertNotNull(Node.sentTo(node.pass(Node.SECOND / 2), "r"));
  }

  @Test
  void outOfAttemptsMeansOneAnswer() {
    Node node = new Node().fleet(9);
    String server = node.arrive("r");
    int attempts = 0;
    while (server != null) {
      server = Node.sentTo(node.end("r", attempts++, server, Outcome.REFUSED), "r");
    }
    assertEquals(4, attempts);
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aTimeOutAtTheDeadlineIsAnsweredAtOnce() {
    Node node = new Node().fleet(9);
    String server = node.arrive("r");
    node.pass(3 * Node.SECOND);
    node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(1, answers(node, "r"));
    assertEquals(1, Node.only(node.done, Send.class).size());
  }

  @Test
  void allServersPassedOverStillServes() {
    Node node = new Node().fleet(3);
    node.failAll(12, Outcome.NO_CONNECTION);
    assertNotNull(node.arrive("last"));
  }

  @Test
  void aClientThatLeftGetsNoAnswerAndItsAttemptIsCalledOff() {
    Node node = new Node().fleet(3);
    String server = node.arrive("r");
    List<Action> actions = node.take(new ClientGone("r"));
    assertEquals(List.of(new CancelAttempt("r", 0)), actions);
    assertTrue(node.take(new Ended("r", 0, server, Outcome.CANCELLED, 1, true, null)).isEmpty());
    node.pass(10 * Node.SECOND);
    assertEquals(0, answers(node, "r"));
    assertEquals(1, Node.only(node.done, Send.class).size());
  }

  @Test
  void nothingIsSentAfterTheFinalAnswer() {
    Node node = new Node();
    node.arrive("r");
    node.pass(3 * Node.SECOND);
    node.fleet(3);
    node.pass(10 * Node.SECOND);
    assertTrue(Node.only(node.done, Send.class).isEmpty());
  }

  @Test
  void manyWaitingRequestsAllGetTheirAnswer() {
    Node node = new Node().fleet(1);
    for (int i = 0; i < 200; i++) {
      node.arrive("r" + i);
    }
    Set<String> sent = new HashSet<>();
    Node.only(node.done, Send.class).forEach(s -> sent.add(s.id()));
    assertTrue(sent.size() < 200, "a node never starts all set-ups at once");
    node.pass(4 * Node.SECOND);
    for (int i = 0; i < 200; i++) {
      assertEquals(sent.contains("r" + i) ? 0 : 1, answers(node, "r" + i));
    }
  }

  // ---- No effect twice

  @Test
  void attemptsAreNeverOutTogether() {
    Node node = new Node().fleet(5);
    node.arrive("r");
    assertTrue(Node.only(node.pass(2 * Node.SECOND), Send.class).isEmpty());
  }

  @Test
  void anUnsafeRequestThatMayHaveRunFailsWithoutAPromise() {
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.SERVED) {
        continue;
      }
      Node node = with(Effect.UNSAFE, RepeatScope.ALL).fleet(5);
      String server = node.arrive("r");
      String next = Node.sentTo(node.end("r", 0, server, outcome), "r");
      assertEquals(outcome.mayHaveRun, next == null, outcome.toString());
      if (outcome.mayHaveRun) {
        assertEquals(List.of(new Fail("r")), Node.only(node.done, Fail.class));
        assertTrue(Node.only(node.done, Refuse.class).isEmpty());
      }
    }
  }

  @Test
  void aClassNeverHeardOfIsUnsafe() {
    Node node = new Node().fleet(5);
    Request odd = new Request("r", node.now + Node.SECOND, 9, "c", null, Double.NaN, false, false, 0, false);
    String server = Node.sentTo(node.take(new Arrived(odd)), "r");
    List<Action> actions = node.end("r", 0, server, Outcome.TIMED_OUT);
    assertEquals(List.of(new Fail("r")), Node.only(actions, Fail.class));
    assertTrue(Node.only(actions, Send.class).isEmpty());
  }

  @Test
  void aKeyedRequestGoesOnOnlyWhereItsRepeatsAreDropped() {
    for (RepeatScope scope : List.of(RepeatScope.ZONE, RepeatScope.CELL)) {
      for (int i = 0; i < 20; i++) {
        Node node = with(Effect.KEYED, scope).full(Node.server("z0c0a", 0, 0), Node.server("z0c0b", 0, 0),
            Node.server("z0c1", 0, 1), Node.server("z1c2", 1, 2), Node.server("z1c3", 1, 3));
        String first = node.arrive("r" + i);
        String next = Node.sentTo(node.end("r" + i, 0, first, Outcome.TIMED_OUT), "r" + i);
        if (next != null) {
          int shared = scope == RepeatScope.ZONE ? 2 : 4;
          assertEquals(first.substring(0, shared), next.substring(0, shared));
        } else {
          node.pass(4 * Node.SECOND);
          assertEquals(List.of(new Fail("r" + i)), Node.only(node.done, Fail.class));
        }
      }
    }
  }

  @Test
  void aKeyedRequestIsNotSentAgainOnceItIsForgotten() {
    Node node = with(Effect.KEYED, RepeatScope.ALL).fleet(5);
    String server = node.arrive("r");
    node.pass(2 * Node.SECOND + 1);
    assertNull(Node.sentTo(node.end("r", 0, server, Outcome.TIMED_OUT), "r"));
    assertEquals(1, answers(node, "r"));
  }

  @Test
  void aKeyedRequestThatSurelyDidNotRunIsFree() {
    Node node = with(Effect.KEYED, RepeatScope.CELL).full(Node.server("a", 0, 0), Node.server("b", 1, 1));
    String server = node.arrive("r");
    String next = Node.sentTo(node.end("r", 0, server, Outcome.REFUSED), "r");
    assertNotNull(next);
    assertNotEquals(server, next);
  }

  // ---- Drains kept

  @Test
  void drainingAndGoneServersGetNothingNew() {
    Node node = new Node().fleet(4);
    node.change(Node.state("s0", ServerState.DRAINING), Node.state("s1", ServerState.GONE));
    for (int i = 0; i < 60; i++) {
      String server = node.open("r" + i, "r" + i, null);
      assertTrue(server.equals("s2") || server.equals("s3"), server);
    }
  }

  @Test
  void aServerAbsentFromAFullListIsGone() {
    Node node = new Node().fleet(4);
    node.full(Node.server("s3", 1));
    assertEquals("s3", node.arrive("r"));
  }

  @Test
  void aServerKnownOnlyFromAnAdoptedConnectionIsNotSentTo() {
    Node node = new Node().fleet(2);
    node.take(new Adopted(node.request("old", "c", "g"), "elsewhere"));
    node.change(Node.server("s0", 1));
    for (int i = 0; i < 40; i++) {
      assertNotEquals("elsewhere", node.open("r" + i, "r" + i, null));
    }
  }

  // ---- No cold server pushed over

  /** A rush of returning clients at every node of a tier, and what a cold server is sent of it. */
  private static int coldSends(int nodes, int rush, boolean warmedUp) {
    int sends = 0;
    for (int n = 0; n < nodes; n++) {
      Node.With with = new Node.With();
      with.nodes = nodes;
      with.node = n;
      Node node = new Node(with).fleet(4);
      if (warmedUp) {
        for (int i = 0; i < 20; i++) {
          node.open("w" + n + "-" + i, "w" + n + "-" + i, null);
          node.pass(Node.SECOND / 2);
        }
      }
      node.change(Node.started("s0", node.now));
      for (int i = 0; i < rush; i++) {
        String id = "r" + n + "-" + i;
        String server = node.open(id, "k" + n + "-" + i, null);
        sends += "s0".equals(server) ? 1 : 0;
        node.take(new Ended(id, 0, server, Outcome.SERVED, 1, true, null));
      }
      for (Action a : node.pass(2 * Node.SECOND)) {
        sends += a instanceof Send s && s.server().equals("s0") ? 1 : 0;
      }
    }
    return sends;
  }

  @Test
  void theNodesTogetherKeepTheColdBudgetInARush() {
    for (int nodes : new int[] {1, 5, 40}) {
      // Each node holds 20 connections, a quarter of them at each server, which fills one in 10 s at the
      // rate nodes x 20 / 4 / 10 s; three times the coldest share of it in 2 s, twice for two windows.
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
    Node node = new Node().fleet(2);
    node.change(Node.started("s0", node.now));
    node.pass(11 * Node.SECOND);
    Set<String> met = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      met.add(node.open("r" + i, "r" + i, null));
    }
    assertEquals(Set.of("s0", "s1"), met);
  }

  @Test
  void aStartInTheFutureCountsAsJustStarted() {
    Node node = new Node().fleet(2);
    node.change(Node.started("s0", node.now + 100 * Node.SECOND));
    int cold = 0;
    for (int i = 0; i < 40; i++) {
      cold += "s0".equals(node.open("r" + i, "r" + i, null)) ? 1 : 0;
    }
    assertTrue(cold < 5, cold + " of 40 sent to a server whose start lies ahead");
  }
}
