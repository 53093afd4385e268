package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.OPEN_PREFIX;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.ServerSummary;
import lemondeal.net.Listener;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An upgrade: two proxies accept from one listening socket, one after the other. */
@Timeout(60)
class UpgradeTest {

  private static ServerSocketChannel newListener() throws Exception {
    return Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static Thread startStop(ProxyFixture fixture) {
    Thread stop = new Thread(() -> assertDoesNotThrow(fixture.proxy::stop));
    stop.start();
    return stop;
  }

  /** Clients accepted before there is a server list would wait here while the other process could serve them. */
  @Test
  void acceptsNothingBeforeItHasAList() throws Exception {
    try (ServerSocketChannel listener = newListener();
        ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener)) {
      fixture.module.summary = new ServerSummary(false, 0, 0);
      LineSocket client = fixture.newClient().send("PING\r\n");
      assertEquals("400 no", fixture.newAdminClient().send("ready\r\n").readLine());
      fixture.module.summary = new ServerSummary(false, 1, 0);
      assertEquals("PONG", client.readLine(), "the configured list is used after a while");
      assertEquals("200 yes", fixture.newAdminClient().send("ready\r\n").readLine());
    }
  }

  /** Guards against answering BUSY to clients whose first line was still in transit, or exiting before it arrives. */
  @Test
  void acceptedClientsAreServedAndThenMoved() throws Exception {
    try (ServerSocketChannel listener = newListener();
        ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener)) {
      LineSocket established = fixture.newClient(OPEN_FIELDS);
      establish(fixture, established);
      // A PONG shows that the connection has been accepted.
      LineSocket late = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", late.readLine());
      Thread stop = startStop(fixture);
      assertEquals("MOVE", established.readLine());
      late.send(OPEN_PREFIX + OPEN_FIELDS + "\r\n");
      establish(fixture, late);
      assertEquals("MOVE", late.readLine());
      assertNull(late.readLine());
      stop.join();
    }
  }

  /** From the stop request on, connections in the accept queue are left to the other process. */
  @Test
  void theSuccessorAcceptsAllLaterClients() throws Exception {
    try (ServerSocketChannel listener = newListener();
        ProxyFixture predecessor = new ProxyFixture(ProxyTest::sendOnce, listener)) {
      establish(predecessor, predecessor.newClient(OPEN_FIELDS));
      Thread stop = startStop(predecessor);
      while (!predecessor.newAdminClient().send("ready\r\n").readLine().equals("400 no")) {
        continue;
      }
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        clients.add(predecessor.newClient("c=chat,d=9000"));
      }
      try (ProxyFixture successor = new ProxyFixture(ProxyTest::sendOnce, listener)) {
        for (LineSocket client : clients) {
          assertTrue(successor.acceptAtServer().send("UP r1\r\n").readLine().startsWith("OPEN "));
        }
        for (LineSocket client : clients) {
          assertEquals("UP r1", client.readLine());
        }
        assertEquals(clients.size(), successor.metric("in_flight"));
      }
      stop.join();
    }
  }
}
