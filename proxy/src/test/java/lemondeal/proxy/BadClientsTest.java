package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_PREFIX;
import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
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
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that do not keep to the protocol get an error or an end, and cost the others nothing. */
@Timeout(30)
class BadClientsTest {
  private static final long MAX_END_NANOS = 3_000_000_000L;

  /** Connections that said nothing once filled all that the proxy accepts: usual clients waited behind them. */
  @Test
  void silentConnectionsDoNotBlockOthers() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "", 256)) {
      long startNanos = System.nanoTime();
      List<LineSocket> silent = new ArrayList<>();
      for (int i = 0; i <= fixture.limits().maxPending() + 2 * fixture.limits().maxClients(); i++) {
        silent.add(fixture.newClient());
      }
      assertEquals("BUSY", silent.get(0).readLine(), "the oldest is sent away");
      assertNull(silent.get(0).readLine());
      assertTrue(System.nanoTime() - startNanos < fixture.limits().firstLineTimeout() * 1000, "and at once");
      establish(fixture, fixture.newClient(OPEN_FIELDS));
      for (LineSocket connection : silent) {
        connection.readToEnd();
      }
      assertTrue(System.nanoTime() - startNanos < MAX_END_NANOS, "every one is owed an end within 3 s of connecting");
    }
  }

  /** Clients that come in a burst are accepted before any of them is read: the first were once sent away unheard. */
  @Test
  void aBurstOfClientsIsAnsweredWhenAllSlotsAreTaken() throws Exception {
    CountDownLatch burstConnected = new CountDownLatch(1);
    try (ProxyFixture fixture = new ProxyFixture(event -> event instanceof LoadChanged ? await(burstConnected) : ProxyTest.sendOnce(event), "", 256)) {
      LineSocket server = establish(fixture, fixture.newClient(OPEN_FIELDS));
      for (int i = 1; i < fixture.limits().maxClients(); i++) {
        establish(fixture, fixture.newClient(OPEN_FIELDS));
      }
      server.send("LOAD 1\r\n");
      fixture.awaitEvent(LoadChanged.class);
      List<LineSocket> burst = new ArrayList<>();
      for (int i = 0; i < fixture.limits().acceptsPerTurn(); i++) {
        burst.add(fixture.newClient(OPEN_FIELDS));
      }
      burstConnected.countDown();
      for (LineSocket connection : burst) {
        assertEquals("BUSY 1000", connection.readLine());
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
  void aFloodOfPingsWithUnreadAnswersIsThrottledByBackPressure() throws Exception {
    String pings = "PING\r\n".repeat(1000);
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket flood = fixture.newClient();
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
      establish(fixture, fixture.newClient(OPEN_FIELDS));
      // Its connection ends when the time for a first line is over.
      sender.join();
    }
  }

  @Test
  void aRequestIdInUseIsRejectedAndItsHolderUnaffected() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket holder = fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n");
      LineSocket server = fixture.acceptAtServer();
      assertEquals("ERR", fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n").readLine());
      server.readLine();
      server.send("UP r1\r\n");
      assertEquals("UP r1", holder.readLine());
      assertEquals("ERR", fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n").readLine());
      server.send("BYE\r\n").close();
      assertEquals("BYE", holder.readLine());
      assertNull(holder.readLine());
      fixture.awaitEvent(Ended.class);
      establish(fixture, fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n"));
    }
  }

  /** A client waits behind its first line: whoever does not is told so, and nothing has run. */
  @Test
  void hundredsOfCommandsAtOnceAreRejected() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      assertEquals("ERR", fixture.newClient().send((OPEN_PREFIX + OPEN_FIELDS + "\r\n").repeat(300)).readLine());
      assertFalse(fixture.events.stream().anyMatch(Arrived.class::isInstance));
    }
  }

  @Test
  void bytesBeforeUpEndTheRequest() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      assertEquals("ERR", client.send("hello").readLine());
      assertNull(server.readLine(), "the execution is given up");
      fixture.awaitEvent(ClientGone.class);
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** One that only ended its sending was once cut off without its answer. */
  @Test
  void aHalfClosedClientIsStillAnswered() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      fixture.acceptAtServer().readLine();
      client.socket.shutdownOutput();
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
    }
  }

  /** A failure inside must not leave the connection hanging, nor reach any other. */
  @Test
  void anInternalFailureEndsOnlyItsConnection() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e && e.request().clientRetry()) {
        throw new IllegalStateException("the module fails on this one");
      }
      return ProxyTest.sendOnce(event);
    })) {
      LineSocket good = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, good);
      fixture.newClient(OPEN_FIELDS + ",r=1").readToEnd();
      server.send("still here\r\n");
      assertEquals("still here", good.readLine());
      assertEquals("BUSY 250", fixture.newClient("c=chat,d=200").readLine(), "deadlines still come");
    }
  }
}
