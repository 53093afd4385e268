package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Effect;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.RepeatScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import org.junit.jupiter.api.Test;

/** Where a repeat or a leaving client crosses another event inside the module. */
class RepeatCrossingsTest {

  private static Node.With with(Effect effect, RepeatScope scope) {
    Node.With with = new Node.With();
    with.effect = effect;
    with.scope = scope;
    return with;
  }

  private static List<Action> answers(List<Action> actions) {
    return actions.stream().filter(a -> a instanceof Refuse || a instanceof Fail).toList();
  }

  private static LoadReport report(double demand) {
    return new LoadReport(demand, Double.NaN, 20, Double.NaN, Double.NaN);
  }

  /** Two servers: the request was sent to one, and the other takes nobody for two seconds; the first is returned. */
  private static String otherIsLate(Node node) {
    node.fleet(2);
    String first = node.arrive("r");
    String other = first.equals("s0") ? "s1" : "s0";
    // Heard of a connection that was open before: the server's messages are late by more than the aim.
    node.take(new Adopted(new Request("old", node.now + Node.SECOND, 0, "o", null, Double.NaN, false, false, 0,
        false), other));
    node.late("old", other, 150);
    return first;
  }

  // ---- Repeats

  @Test
  void aRepeatThatWaitedIsNotSentOnceItsWindowIsOver() {
    Node.With with = with(Effect.KEYED, RepeatScope.ALL);
    with.repeatWindow = Node.SECOND;
    Node node = new Node(with);
    String first = otherIsLate(node);
    node.pass(Node.SECOND - 50_000);
    List<Action> actions = node.end("r", 0, first, Outcome.RESET);
    assertNull(Node.sentTo(actions, "r"), "no place yet");
    assertEquals(List.of(), answers(actions), "within its window it waits for one");
    actions = node.pass(2 * Node.SECOND);
    assertNull(Node.sentTo(actions, "r"), "a place came free, but after the window");
    assertEquals(1, answers(actions).size());
  }

  @Test
  void aRepeatThatWaitedIsSentWithinItsWindow() {
    Node.With with = with(Effect.KEYED, RepeatScope.ALL);
    with.repeatWindow = 3 * Node.SECOND;
    Node node = new Node(with);
    String first = otherIsLate(node);
    node.pass(Node.SECOND - 50_000);
    node.end("r", 0, first, Outcome.RESET);
    assertNotNull(Node.sentTo(node.pass(2 * Node.SECOND), "r"));
  }

  /** The dial may take long, and what the module sent within the window then reached the server after it. */
  @Test
  void aRepeatGivesUpWhenItsWindowEnds() {
    Node.With with = with(Effect.KEYED, RepeatScope.ALL);
    with.repeatWindow = Node.SECOND;
    Node node = new Node(with).fleet(4);
    String first = node.arrive("r");
    node.pass(900_000);
    List<Send> sent = Node.only(node.end("r", 0, first, Outcome.RESET), Send.class);
    assertEquals(1, sent.size());
    assertTrue(sent.get(0).timeout() > 0 && sent.get(0).timeout() <= 100_000, sent + " with 0.1 s left");
  }

  @Test
  void aRepeatOfWhatSurelyDidNotRunHasAllItsTime() {
    Node.With with = with(Effect.KEYED, RepeatScope.ALL);
    with.repeatWindow = Node.SECOND;
    Node node = new Node(with).fleet(4);
    String first = node.arrive("r");
    node.pass(900_000);
    List<Send> sent = Node.only(node.end("r", 0, first, Outcome.REFUSED), Send.class);
    assertTrue(sent.get(0).timeout() > 500_000, sent + ": no window has begun");
  }

  @Test
  void aWaitingRepeatIsAnsweredOnceWhenItsDeadlinePasses() {
    Node node = new Node();
    String first = otherIsLate(node);
    node.pass(2_900_000);
    node.late("old", first.equals("s0") ? "s1" : "s0", 150);
    List<Action> actions = new ArrayList<>(node.end("r", 0, first, Outcome.RESET));
    actions.addAll(node.pass(10 * Node.SECOND));
    assertNull(Node.sentTo(actions, "r"));
    assertEquals(1, answers(actions).size());
  }

  /** The window and the group count from the first attempt that may have run, not from one that never did. */
  @Test
  void theFirstAttemptThatMayHaveRunBinds() {
    Node.With with = with(Effect.KEYED, RepeatScope.CELL);
    with.repeatWindow = Node.SECOND;
    for (int i = 0; i < 40; i++) {
      Node node = new Node(with).full(Node.server("c0a", 0, 0), Node.server("c0b", 0, 0),
          Node.server("c1a", 0, 1), Node.server("c1b", 0, 1));
      String id = "r" + i;
      String first = node.arrive(id);
      node.pass(800_000);
      String second = Node.sentTo(node.end(id, 0, first, Outcome.NO_CONNECTION), id);
      node.pass(800_000);
      List<Action> actions = node.end(id, 1, second, Outcome.RESET);
      String third = Node.sentTo(actions, id);
      if (third == null) {
        assertEquals(first.substring(0, 2), second.substring(0, 2), "its cell has no other server left");
      } else {
        assertEquals(second.substring(0, 2), third.substring(0, 2));
        assertNotEquals(second, third);
      }
    }
  }

  @Test
  void anUnsafeRequestThatWasResetAfterRefusalsFails() {
    for (Outcome never : List.of(Outcome.NO_CONNECTION, Outcome.REFUSED, Outcome.NOT_SENT)) {
      for (Outcome perhaps : List.of(Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.ERROR)) {
        Node node = new Node(with(Effect.UNSAFE, RepeatScope.ALL)).fleet(5);
        String second = Node.sentTo(node.end("r", 0, node.arrive("r"), never), "r");
        assertNotNull(second, never + " proves that it never ran");
        List<Action> actions = new ArrayList<>(node.end("r", 1, second, perhaps));
        actions.addAll(node.pass(5 * Node.SECOND));
        assertEquals(List.of(new Fail("r")), answers(actions), never + ", " + perhaps);
        assertNull(Node.sentTo(actions, "r"));
      }
    }
  }

  /** A refusal promises that trying again is harmless: asked of every effect, scope and outcome. */
  @Test
  void onlyWhatMayBeRepeatedIsRefused() {
    for (Effect effect : Effect.values()) {
      for (RepeatScope scope : RepeatScope.values()) {
        for (Outcome outcome : Outcome.values()) {
          Node node = new Node(with(effect, scope)).fleet(1);
          node.arrive("r");
          if (outcome == Outcome.SERVED) {
            continue;
          }
          List<Action> actions = new ArrayList<>(node.end("r", 0, "s0", outcome));
          actions.addAll(node.pass(5 * Node.SECOND));
          boolean may = !outcome.mayHaveRun || effect == Effect.SAFE
              || (effect == Effect.KEYED && scope == RepeatScope.ALL);
          assertEquals(1, answers(actions).size());
          assertEquals(may, answers(actions).get(0) instanceof Refuse, effect + " " + scope + " " + outcome);
        }
      }
    }
  }

  /** A second word on an attempt whose repeat waits belongs to nobody: it is no end of the repeat. */
  @Test
  void aSecondOutcomeWhileTheRepeatWaitsChangesNothing() {
    Node node = new Node();
    String first = otherIsLate(node);
    assertEquals(1, Node.only(node.end("r", 0, first, Outcome.RESET), WakeAfter.class).size());
    for (Outcome outcome : Outcome.values()) {
      assertEquals(List.of(), Node.only(node.end("r", 0, first, outcome), WakeAfter.class), outcome.toString());
    }
    assertNotNull(Node.sentTo(node.pass(2_500_000), "r"), "it is sent once a place comes free");
  }

  /** The connection that a client had before counts as its first attempt: it binds as one that was sent. */
  @Test
  void anAdoptedConnectionBindsItsRepeats() {
    Node.With with = with(Effect.KEYED, RepeatScope.CELL);
    with.repeatWindow = 2_000 * Node.SECOND;
    Node node = new Node(with).full(Node.server("c0a", 0, 0), Node.server("c0b", 0, 0), Node.server("c1a", 0, 1));
    node.take(new Adopted(node.request("r", "r", null), "c0a"));
    assertEquals("c0b", Node.sentTo(node.end("r", 0, "c0a", Outcome.RESET), "r"));
  }

  @Test
  void aServerThatBeginsToDrainWhileItsProbeIsOutIsNotSentTo() {
    Node.With with = new Node.With();
    with.probes = true;
    Node node = new Node(with).fleet(2);
    String asked = Node.only(node.take(new Arrived(node.request("r", "r", null))), Probe.class).get(0).server();
    node.change(Node.state(asked, ServerState.DRAINING));
    List<Action> actions = new ArrayList<>(
        node.take(new ProbeResult(asked, Outcome.SERVED, 1_000, report(0.1))));
    actions.addAll(node.pass(Node.SECOND));
    assertNotNull(Node.sentTo(actions, "r"));
    assertNotEquals(asked, Node.sentTo(actions, "r"));
  }

  // ---- Client gone

  /** Nothing is sent for the request, nor answered, whatever comes later. */
  private static void staysGone(Node node, String id) {
    int from = node.done.size();
    for (int i = 0; i < 4; i++) {
      node.change(Node.server("new" + i, 1));
      node.take(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.1)));
      node.pass(Node.SECOND);
    }
    for (Action action : node.done.subList(from, node.done.size())) {
      assertTrue(!(action instanceof Send s && s.id().equals(id)), "sent on for a client that has gone");
      assertTrue(!(action instanceof Refuse r && r.id().equals(id)) && !(action instanceof Fail f
          && f.id().equals(id)), "answered for a client that has gone");
    }
  }

  @Test
  void whoLeavesWhileWaitingForAPlaceIsNotSentOn() {
    Node node = new Node();
    assertNull(node.arrive("r"));
    node.take(new ClientGone("r"));
    node.fleet(2);
    staysGone(node, "r");
  }

  @Test
  void whoLeavesWhileWaitingForASetUpIsNotSentOn() {
    Node node = new Node().fleet(2);
    List<String> sent = new ArrayList<>();
    String waiting = null;
    for (int i = 0; waiting == null; i++) {
      if (node.arrive("r" + i) != null) {
        sent.add("r" + i);
      } else {
        waiting = "r" + i;
      }
    }
    node.take(new ClientGone(waiting));
    for (String id : sent) {
      node.take(new Established(id, 0, "s0", 5_000));
    }
    staysGone(node, waiting);
  }

  @Test
  void whoLeavesInTheRoundOfTheProbesAnswerIsNotSentOn() {
    Node.With with = new Node.With();
    with.probes = true;
    Node node = new Node(with).fleet(1);
    node.take(new Arrived(node.request("r", "r", null)));
    node.take(new ClientGone("r"));
    assertEquals(List.of(), node.take(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.1))));
    staysGone(node, "r");
    // The other order: it was sent on, and that attempt is called off.
    Node other = new Node(with).fleet(1);
    other.take(new Arrived(other.request("r", "r", null)));
    assertEquals("s0", Node.sentTo(other.take(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.1))), "r"));
    assertEquals(List.of(new CancelAttempt("r", 0)), other.take(new ClientGone("r")));
    assertEquals(List.of(), other.end("r", 0, "s0", Outcome.CANCELLED));
    staysGone(other, "r");
  }

  @Test
  void whoLeavesInTheRoundOfTheWakeUpIsNotSentOn() {
    Node node = new Node();
    WakeAfter wake = Node.only(node.take(new Arrived(node.request("r", "r", null))), WakeAfter.class).get(0);
    node.take(new ClientGone("r"));
    assertEquals(List.of(), node.take(new Wake(wake.token())));
    node.fleet(2);
    staysGone(node, "r");
  }

  @Test
  void whoLeavesWithAnAttemptOutIsNeverRepeated() {
    for (boolean cancels : new boolean[] {true, false}) {
      for (Outcome outcome : Outcome.values()) {
        Node.With with = new Node.With();
        with.cancels = cancels;
        Node node = new Node(with).fleet(5);
        String server = node.arrive("r");
        List<Action> actions = node.take(new ClientGone("r"));
        assertEquals(cancels ? List.of(new CancelAttempt("r", 0)) : List.of(), actions);
        assertEquals(List.of(), answers(node.end("r", 0, server, outcome)), outcome.toString());
        staysGone(node, "r");
      }
    }
  }

  @Test
  void whoLeavesInTheRoundOfTheOutcomeHasItsRepeatCalledOff() {
    Node node = new Node().fleet(5);
    String first = node.arrive("r");
    String second = Node.sentTo(node.end("r", 0, first, Outcome.RESET), "r");
    assertEquals(List.of(new CancelAttempt("r", 1)), node.take(new ClientGone("r")));
    assertEquals(List.of(), node.end("r", 1, second, Outcome.CANCELLED));
    staysGone(node, "r");
  }

  @Test
  void whoLeavesWhileItsRepeatWaitsIsNotSentOn() {
    Node node = new Node();
    String first = otherIsLate(node);
    assertNull(Node.sentTo(node.end("r", 0, first, Outcome.RESET), "r"));
    node.take(new ClientGone("r"));
    staysGone(node, "r");
  }

  /** The connection was just up: its client's place at the server was held for ever, and counted in all shares. */
  @Test
  void whoLeavesAsItsConnectionComesUpIsForgottenOnceThatEnds() {
    Node node = new Node().fleet(5);
    String server = null;
    for (int i = 0; i < 40; i++) {
      String id = "gone" + i;
      server = node.open(id, id, "g");
      node.take(new ClientGone(id));
      node.take(new Ended(id, 0, server, Outcome.CANCELLED, 5_000, true, null));
    }
    node.open("r", "r", "g");
    for (Balancer.Move move : Node.only(node.late("r", server, 2_000), Balancer.Move.class)) {
      assertEquals("r", move.id(), "moved who had gone");
    }
  }

  /** Old wake-ups know the request that set them, not one that has its id now. */
  @Test
  void aNewRequestOfTheSameIdInheritsNoWakeUp() {
    Node node = new Node();
    WakeAfter old = Node.only(node.take(new Arrived(node.request("r", "r", null))), WakeAfter.class).get(0);
    node.take(new ClientGone("r"));
    node.take(new Arrived(node.request("r", "r", null)));
    assertEquals(List.of(), node.take(new Wake(old.token())));
  }

  /** Each look at a waiting request set one more wake-up, each of which looked again: they added up. */
  @Test
  void awaitedWakeUpsDoNotAddUp() {
    Node.With with = new Node.With();
    with.probes = true;
    Node node = new Node(with).fleet(1);
    node.take(new Arrived(node.request("r", "r", null)));
    node.take(new ProbeResult("s0", Outcome.SERVED, 1_000, report(1.2)));
    node.pass(200_000);
    int wakes = Node.only(node.pass(Node.SECOND), WakeAfter.class).size();
    assertTrue(wakes <= 11, wakes + " wake-ups in a second for one that looks each 0.1 s");
  }
}
