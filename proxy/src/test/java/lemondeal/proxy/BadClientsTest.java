package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.ID;
import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.Outcome;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that do not keep to the protocol get an error or an end, and cost the others nothing. */
@Timeout(30)
class BadClientsTest {
  private static final long WITHIN = 3_000_000_000L;

  /** Connections that said nothing once filled all that the proxy accepts: usual clients waited behind them. */
  @Test
  void silentConnectionsKeepNobodyOut() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, "", 256)) {
      long from = System.nanoTime();
      List<Peer> silent = new ArrayList<>();
      for (int i = 0; i <= site.limits().maxPending() + 2 * site.limits().maxClients(); i++) {
        silent.add(site.client());
      }
      assertEquals("BUSY", silent.get(0).line(), "the oldest is sent away");
      assertNull(silent.get(0).line());
      assertTrue(System.nanoTime() - from < site.limits().firstLineTimeout() * 1000, "and at once");
      up(site, site.client(OPEN));
      for (Peer peer : silent) {
        peer.awaitEnd();
      }
      assertTrue(System.nanoTime() - from < WITHIN, "every one is owed an end within 3 s of connecting");
    }
  }

  /** Clients that come in a burst are accepted before any of them is read: the first were once sent away unheard. */
  @Test
  void aBurstOfUsualClientsIsHeardWhenAllSlotsAreTaken() throws Exception {
    CountDownLatch come = new CountDownLatch(1);
    try (Site site = new Site(event -> event instanceof LoadChanged ? await(come) : ProxyTest.sendOnce(event), "", 256)) {
      Peer server = up(site, site.client(OPEN));
      for (int i = 1; i < site.limits().maxClients(); i++) {
        up(site, site.client(OPEN));
      }
      server.send("LOAD 1\r\n");
      site.await(LoadChanged.class);
      List<Peer> burst = new ArrayList<>();
      for (int i = 0; i < site.limits().acceptsPerTurn(); i++) {
        burst.add(site.client(OPEN));
      }
      come.countDown();
      for (Peer peer : burst) {
        assertEquals("BUSY 1000", peer.line());
      }
    }
  }

  private static List<Action> await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(10, TimeUnit.SECONDS));
      return List.of();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The answers to a client that asked without reading once overran its ring. */
  @Test
  void aFloodOfPingsThatIsNotReadIsHeldBack() throws Exception {
    String pings = "PING\r\n".repeat(1000);
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer flood = site.client();
      flood.socket.setReceiveBufferSize(8192);
      Thread sender = new Thread(() -> assertThrows(IOException.class, () -> {
        while (true) {
          flood.send(pings);
        }
      }, "it ends with its connection"));
      sender.start();
      // By then the buffers of both sides are full: the answers are more than the system holds.
      sender.join(1_000);
      assertTrue(sender.isAlive(), "the flood is held back, and not ended by a failure");
      up(site, site.client(OPEN));
      // Its connection ends when the time for a first line is over.
      sender.join();
    }
  }

  @Test
  void anotherClientsOpenIdIsRefusedAndItsHolderUntouched() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer holder = site.client().send(ID + OPEN + "\r\n");
      Peer server = site.atServer();
      assertEquals("ERR", site.client().send(ID + OPEN + "\r\n").line());
      server.line();
      server.send("UP r1\r\n");
      assertEquals("UP r1", holder.line());
      assertEquals("ERR", site.client().send(ID + OPEN + "\r\n").line());
      server.send("BYE\r\n").close();
      assertEquals("BYE", holder.line());
      assertNull(holder.line());
      site.await(Ended.class);
      up(site, site.client().send(ID + OPEN + "\r\n"));
    }
  }

  /** A client waits behind its first line: whoever does not is told so, and nothing has run. */
  @Test
  void commandsByTheHundredAreRefusedUnseen() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      assertEquals("ERR", site.client().send((ID + OPEN + "\r\n").repeat(300)).line());
      assertFalse(site.events.stream().anyMatch(Arrived.class::isInstance));
    }
  }

  @Test
  void bytesBeforeUpEndTheRequest() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      assertEquals("ERR", client.send("hello").line());
      assertNull(server.line(), "the execution is given up");
      site.await(ClientGone.class);
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
    }
  }

  /** One that only ended its sending was once cut off without its answer. */
  @Test
  void aHalfClosedClientIsStillAnswered() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      site.atServer().line();
      client.socket.shutdownOutput();
      assertEquals("ERR", client.line());
      assertNull(client.line());
    }
  }

  /** A failure inside must not leave the connection hanging, nor reach any other. */
  @Test
  void whatFailsInsideEndsThatConnectionAlone() throws Exception {
    try (Site site = new Site(event -> {
      if (event instanceof Arrived e && e.request().clientRetry()) {
        throw new IllegalStateException("the module fails on this one");
      }
      return ProxyTest.sendOnce(event);
    })) {
      Peer good = site.client(OPEN);
      Peer server = up(site, good);
      site.client(OPEN + ",r=1").awaitEnd();
      server.send("still here\r\n");
      assertEquals("still here", good.line());
      assertEquals("BUSY 250", site.client("c=chat,d=200").line(), "deadlines still come");
    }
  }
}
