package lemondeal.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import lemondeal.lab.ProxyProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three real proxies that exchange reports, with network faults. Waits for states and asserts no durations. */
@Timeout(240)
class FleetMembershipTest {
  private static final String ALL_MEMBERS = "n0 n1 n2";
  private static final long TIMEOUT_SECONDS = 60;

  private FleetTestCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = new FleetTestCluster(3, 24, "life: 2s\ntell: 200ms", new InetSocketAddress("127.0.0.1", 9));
    for (int i = 0; i < 3; i++) {
      cluster.start(i);
    }
    awaitFullVisibility();
  }

  @AfterEach
  void close() {
    cluster.close();
  }

  private void awaitFullVisibility() throws Exception {
    for (int i = 0; i < 3; i++) {
      cluster.awaitVisibleMembers(i, ALL_MEMBERS, TIMEOUT_SECONDS);
    }
  }

  /** Isolates a proxy, first by resetting its connections, then by stalling them. */
  @Test
  void isolatedProxyExpiresAndReturns() throws Exception {
    for (NetworkConditions conditions : new NetworkConditions[] {NetworkConditions.CUT, NetworkConditions.STALLED}) {
      cluster.setConditions(2, conditions);
      cluster.awaitVisibleMembers(0, "n0 n1", TIMEOUT_SECONDS);
      cluster.awaitVisibleMembers(1, "n0 n1", TIMEOUT_SECONDS);
      cluster.awaitVisibleMembers(2, "n2", TIMEOUT_SECONDS);
      assertTrue(cluster.proxy(2).log().stream().anyMatch(line ->
          line.contains("\"not_in_sight\":\"n0 n1\",\"majority\":false")));
      cluster.setConditions(2, NetworkConditions.OPEN);
      awaitFullVisibility();
    }
  }

  /** A one-way cut makes the two proxies invisible to each other and affects no other pair. */
  @Test
  void oneWayCutSeparatesOnlyThatPair() throws Exception {
    cluster.relay(0, 2).setConditions(NetworkConditions.STALLED);
    cluster.awaitVisibleMembers(0, "n0 n1", TIMEOUT_SECONDS);
    cluster.awaitVisibleMembers(2, "n1 n2", TIMEOUT_SECONDS);
    assertEquals(ALL_MEMBERS, cluster.visibleMembers(1));
    cluster.relay(0, 2).setConditions(NetworkConditions.OPEN);
    awaitFullVisibility();
  }

  /** Reports that still arrive every 200 ms, but are three lifetimes old, do not count. */
  @Test
  void reportsDelayedBeyondTheirLifeAreStale() throws Exception {
    cluster.relay(1, 0).setConditions(NetworkConditions.delayed(6_000, 0));
    cluster.awaitVisibleMembers(0, "n0 n2", TIMEOUT_SECONDS);
    assertEquals(ALL_MEMBERS, cluster.visibleMembers(2));
    cluster.relay(1, 0).setConditions(NetworkConditions.delayed(300, 50));
    awaitFullVisibility();
  }

  /** A suspended proxy expires; when it continues, the reports that it holds have expired as well. */
  @Test
  void stoppedProxyExpiresAndReturns() throws Exception {
    cluster.signal(1, "STOP");
    cluster.awaitVisibleMembers(0, "n0 n2", TIMEOUT_SECONDS);
    cluster.awaitVisibleMembers(2, "n0 n2", TIMEOUT_SECONDS);
    cluster.signal(1, "CONT");
    awaitFullVisibility();
  }

  @Test
  void restartedProxyReturnsAsNewIncarnation() throws Exception {
    cluster.proxy(1).kill();
    cluster.awaitVisibleMembers(0, "n0 n2", TIMEOUT_SECONDS);
    cluster.start(1);
    awaitFullVisibility();
    assertTrue(cluster.proxy(0).log().stream().anyMatch(line -> line.contains("\"event\":\"fleet-restarted\"")
        && line.contains("\"member\":\"n1\"")), cluster.proxy(0).log().toString());
  }

  @Test
  void garbageOnFleetPortIsIgnored() throws Exception {
    Random random = new Random(24);
    for (int i = 0; i < 60; i++) {
      byte[] randomBytes = new byte[random.nextInt(5000)];
      random.nextBytes(randomBytes);
      try (Socket socket = new Socket()) {
        socket.connect(cluster.listenAddress(0), 5000);
        if (i % 2 == 0) {
          socket.getOutputStream().write("bela".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
        socket.getOutputStream().write(randomBytes);
      } catch (IOException e) {
        // The proxy closes the connection, as it should.
      }
    }
    cluster.setConditions(1, NetworkConditions.CUT);
    cluster.awaitVisibleMembers(0, "n0 n2", TIMEOUT_SECONDS);
    cluster.setConditions(1, NetworkConditions.OPEN);
    awaitFullVisibility();
    assertTrue(cluster.proxy(0).isAlive());
  }

  /** After random overlapping faults, all members see each other again. */
  @Test
  void fleetRecoversFromRandomFaults() throws Exception {
    ClusterFaultSchedule.random(24, 3, 24, 12_000).run(cluster);
    awaitFullVisibility();
    assertEquals(ClusterFaultSchedule.random(7, 3, 9, 5_000), ClusterFaultSchedule.random(7, 3, 9, 5_000));
  }

  /** After overlapping suspension, crash, partition and delay, all members see each other again. */
  @Test
  void fleetRecoversFromScheduledFaults() throws Exception {
    ClusterFaultSchedule.parse("""
        at 0s stall n0 from n1,n2 for 3s
        at 1s stop n1 for 4s
        at 2s kill n2 for 2s
        at 5s delay all by 50ms spread 100ms for 3s
        at 6s lose n1 to n0 by 0.5 for 1s
        """).run(cluster);
    awaitFullVisibility();
    assertThrows(IllegalArgumentException.class, () -> ClusterFaultSchedule.parse("at 3 cut n0"));
  }

  /** If the platform's settings forbid it, the section is refused with file, line, reason and exit code 2. */
  @Test
  void fleetSectionIsRefusedWithoutPermission() throws Exception {
    ProcessBuilder builder = new ProcessBuilder(ProxyProcess.command("serve")).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.keySet().removeIf(name -> name.startsWith("GW_"));
    environment.put("GW_CONFIG", cluster.writeConfig(0, false).toString());
    environment.put("GW_OPERATOR_CONFIG", cluster.writeOperatorFile(0).toString());
    Process proxy = builder.start();
    String output = new String(proxy.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    assertEquals(2, proxy.waitFor(), output);
    assertTrue(output.contains("operator-0.yaml:3:1: fleet: the platform's settings do not allow messages"
        + " between proxies"), output);
    assertEquals(1, output.lines().count(), output);
  }
}
