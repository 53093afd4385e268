package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Weighted rendezvous hashing: shares by weight, fallback by rank, agreement of nodes, minimal disruption. */
class RankingTest {
  private static final int KEYS = 20_000;

  /** The server of each of a fixed set of groups, by a new node that knows only the list. */
  private static Map<String, String> placement(ServerEntry... entries) {
    Map<String, String> serverByKey = new HashMap<>();
    NodeFixture node = new NodeFixture().fullList(entries);
    for (int i = 0; i < KEYS; i++) {
      String id = "r" + i;
      String server = node.arrive(id, "c" + i, "g" + i);
      serverByKey.put("g" + i, server);
      node.end(id, 0, server, Outcome.SERVED);
      node.handle(new Balancer.ClientGone(id));
      node.handle(new Balancer.Ended(id, 0, server, Outcome.CANCELLED, 1, true, null));
    }
    return serverByKey;
  }

  private static ServerEntry[] fleet(double... weights) {
    ServerEntry[] entries = new ServerEntry[weights.length];
    for (int i = 0; i < weights.length; i++) {
      entries[i] = NodeFixture.server("10.0.0." + i + ":80", weights[i]);
    }
    return entries;
  }

  @Test
  void sharesOfKeysFollowWeights() {
    double[] weights = {1, 2, 3, 4, 1.5};
    Map<String, Integer> counts = new HashMap<>();
    placement(fleet(weights)).values().forEach(s -> counts.merge(s, 1, Integer::sum));
    double total = 11.5;
    for (int i = 0; i < weights.length; i++) {
      double share = weights[i] / total;
      double deviation = Math.sqrt(KEYS * share * (1 - share));
      // Four standard deviations of the binomial; the key set is fixed, so the result is deterministic.
      assertEquals(KEYS * share, counts.get("10.0.0." + i + ":80"), 4 * deviation);
    }
  }

  @Test
  void removingAServerMovesOnlyItsKeys() {
    Map<String, String> before = placement(fleet(1, 1, 2, 1, 1, 1));
    Map<String, String> after = placement(fleet(1, 1, 2, 1, 1));
    before.forEach((key, server) -> {
      if (!server.equals("10.0.0.5:80")) {
        assertEquals(server, after.get(key));
      }
    });
  }

  @Test
  void reweightingAServerMovesKeysOnlyToIt() {
    Map<String, String> before = placement(fleet(1, 1, 2, 1, 1));
    Map<String, String> after = placement(fleet(1, 1, 3, 1, 1));
    int moved = 0;
    for (String key : before.keySet()) {
      if (!before.get(key).equals(after.get(key))) {
        assertEquals("10.0.0.2:80", after.get(key));
        moved++;
      }
    }
    assertTrue(moved > 0);
  }

  @Test
  void independentNodesAgreeWhateverTheOrderOfTheList() {
    ServerEntry[] entries = fleet(1, 2, 1, 3);
    ServerEntry[] reordered = {entries[3], entries[1], entries[0], entries[2]};
    assertEquals(placement(entries), placement(reordered));
  }

  @Test
  void fallbackFollowsThePlainFormula() {
    double[] weights = {1, 2, 3, 1, 2};
    NodeFixture.Options options = new NodeFixture.Options();
    options.maxAttempts = 5;
    for (int keyIndex = 0; keyIndex < 50; keyIndex++) {
      NodeFixture node = new NodeFixture(options).fullList(fleet(weights));
      String id = "r" + keyIndex;
      List<String> tried = new ArrayList<>();
      String server = node.arrive(id, "c", "g" + keyIndex);
      for (int attempt = 0; server != null && attempt < 3; attempt++) {
        tried.add(server);
        server = NodeFixture.sentTo(node.end(id, attempt, server, Outcome.NO_CONNECTION), id);
      }
      assertEquals(plainRanking("g" + keyIndex, weights).subList(0, tried.size()), tried);
      assertEquals(3, tried.size());
    }
  }

  /** The formula of the design, implemented apart from the module, with the documented hash. */
  private static List<String> plainRanking(String key, double[] weights) {
    Map<String, Double> scores = new HashMap<>();
    for (int i = 0; i < weights.length; i++) {
      String name = "10.0.0." + i + ":80";
      long h = finalizer(finalizer(fnv(key)) ^ finalizer(fnv(name)));
      double unit = ((h >>> 12) + 0.5) / Math.pow(2, 52);
      scores.put(name, -weights[i] / StrictMath.log(unit));
    }
    return scores.keySet().stream().sorted((a, b) -> Double.compare(scores.get(b), scores.get(a))).toList();
  }

  private static long fnv(String text) {
    long h = -3750763034362895579L;
    for (char c : text.toCharArray()) {
      h ^= c;
      h *= 1099511628211L;
    }
    return h;
  }

  private static long finalizer(long z) {
    z = (z ^ (z >>> 30)) * -4658895280553007687L;
    z = (z ^ (z >>> 27)) * -7723592293110705685L;
    return z ^ (z >>> 31);
  }

  @Test
  void groupsStayTogetherOnlyWhereTheyShareWork() {
    NodeFixture shared = new NodeFixture().equalServers(8);
    assertEquals(shared.arrive("a", "c1", "g"), shared.arrive("b", "c2", "g"));
    NodeFixture.Options options = new NodeFixture.Options();
    options.groupsShareWork = false;
    NodeFixture node = new NodeFixture(options).equalServers(8);
    long servers = java.util.stream.IntStream.range(0, 4).mapToObj(i -> node.arrive("r" + i, "k" + i, "g"))
        .distinct().count();
    assertTrue(servers > 1);
  }

  @Test
  void aRequestWithoutKeysIsPlacedByItsId() {
    NodeFixture a = new NodeFixture().equalServers(8);
    NodeFixture b = new NodeFixture().equalServers(8);
    assertEquals(a.arrive("r1", null, null), b.arrive("r1", null, null));
  }

  @Test
  void invalidWeightsCountAsOneAndZeroRanksLast() {
    NodeFixture node = new NodeFixture().fullList(NodeFixture.server("zero", 0), NodeFixture.server("negative", -3),
        NodeFixture.server("missing", Double.NaN), NodeFixture.server("huge", Double.POSITIVE_INFINITY));
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      counts.merge(node.open("r" + i, "c" + i, "g" + i), 1, Integer::sum);
    }
    assertEquals(3, counts.size());
    assertNotEquals(null, counts.get("negative"));
    assertTrue(!counts.containsKey("zero"));
    NodeFixture alone = new NodeFixture().fullList(NodeFixture.server("zero", 0));
    assertEquals("zero", alone.arrive("r"));
  }

  @Test
  void midFlowRequestsReachTheirServerWhileItDrains() {
    NodeFixture node = new NodeFixture().equalServers(6);
    String holder = node.open("a", "c", "g");
    NodeFixture other = new NodeFixture().equalServers(6);
    other.listChanges(NodeFixture.serverInState(holder, ServerState.DRAINING));
    Balancer.Request midFlow = new Balancer.Request("b", other.now + NodeFixture.SECOND, 0, "c", "g", Double.NaN, true,
        false, 0, false);
    assertEquals(holder, NodeFixture.sentTo(other.handle(new Balancer.Arrived(midFlow)), "b"));
    assertNotNull(holder);
    assertNotEquals(holder, other.arrive("c", "c", "g"));
    other.advance(NodeFixture.SECOND / 2);
    // A repeated drain notice does not extend the grace.
    other.listChanges(NodeFixture.serverInState(holder, ServerState.DRAINING));
    other.advance(NodeFixture.SECOND / 2);
    Balancer.Request late = new Balancer.Request("d", other.now + NodeFixture.SECOND, 0, "c", "g", Double.NaN, true,
        false, 0, false);
    String next = NodeFixture.sentTo(other.handle(new Balancer.Arrived(late)), "d");
    assertNotNull(next);
    assertNotEquals(holder, next, "after the grace not even a mid-flow request goes there");
  }
}
