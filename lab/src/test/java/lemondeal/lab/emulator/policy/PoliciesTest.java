package lemondeal.lab.emulator.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import org.junit.jupiter.api.Test;

/** Each baseline behaves as described in the literature. */
class PoliciesTest {
  private static final int KEYS = 20_000;
  private int requestCount;

  private static Balancer.Settings settings() {
    Balancer.RequestClass requestClass = new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL,
        0, 500_000, 2_000_000, 1, 0);
    return new Balancer.Settings(0, 1, 0, List.of(requestClass), List.of(), new Balancer.Rules(20_000, 1_000_000, 4,
        2_000_000, 0.35, 9_000_000, 0), new Balancer.Limits(3, true, true, false, false, true, 2_000_000, 1_000_000),
        new Balancer.Prices(0, 0, 0, 0, 0), Balancer.WeightMeaning.ROUGH, true, false, false, false, false, 1);
  }

  private static Balancer startPolicy(String policy, double... weights) {
    Balancer module = Policies.byName(policy).create(0, null);
    module.on(0, new Start(1, settings()));
    module.on(0, list(weights));
    return module;
  }

  private static ServerList list(double... weights) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > 0) {
        entries.add(new ServerEntry("s" + i, 0, 0, 0, 0, ServerState.READY, weights[i]));
      }
    }
    return new ServerList(1, ListKind.FULL, entries);
  }

  private Request request(String key) {
    return new Request("r" + requestCount++, 2_000_000, 0, key, null, Double.NaN, false, false, 0, false);
  }

  private String sendRequest(Balancer module, Request request) {
    for (Action action : module.on(1, new Arrived(request))) {
      if (action instanceof Send send) {
        return send.server();
      }
    }
    return "";
  }

  private Map<String, String> placeKeys(Balancer module) {
    Map<String, String> serverByKey = new HashMap<>();
    for (int i = 0; i < KEYS; i++) {
      serverByKey.put("k" + i, sendRequest(module, request("k" + i)));
    }
    return serverByKey;
  }

  private static Map<String, Integer> counts(Map<String, String> serverByKey) {
    Map<String, Integer> counts = new HashMap<>();
    serverByKey.values().forEach(server -> counts.merge(server, 1, Integer::sum));
    return counts;
  }

  private static int countMoved(Map<String, String> before, Map<String, String> after) {
    int movedKeys = 0;
    for (Map.Entry<String, String> entry : before.entrySet()) {
      movedKeys += entry.getValue().equals(after.get(entry.getKey())) ? 0 : 1;
    }
    return movedKeys;
  }

  /** Keys are distributed by weight, and a change of one server moves only keys from or to that server. */
  @Test
  void rendezvousFollowsWeightsWithMinimalDisruption() {
    Map<String, String> before = placeKeys(startPolicy("rendezvous", 1, 2, 3, 4));
    Map<String, Integer> counts = counts(before);
    for (int i = 0; i < 4; i++) {
      assertEquals((i + 1) / 10.0, counts.get("s" + i) / (double) KEYS, 0.012);
    }
    Map<String, String> withoutThird = placeKeys(startPolicy("rendezvous", 1, 2, 0, 4));
    assertEquals(counts.get("s2"), countMoved(before, withoutThird), "only the removed server's keys may move");
    Map<String, String> withHeavierLast = placeKeys(startPolicy("rendezvous", 1, 2, 3, 8));
    before.forEach((key, server) -> assertTrue(
        server.equals(withHeavierLast.get(key)) || withHeavierLast.get(key).equals("s3"),
        "keys may move only to the server with the larger weight"));
    assertEquals(placeKeys(startPolicy("rendezvous", 1, 2, 3, 4)), before, "all proxies must rank alike");
  }

  /** The table's entries are distributed by weight, and a removal moves few keys besides the removed server's. */
  @Test
  void maglevDividesItsTableByWeight() {
    Policies.Maglev maglev = new Policies.Maglev();
    maglev.on(0, new Start(1, settings()));
    maglev.on(0, list(1, 1, 2));
    assertEquals(0.5, maglev.entryCount("s2")
        / (double) (maglev.entryCount("s0") + maglev.entryCount("s1") + maglev.entryCount("s2")), 0.01);
    Map<String, String> before = placeKeys(startPolicy("maglev", 1, 1, 1, 1, 1, 1, 1, 1, 1, 1));
    Map<String, String> after = placeKeys(startPolicy("maglev", 1, 1, 1, 1, 0, 1, 1, 1, 1, 1));
    int keysOfRemoved = counts(before).get("s4");
    int movedKeys = countMoved(before, after);
    assertTrue(movedKeys >= keysOfRemoved && movedKeys < 2.5 * keysOfRemoved,
        movedKeys + " keys moved; at least " + keysOfRemoved + " have to");
  }

  /** No server gets more than 1.25 times its share, with established connections counted. */
  @Test
  void boundedLoadRingKeepsItsBound() {
    Balancer module = startPolicy("ring-bounded", 1, 1, 1, 1, 1);
    Map<String, Integer> connections = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      Request request = request("same-key-" + i % 7);
      String server = sendRequest(module, request);
      module.on(1, new Established(request.id(), 0, server, 1));
      connections.merge(server, 1, Integer::sum);
      int maxConnections = connections.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      assertTrue(maxConnections <= Math.ceil(1.25 * (i + 1) / 5), "after " + (i + 1) + ": " + connections);
    }
  }

  /**
   * Two choices balance much better than one (balls into bins). Least connections and round robin, with a single proxy,
   * balance perfectly.
   */
  @Test
  void twoChoicesBalanceBetterThanRandom() {
    int bins = 100;
    double[] weights = new double[bins];
    java.util.Arrays.fill(weights, 1);
    Map<String, Integer> maxConnections = new HashMap<>();
    for (String policy : List.of("random", "two-choices", "least-connections", "round-robin")) {
      Balancer module = startPolicy(policy, weights);
      Map<String, Integer> connections = new HashMap<>();
      for (int i = 0; i < bins * 10; i++) {
        connections.merge(sendRequest(module, request("k" + i)), 1, Integer::sum);
      }
      maxConnections.put(policy, connections.values().stream().mapToInt(Integer::intValue).max().orElse(0));
    }
    assertEquals(10, maxConnections.get("least-connections"));
    assertEquals(10, maxConnections.get("round-robin"));
    assertTrue(maxConnections.get("two-choices") <= 13, maxConnections.toString());
    assertTrue(maxConnections.get("random") >= 16,
        maxConnections + ": fullest of 100 bins with 10 balls each on average");
  }

  /** A failed attempt is followed by one on another server, and the last one by a refusal with a retry-after time. */
  @Test
  void attemptsUseOtherServersAndEndWithRetryAfter() {
    for (String policy : Policies.names()) {
      if (policy.equals("lemondeal") || policy.equals("full-knowledge")) {
        continue;
      }
      Balancer module = startPolicy(policy, 1, 1, 1, 1);
      Request request = request("k");
      List<String> triedServers = new ArrayList<>(List.of(sendRequest(module, request)));
      for (int attempt = 0; attempt < 3; attempt++) {
        Action action = module.on(2, new Ended(request.id(), attempt, triedServers.get(attempt), Outcome.NO_CONNECTION,
            1, false, null)).get(0);
        if (action instanceof Send send) {
          triedServers.add(send.server());
        } else {
          assertTrue(action instanceof Refuse refuse && refuse.retryAfter() > 0, policy + " " + action);
        }
      }
      assertEquals(3, triedServers.stream().distinct().count(), policy + " " + triedServers);
    }
  }
}
