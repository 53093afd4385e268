package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.ServerSummary;
import lemondeal.net.Listener;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two processes that share the clients' listening socket, and events that race with the handover between them. */
@Timeout(60)
class ListenerHandoverRaceTest {
  private static final String OPEN_LINE = "OPEN 00000000000000aa k c=chat,d=2000\r\n";
  private static final long TICK = 10_000;

  static ServerSocketChannel newListener() throws Exception {
    return Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** A process that has no server list yet and therefore does not accept. */
  static ProxyFixture startingProxy(ServerSocketChannel listener) throws IOException {
    ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener);
    fixture.module.summary = new ServerSummary(false, 0, 0);
    return fixture;
  }

  /** A process that reports that it is ready. */
  static ProxyFixture readyProxy(ServerSocketChannel listener) throws Exception {
    ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener);
    becomeReady(fixture);
    return fixture;
  }

  static void becomeReady(ProxyFixture fixture) throws Exception {
    fixture.module.summary = new ServerSummary(true, 1, 0);
    fixture.advanceClock(fixture.limits().firstListTimeout() + TICK);
    assertEquals("200 yes", fixture.newAdminClient().send("ready\r\n").readLine());
  }

  /** Clients in the accept queue when the stop request comes are left to the other process. */
  @Test
  void clientsInTheBacklogAtTheStopGoToTheSuccessor() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket client;
      Thread stop;
      try (EventLoopPause pause = predecessor.pauseEventLoop()) {
        client = predecessor.newClient(OPEN_FIELDS);
        predecessor.awaitBacklog(1);
        stop = EventLoopTasks.queueStop(predecessor);
        pause.resume();
      }
      predecessor.awaitQueuedWork();
      predecessor.awaitBacklog(1);
      stop.join();
      predecessor.awaitBacklog(1);
      becomeReady(successor);
      establish(successor, client);
    }
  }

  /** The other order: the client was accepted, and its line is unread when the stop request comes. */
  @Test
  void aClientWithAnUnreadLineAtTheStopIsServedAndMoved() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener)) {
      LineSocket client = predecessor.newClient().send("PING\r\n");
      assertEquals("PONG", client.readLine());
      Thread stop;
      try (EventLoopPause pause = predecessor.pauseEventLoop()) {
        client.send(OPEN_LINE).awaitUnread(OPEN_LINE.length());
        stop = EventLoopTasks.queueStop(predecessor);
        pause.resume();
      }
      establish(predecessor, client);
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      stop.join();
    }
  }

  @Test
  void aFirstLineWhoseRestComesDuringTheHandOverIsServedAndMoved() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener)) {
      LineSocket client = predecessor.newClient().send("PING\r\n" + OPEN_LINE.substring(0, 20));
      assertEquals("PONG", client.readLine());
      Thread stop = EventLoopTasks.queueStop(predecessor);
      predecessor.awaitQueuedWork();
      client.send(OPEN_LINE.substring(20));
      establish(predecessor, client);
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      stop.join();
    }
  }

  /** The kernel gives each connection to one process only, and only that process moves the client. */
  @Test
  void eachClientIsServedByOneProcessOnly() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = readyProxy(listener)) {
      List<LineSocket> clients = new ArrayList<>();
      try (EventLoopPause predecessorPause = predecessor.pauseEventLoop();
          EventLoopPause successorPause = successor.pauseEventLoop()) {
        // More connections than one process accepts in one turn.
        for (int i = 0; i < predecessor.limits().acceptsPerTurn() + 10; i++) {
          clients.add(predecessor.newClient("c=chat,d=9000"));
        }
        predecessor.awaitBacklog(clients.size());
        predecessorPause.resume();
        successorPause.resume();
      }
      while (predecessor.metric("in_flight") + successor.metric("in_flight") < clients.size()) {
        Thread.onSpinWait();
      }
      int predecessorCount = (int) predecessor.metric("in_flight");
      assertEquals(clients.size(), predecessorCount + successor.metric("in_flight"));
      answerAll(predecessor, predecessorCount);
      answerAll(successor, clients.size() - predecessorCount);
      for (LineSocket client : clients) {
        assertEquals("UP r1", client.readLine());
      }
      EventLoopTasks.queueStop(predecessor).join();
      assertEquals(clients.size() - predecessorCount, successor.metric("in_flight"));
      int moved = 0;
      for (LineSocket client : clients) {
        moved += client.socket.getInputStream().available() > 0 ? 1 : 0;
      }
      assertEquals(predecessorCount, moved);
    }
  }

  private static void answerAll(ProxyFixture fixture, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send("UP r1\r\n");
    }
  }

  /** A successor that ends before it is ready has accepted no client, and its predecessor continues unaffected. */
  @Test
  void aSuccessorThatEndsBeforeItIsReadyAffectsNoClient() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket established = predecessor.newClient("c=chat,d=2000");
      LineSocket server = establish(predecessor, established);
      EventLoopTasks.queueStop(successor).join();
      establish(predecessor, predecessor.newClient("c=chat,d=2000"));
      server.send("still here\r\n");
      assertEquals("still here", established.readLine());
      assertEquals(0, successor.metric("in_flight"));
      // A server list that arrives during its stop does not make it accept either.
      successor.module.summary = new ServerSummary(true, 1, 0);
      successor.advanceClock(successor.limits().firstListTimeout() + TICK);
      assertEquals("400 no", successor.newAdminClient().send("ready\r\n").readLine());
      LineSocket late;
      try (EventLoopPause pause = predecessor.pauseEventLoop()) {
        late = predecessor.newClient("c=chat,d=2000");
        predecessor.awaitBacklog(1);
        successor.awaitQueuedWork();
        predecessor.awaitBacklog(1);
        pause.resume();
      }
      establish(predecessor, late);
    }
  }

  /** If the predecessor stops before its successor has a list, clients wait in the accept queue for the successor. */
  @Test
  void aStopBeforeTheSuccessorIsReadyLosesNoClient() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener);
        ProxyFixture successor = startingProxy(listener)) {
      LineSocket established = predecessor.newClient("c=chat,d=2000");
      establish(predecessor, established);
      Thread stop = EventLoopTasks.queueStop(predecessor);
      predecessor.awaitQueuedWork();
      LineSocket client = predecessor.newClient("c=chat,d=2000");
      assertEquals("MOVE", established.readLine());
      stop.join();
      successor.awaitBacklog(1);
      becomeReady(successor);
      establish(successor, client);
    }
  }

  /** A stopping process's timeouts still apply: a hanging server delays neither its exit nor the client's answer. */
  @Test
  void aRequestAtAServerThatHangsIsAnsweredBeforeTheEnd() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener)) {
      LineSocket client = predecessor.newClient("c=chat,d=9000");
      predecessor.acceptAtServer().readLine();
      LineSocket pending = predecessor.newClient().send("PING\r\n");
      assertEquals("PONG", pending.readLine());
      Thread stop = EventLoopTasks.queueStop(predecessor);
      predecessor.advanceClock(predecessor.limits().drainTimeout() - predecessor.limits().lingerTimeout() + TICK);
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      predecessor.advanceClock(predecessor.limits().lingerTimeout());
      stop.join();
      assertTrue(listener.isOpen());
    }
  }
}
