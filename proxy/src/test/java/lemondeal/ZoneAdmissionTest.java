package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.ZoneOpen;
import org.junit.jupiter.api.Test;

/** Zones that the fleet left together, or opens again. */
class ZoneAdmissionTest {
  private static final int KEYS = 200;

  private static Node node(Node.With with) {
    return new Node(with).full(Node.server("a0", 0, 0), Node.server("a1", 0, 0), Node.server("b0", 1, 0),
        Node.server("b1", 1, 0));
  }

  private static Node node() {
    return node(new Node.With());
  }

  private static List<String> places(Node node, String round) {
    List<String> places = new ArrayList<>();
    for (int i = 0; i < KEYS; i++) {
      places.add(node.open(round + i, "key" + i, null));
    }
    return places;
  }

  @Test
  void nobodyIsSentToAClosedZoneAndItsKeysComeBack() {
    Node node = node();
    List<String> before = places(node, "before");
    node.take(new ZoneOpen(1, 0, 0, 0));
    List<String> closed = places(node, "closed");
    node.take(new ZoneOpen(1, 1, ZoneOpen.ANY, 0));
    assertEquals(before, places(node, "after"), "a returning zone gets the keys that it had");
    for (int i = 0; i < KEYS; i++) {
      assertTrue(closed.get(i).startsWith("a"));
      assertTrue(!before.get(i).startsWith("a") || before.get(i).equals(closed.get(i)), "others stay where they were");
    }
    assertTrue(before.stream().anyMatch(server -> server.startsWith("b")));
  }

  @Test
  void aShareOfTheKeysEntersAZoneThatOpensAndGrowsWithoutChangingPlaces() {
    Node node = node();
    List<String> before = places(node, "before");
    node.take(new ZoneOpen(1, 0.3, ZoneOpen.ANY, 0));
    List<String> some = places(node, "some");
    node.take(new ZoneOpen(1, 0.7, ZoneOpen.ANY, 0));
    List<String> more = places(node, "more");
    long in = some.stream().filter(server -> server.startsWith("b")).count();
    long then = more.stream().filter(server -> server.startsWith("b")).count();
    assertTrue(in > 0 && in < then && then < before.stream().filter(server -> server.startsWith("b")).count());
    for (int i = 0; i < KEYS; i++) {
      assertFalse(some.get(i).startsWith("b") && !some.get(i).equals(more.get(i)), "who has entered stays");
    }
  }

  @Test
  void noMoreAreSentThanToldOf() {
    Node node = node();
    node.take(new ZoneOpen(1, 1, 3, 0));
    assertEquals(3, places(node, "few").stream().filter(server -> server.startsWith("b")).count());
  }

  @Test
  void asManyLeaveAsToldAndThoseWorthMostFirst() {
    Node.With with = new Node.With();
    with.secondClassWorth = 5;
    Node node = node(with);
    List<String> dear = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String id = "c" + i;
      Request usual = node.request(id, id, null);
      Request request = new Request(id, usual.due(), i % 2, id, null, Double.NaN, false, false, 0, false);
      String server = Node.sentTo(node.take(new Arrived(request)), id);
      node.take(new Established(id, 0, server, 5_000));
      if (i % 2 == 1 && server.startsWith("b")) {
        dear.add(id);
      }
    }
    List<Action> left = node.take(new ZoneOpen(1, 0, 0, dear.size()));
    assertEquals(dear, Node.only(left, Move.class).stream().map(Move::id).toList());
  }

  /** Where nothing else can be had, a client is told at once when to come again. */
  @Test
  void withEveryDoorClosedClientsAreRefusedAtOnce() {
    Node node = node();
    node.take(new ZoneOpen(0, 0, 0, 0));
    node.take(new ZoneOpen(1, 0, 0, 0));
    List<Action> answer = node.take(new Arrived(node.request("r", "k", null)));
    assertEquals(1, Node.only(answer, Refuse.class).size());
    assertTrue(Node.only(answer, Refuse.class).get(0).retryAfter() > 0);
  }
}
