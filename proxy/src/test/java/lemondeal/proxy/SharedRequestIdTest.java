package lemondeal.proxy;

import static lemondeal.proxy.ListenerHandoverRaceTest.becomeReady;
import static lemondeal.proxy.ListenerHandoverRaceTest.newListener;
import static lemondeal.proxy.ListenerHandoverRaceTest.readyProxy;
import static lemondeal.proxy.ListenerHandoverRaceTest.startingProxy;
import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.OPEN_PREFIX;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.channels.ServerSocketChannel;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;

/** Ids of requests while two processes accept from one listening socket, as during an upgrade. */
@Timeout(60)
class SharedRequestIdTest {
  private static final String OPEN_LINE = OPEN_PREFIX + OPEN_FIELDS + "\r\n";

  /** The id of the usual line, with a key of another client's. */
  private static final String OTHER_CLIENTS_LINE = OPEN_LINE.replace("7f3a9c21e0b4d655", "0123456789abcdef");

  /** Runs the action while the proxy's event loop is paused, so that only another process accepts. */
  private static void whilePaused(ProxyFixture fixture, Executable action) throws Throwable {
    EventLoopPause pause = fixture.pauseEventLoop();
    try {
      action.execute();
    } finally {
      pause.resume();
    }
  }

  private static void assertIdInUse(ProxyFixture fixture) throws Exception {
    long attempts = fixture.metric("attempts");
    LineSocket client = fixture.newClient().send(OTHER_CLIENTS_LINE);
    assertEquals("ERR", client.readLine());
    assertNull(client.readLine());
    assertEquals(attempts, fixture.metric("attempts"));
  }

  /** Guards against a second attempt of a request that is open at the old process: the new one served its id too. */
  @Test
  void anIdThatIsOpenAtThePredecessorIsRefusedByTheSuccessor() throws Throwable {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      establish(predecessor, predecessor.newClient().send(OPEN_LINE));
      whilePaused(predecessor, () -> {
        becomeReady(successor);
        assertIdInUse(successor);
      });
    }
  }

  /** The same with the roles exchanged: both accept until the old process has been asked to stop. */
  @Test
  void anIdThatIsOpenAtTheSuccessorIsRefusedByThePredecessor() throws Throwable {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = readyProxy(listener)) {
      whilePaused(predecessor, () -> establish(successor, successor.newClient().send(OPEN_LINE)));
      whilePaused(successor, () -> assertIdInUse(predecessor));
      assertEquals(1, predecessor.metric("ended.id-in-use"));
    }
  }

  /** Guards against refusing a client that was moved: it reconnects at once, often with the id that it had. */
  @Test
  void aMovedClientIsServedByTheSuccessorWithTheSameId() throws Throwable {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket client = predecessor.newClient().send(OPEN_LINE);
      establish(predecessor, client);
      becomeReady(successor);
      Thread stop = EventLoopTasks.queueStop(predecessor);
      assertEquals("MOVE", client.readLine());
      establish(successor, successor.newClient().send(OPEN_LINE));
      stop.join();
    }
  }

  /** Guards against serving another client with the id of a moved one that has not read its MOVE yet. */
  @Test
  void theIdOfAMovedClientIsInUseForOthersUntilItsConnectionHasClosed() throws Throwable {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket client = predecessor.newClient().send(OPEN_LINE);
      establish(predecessor, client);
      Thread stop = EventLoopTasks.queueStop(predecessor);
      assertEquals("MOVE", client.readLine());
      whilePaused(predecessor, () -> {
        becomeReady(successor);
        assertIdInUse(successor);
      });
      client.close();
      stop.join();
      establish(successor, successor.newClient().send(OTHER_CLIENTS_LINE));
    }
  }

  /** The same without another process. */
  @Test
  void anIdIsInUseForOthersUntilItsClientsConnectionHasClosed() throws Throwable {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient().send(OPEN_LINE);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      assertIdInUse(fixture);
      server.send("BUSY\r\n");
      assertEquals("BUSY 250", client.readLine());
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        LineSocket other = fixture.newClient().send(OTHER_CLIENTS_LINE);
        LineSocket same = fixture.newClient().send(OPEN_LINE);
        fixture.awaitBacklog(2);
        pause.resume();
        establish(fixture, same);
        assertEquals("ERR", other.readLine());
      }
    }
  }

  /** Guards against refusing a client that its draining server sent away, before its old connection has closed. */
  @Test
  void aClientThatItsServerMovedMayUseItsIdAgain() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient().send(OPEN_LINE);
      establish(fixture, client).send("MOVE\r\n");
      assertEquals("MOVE", client.readLine());
      establish(fixture, fixture.newClient().send(OPEN_LINE));
    }
  }

  /** The same after a server that ended without a word. */
  @Test
  void aClientWhoseServerEndedMayUseItsIdAgain() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient().send(OPEN_LINE);
      establish(fixture, client).close();
      assertNull(client.readLine());
      establish(fixture, fixture.newClient().send(OPEN_LINE));
    }
  }

  /** A request that got its answer or whose client has gone leaves its id free for the other process. */
  @Test
  void theIdOfAnEndedRequestIsFreeAtTheOtherProcess() throws Throwable {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket refused = predecessor.newClient().send(OPEN_LINE);
      LineSocket server = predecessor.acceptAtServer();
      server.readLine();
      server.send("BUSY\r\n");
      assertEquals("BUSY 250", refused.readLine());
      LineSocket leaving = predecessor.newClient().send(OPEN_LINE);
      establish(predecessor, leaving);
      refused.close();
      leaving.reset();
      while (predecessor.metric("in_flight") > 0) {
        continue;
      }
      whilePaused(predecessor, () -> {
        becomeReady(successor);
        establish(successor, successor.newClient().send(OTHER_CLIENTS_LINE));
      });
    }
  }
}
