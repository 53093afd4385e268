package lemondeal.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three real proxies in front of two zones: one zone fails, all proxies evacuate it, and all return. */
@Timeout(240)
class ZoneEvacuationTest {
  private static final int PROXIES = 3;
  private static final long TIMEOUT_SECONDS = 60;
  private static final int KEYS = 12;
  private static final String FLEET_SETTINGS = """
      life: 2s
      tell: 200ms
      evacuation:
        connections: 400
        moves: 100
        kept: zones-PLACE.state
      """;

  private ZoneServers servers;
  private FleetTestCluster cluster;

  @BeforeEach
  void start() throws Exception {
    servers = new ZoneServers(3, "a", "b");
    cluster = new FleetTestCluster(PROXIES, 5, FLEET_SETTINGS, servers.discovery().address());
    for (int i = 0; i < PROXIES; i++) {
      cluster.start(i);
    }
    for (int i = 0; i < PROXIES; i++) {
      cluster.awaitVisibleMembers(i, "n0 n1 n2", TIMEOUT_SECONDS);
    }
  }

  @AfterEach
  void close() {
    cluster.close();
    servers.close();
  }

  private List<InetSocketAddress> addresses() {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      addresses.add(cluster.proxy(i).address());
    }
    return addresses;
  }

  private interface Condition {
    boolean holds();
  }

  private void await(String description, Condition condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TIMEOUT_SECONDS * 1_000_000_000L;
    while (!condition.holds()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IOException("timed out waiting for: " + description + "; " + cluster.proxy(0).log());
      }
      Thread.sleep(10);
    }
  }

  private boolean allProxiesLogged(String event, int epoch) {
    for (int i = 0; i < PROXIES; i++) {
      if (cluster.proxy(i).log().stream().noneMatch(line -> line.contains("\"event\":\"" + event + "\"")
          && line.contains("\"epoch\":" + epoch))) {
        return false;
      }
    }
    return true;
  }

  /** Whether the last logged state of the zone is this one at all proxies. */
  private boolean allProxiesReport(String state, String zone) {
    for (int i = 0; i < PROXIES; i++) {
      String last = "";
      for (String line : cluster.proxy(i).log()) {
        last = line.contains("\"event\":\"zone-standing\"") && line.contains("\"zone\":\"" + zone + "\"") ? line : last;
      }
      if (!last.contains("\"state\":\"" + state + "\"")) {
        return false;
      }
    }
    return true;
  }

  /** Sends one request per key and returns the servers in zone b by key. Correct only without other traffic. */
  private Map<String, Integer> serversByKeyInZoneB() {
    Map<String, Integer> keys = new TreeMap<>();
    for (int i = 0; i < KEYS; i++) {
      List<Integer> before = servers.openCounts("b");
      String answer = ConstantRateClients.sendRequest(cluster.proxy(i % PROXIES).address(),
          "%016x".formatted(System.nanoTime()), "key" + i);
      List<Integer> after = servers.openCounts("b");
      for (int server = 0; server < after.size(); server++) {
        if (answer.equals("UP") && after.get(server) > before.get(server)) {
          keys.put("key" + i, server);
        }
      }
    }
    return keys;
  }

  @Test
  void fleetEvacuatesAndReturnsToAFailedZone() throws Exception {
    await("all zones open", () -> allProxiesReport("open", "a") && allProxiesReport("open", "b"));
    Map<String, Integer> before = serversByKeyInZoneB();
    assertTrue(before.size() > 0 && before.size() < KEYS, "keys are not in both zones: " + before);
    try (ConstantRateClients clients = new ConstantRateClients(addresses(), 40)) {
      await("traffic", () -> clients.served() > 60);
      servers.setConditions("b", NetworkConditions.CUT);
      await("all evacuated b", () -> allProxiesLogged("zone-left", 1));
      assertEquals(0, clients.unanswered(), "clients without a final answer in time");
      Thread.sleep(1_000);
      int reached = servers.openCount("b");
      servers.setConditions("b", NetworkConditions.OPEN);
      int served = clients.served();
      await("clients served by the other zone", () -> clients.served() > served + 60);
      if (!allProxiesLogged("zone-returned", 2)) {
        assertEquals(reached, servers.openCount("b"), "new work in an evacuated zone that has recovered");
      }
      await("all returned to b", () -> allProxiesLogged("zone-returned", 2));
      await("clients in b", () -> servers.openCount("b") > reached + 20);
      await("b open to all", () -> allProxiesReport("open", "b"));
      assertEquals(0, clients.unanswered());
    }
    await("the original keys in b", () -> serversByKeyInZoneB().equals(before));
  }
}
