package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.OPEN_PREFIX;
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

/** Clients that violate the protocol get an error or are disconnected, without harm to other clients. */
@Timeout(30)
class BadClientsTest {
  private static final long MAX_END_NANOS = 3_000_000_000L;

  /** Guards against silent connections that use up all connections that the proxy accepts, so that clients wait. */
  @Test
  void silentConnectionsDoNotBlockOthers() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "", 256)) {
      long startNanos = System.nanoTime();
      List<LineSocket> silent = new ArrayList<>();
      for (int i = 0; i <= fixture.limits().maxPending() + 2 * fixture.limits().maxClients(); i++) {
        silent.add(fixture.newClient());
      }
      assertEquals("BUSY", silent.get(0).readLine(), "the oldest is evicted");
      assertNull(silent.get(0).readLine());
      assertTrue(System.nanoTime() - startNanos < fixture.limits().firstLineTimeout() * 1000, "evicted early");
      establish(fixture, fixture.newClient(OPEN_FIELDS));
      for (LineSocket connection : silent) {
        connection.readToEnd();
      }
      assertTrue(System.nanoTime() - startNanos < MAX_END_NANOS, "every connection must be ended within 3 s");
    }
  }

  /** Guards against evicting the first clients of a burst before their lines are read: all are accepted first. */
  @Test
  void aBurstOfClientsIsAnsweredWhenAllSlotsAreTaken() throws Exception {
    CountDownLatch burstConnected = new CountDownLatch(1);
    try (ProxyFixture fixture = new ProxyFixture(
        event -> event instanceof LoadChanged ? await(burstConnected) : ProxyTest.sendOnce(event), "", 256)) {
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

  /** Guards against the PONGs for a client that does not read overflowing its ring buffer. */
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
      }, "sending fails once its connection is closed"));
      sender.start();
      // By now the buffers of both sides are full: the answers exceed what the kernel holds.
      sender.join(1_000);
      assertTrue(sender.isAlive(), "the flood is throttled by back-pressure, not disconnected");
      establish(fixture, fixture.newClient(OPEN_FIELDS));
      // Its connection ends with the timeout for a first line.
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

  /** A client must wait for the answer to its first line: one that sends on gets an error, and nothing runs. */
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
      assertNull(server.readLine(), "the execution is cancelled");
      fixture.awaitEvent(ClientGone.class);
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** Guards against disconnecting a half-closed client without its answer. */
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

  /** An internal failure must neither leave its connection hanging nor affect others. */
  @Test
  void anInternalFailureEndsOnlyItsConnection() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e && e.request().clientRetry()) {
        throw new IllegalStateException("scripted failure of the module");
      }
      return ProxyTest.sendOnce(event);
    })) {
      LineSocket good = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, good);
      fixture.newClient(OPEN_FIELDS + ",r=1").readToEnd();
      server.send("still here\r\n");
      assertEquals("still here", good.readLine());
      assertEquals("BUSY 250", fixture.newClient("c=chat,d=200").readLine(), "timers still run");
    }
  }
}
