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

/** Zones that the proxies have closed together, or are opening again. */
class ZoneAdmissionTest {
  private static final int KEYS = 200;

  private static NodeFixture node(NodeFixture.Options options) {
    return new NodeFixture(options)
        .fullList(NodeFixture.server("a0", 0, 0), NodeFixture.server("a1", 0, 0), NodeFixture.server("b0", 1, 0),
        NodeFixture.server("b1", 1, 0));
  }

  private static NodeFixture node() {
    return node(new NodeFixture.Options());
  }

  private static List<String> openAll(NodeFixture node, String idPrefix) {
    List<String> servers = new ArrayList<>();
    for (int i = 0; i < KEYS; i++) {
      servers.add(node.open(idPrefix + i, "key" + i, null));
    }
    return servers;
  }

  @Test
  void aClosedZoneGetsNothingAndRegainsItsKeysWhenOpened() {
    NodeFixture node = node();
    List<String> before = openAll(node, "before");
    node.handle(new ZoneOpen(1, 0, 0, 0));
    List<String> closed = openAll(node, "closed");
    node.handle(new ZoneOpen(1, 1, ZoneOpen.UNLIMITED, 0));
    assertEquals(before, openAll(node, "after"), "an opened zone regains the keys that it had");
    for (int i = 0; i < KEYS; i++) {
      assertTrue(closed.get(i).startsWith("a"));
      assertTrue(!before.get(i).startsWith("a") || before.get(i).equals(closed.get(i)),
          "keys of other zones keep their servers");
    }
    assertTrue(before.stream().anyMatch(server -> server.startsWith("b")));
  }

  @Test
  void aPartlyOpenZoneGetsAGrowingShareOfStableKeys() {
    NodeFixture node = node();
    List<String> before = openAll(node, "before");
    node.handle(new ZoneOpen(1, 0.3, ZoneOpen.UNLIMITED, 0));
    List<String> some = openAll(node, "some");
    node.handle(new ZoneOpen(1, 0.7, ZoneOpen.UNLIMITED, 0));
    List<String> more = openAll(node, "more");
    long someCount = some.stream().filter(server -> server.startsWith("b")).count();
    long moreCount = more.stream().filter(server -> server.startsWith("b")).count();
    assertTrue(someCount > 0 && someCount < moreCount
        && moreCount < before.stream().filter(server -> server.startsWith("b")).count());
    for (int i = 0; i < KEYS; i++) {
      assertFalse(some.get(i).startsWith("b") && !some.get(i).equals(more.get(i)), "admitted keys stay admitted");
    }
  }

  @Test
  void theSendLimitOfAZoneHolds() {
    NodeFixture node = node();
    node.handle(new ZoneOpen(1, 1, 3, 0));
    assertEquals(3, openAll(node, "few").stream().filter(server -> server.startsWith("b")).count());
  }

  @Test
  void theRequestedNumberOfConnectionsMovesHighestWorthFirst() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.secondClassWorth = 5;
    NodeFixture node = node(options);
    List<String> highWorthInZone = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String id = "c" + i;
      Request usual = node.request(id, id, null);
      Request request = new Request(id, usual.due(), i % 2, id, null, Double.NaN, false, false, 0, false);
      String server = NodeFixture.sentTo(node.handle(new Arrived(request)), id);
      node.handle(new Established(id, 0, server, 5_000));
      if (i % 2 == 1 && server.startsWith("b")) {
        highWorthInZone.add(id);
      }
    }
    List<Action> actions = node.handle(new ZoneOpen(1, 0, 0, highWorthInZone.size()));
    assertEquals(highWorthInZone, NodeFixture.ofType(actions, Move.class).stream().map(Move::id).toList());
  }

  /** Without any open zone a client gets a refusal with a retry time at once. */
  @Test
  void withEveryZoneClosedClientsAreRefusedAtOnce() {
    NodeFixture node = node();
    node.handle(new ZoneOpen(0, 0, 0, 0));
    node.handle(new ZoneOpen(1, 0, 0, 0));
    List<Action> actions = node.handle(new Arrived(node.request("r", "k", null)));
    assertEquals(1, NodeFixture.ofType(actions, Refuse.class).size());
    assertTrue(NodeFixture.ofType(actions, Refuse.class).get(0).retryAfter() > 0);
  }
}
