package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Request;
import org.junit.jupiter.api.Test;

/** A server that accepts set-ups and later resets their connections, and how one server can get too many clients. */
class LostConnectionsTest {

  /** Three clients of one group are connected to a server and reset together during the set-up of a fourth. */
  private static String resetThreeClients(NodeFixture node) {
    String server = node.open("r0", "c0", "g");
    for (int i = 1; i < 3; i++) {
      node.open("r" + i, "c" + i, "g");
    }
    assertEquals(server, node.arrive("late", "c3", "g"));
    for (int i = 0; i < 3; i++) {
      node.handle(new Ended("r" + i, 0, server, Outcome.RESET, 1, true, null));
    }
    return server;
  }

  /** A set-up that succeeded just after the resets once readmitted all clients, which were then reset again. */
  @Test
  void aSuccessfulSetUpDoesNotReadmitAllClients() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = resetThreeClients(node);
    node.handle(new Established("late", 0, server, 5_000));
    for (int i = 0; i < 10; i++) {
      assertNotEquals(server, node.arrive("again" + i, "c" + i, "g"));
    }
  }

  @Test
  void onlyAShareOfTheClientsIsReadmittedAtFirst() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = resetThreeClients(node);
    node.advance(3 * NodeFixture.SECOND);
    int readmitted = 0;
    for (int i = 0; i < 40; i++) {
      readmitted += server.equals(node.open("again" + i, "client" + i, "g")) ? 1 : 0;
    }
    assertTrue(readmitted > 8 && readmitted < 32, readmitted + " of 40");
  }

  @Test
  void aRestartedServerIsNotShed() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = resetThreeClients(node);
    node.listChanges(NodeFixture.serverStartedAt(server, node.now - 20 * NodeFixture.SECOND));
    node.advance(3 * NodeFixture.SECOND);
    for (int i = 0; i < 20; i++) {
      assertEquals(server, node.open("again" + i, "c" + i, "g"));
    }
  }

  /** With load hints alone, all clients of a large group once went to one server, which then reset them. */
  @Test
  void withoutReportsNoServerGetsFarMoreThanItsFairShare() {
    assertTrue(mostClientsAtOneServer(false) <= 20, mostClientsAtOneServer(false) + " of 40");
    assertEquals(40, mostClientsAtOneServer(true), "with reports the load is known");
  }

  private static int mostClientsAtOneServer(boolean reports) {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = reports;
    NodeFixture node = new NodeFixture(options).equalServers(5);
    for (int i = 0; reports && i < 5; i++) {
      node.handle(new ProbeResult("s" + i, Outcome.SERVED, 900,
          new LoadReport(0.1, Double.NaN, 100, Double.NaN, Double.NaN)));
    }
    Map<String, Integer> clientsByServer = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      String id = "r" + i;
      Request hinted = new Request(id, node.now + 3 * NodeFixture.SECOND, 0, "c" + i, "g", 50_000, false, false, 0, false);
      String server = NodeFixture.sentTo(node.handle(new Arrived(hinted)), id);
      node.handle(new Established(id, 0, server, 5_000));
      clientsByServer.merge(server, 1, Integer::sum);
    }
    return Collections.max(clientsByServer.values());
  }
}
