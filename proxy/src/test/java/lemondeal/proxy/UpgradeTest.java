package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.ID;
import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two proxies that accept from one listening socket, one after the other. */
@Timeout(60)
class UpgradeTest {

  private static ServerSocketChannel socket() throws Exception {
    return Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static Thread stopping(Site site) {
    Thread stop = new Thread(() -> assertDoesNotThrow(site.proxy::stop));
    stop.start();
    return stop;
  }

  /** Clients accepted before there is a list would wait here, while the other process could serve them. */
  @Test
  void acceptsNothingBeforeItHasAList() throws Exception {
    try (ServerSocketChannel socket = socket(); Site site = new Site(ProxyTest::sendOnce, socket)) {
      site.module.standing = new ServerSummary(false, 0, 0);
      Peer client = site.client().send("PING\r\n");
      assertEquals("400 no", site.caller().send("ready\r\n").line());
      site.module.standing = new ServerSummary(false, 1, 0);
      assertEquals("PONG", client.line(), "the list from before must do after a while");
      assertEquals("200 yes", site.caller().send("ready\r\n").line());
    }
  }

  /** Those whose line was still on its way were once told BUSY, or met a process that had left. */
  @Test
  void whoeverWasAcceptedIsServedAndThenMoved() throws Exception {
    try (ServerSocketChannel socket = socket(); Site site = new Site(ProxyTest::sendOnce, socket)) {
      Peer standing = site.client(OPEN);
      up(site, standing);
      // A PONG tells that the connection has been accepted.
      Peer late = site.client().send("PING\r\n");
      assertEquals("PONG", late.line());
      Thread stop = stopping(site);
      assertEquals("MOVE", standing.line());
      late.send(ID + OPEN + "\r\n");
      up(site, late);
      assertEquals("MOVE", late.line());
      assertNull(late.line());
      stop.join();
    }
  }

  /** From the order to stop on, whatever waits in the queue is the other process's. */
  @Test
  void theOtherProcessAcceptsAllThatStillComes() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = new Site(ProxyTest::sendOnce, socket)) {
      up(before, before.client(OPEN));
      Thread stop = stopping(before);
      while (!before.caller().send("ready\r\n").line().equals("400 no")) {
        continue;
      }
      List<Peer> clients = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        clients.add(before.client("c=chat,d=9000"));
      }
      try (Site after = new Site(ProxyTest::sendOnce, socket)) {
        for (Peer client : clients) {
          assertTrue(after.atServer().send("UP r1\r\n").line().startsWith("OPEN "));
        }
        for (Peer client : clients) {
          assertEquals("UP r1", client.line());
        }
        assertEquals(clients.size(), after.figure("in_flight"));
      }
      stop.join();
    }
  }
}
