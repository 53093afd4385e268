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

/** Two processes that have the clients' listening socket, and what crosses the hand-over between them. */
@Timeout(60)
class ListenerHandoverRaceTest {
  private static final String OPEN_LINE = "OPEN 00000000000000aa k c=chat,d=2000\r\n";
  private static final long TICK = 10_000;

  private static ServerSocketChannel newListener() throws Exception {
    return Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** A process that has no list yet, and so does not accept. */
  private static ProxyFixture startingProxy(ServerSocketChannel listener) throws IOException {
    ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener);
    fixture.module.standing = new ServerSummary(false, 0, 0);
    return fixture;
  }

  /** A process that has said that it is ready. */
  private static ProxyFixture readyProxy(ServerSocketChannel listener) throws Exception {
    ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, listener);
    becomeReady(fixture);
    return fixture;
  }

  private static void becomeReady(ProxyFixture fixture) throws Exception {
    fixture.module.standing = new ServerSummary(true, 1, 0);
    fixture.advanceClock(fixture.limits().firstListTimeout() + TICK);
    assertEquals("200 yes", fixture.newAdminClient().send("ready\r\n").readLine());
  }

  /** Accepted by neither: whoever waits in the queue at the order is left to the other process, unread. */
  @Test
  void clientsInTheBacklogAtTheStopGoToTheSuccessor() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener); ProxyFixture successor = startingProxy(listener)) {
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

  /** The other order: it was accepted, and its line lies unread as the order comes. */
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

  /** Accepted by both is what the system rules out: each is one process's, and that one's alone to move. */
  @Test
  void eachClientIsServedByOneProcessOnly() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener); ProxyFixture successor = readyProxy(listener)) {
      List<LineSocket> clients = new ArrayList<>();
      try (EventLoopPause predecessorPause = predecessor.pauseEventLoop(); EventLoopPause successorPause = successor.pauseEventLoop()) {
        // More than one accepts in a turn.
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

  /** The successor ends before it is ready: it has accepted nobody, and the one before goes on as if nothing were. */
  @Test
  void aSuccessorThatEndsBeforeItIsReadyCostsNothing() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener); ProxyFixture successor = startingProxy(listener)) {
      LineSocket established = predecessor.newClient("c=chat,d=2000");
      LineSocket server = establish(predecessor, established);
      EventLoopTasks.queueStop(successor).join();
      establish(predecessor, predecessor.newClient("c=chat,d=2000"));
      server.send("still here\r\n");
      assertEquals("still here", established.readLine());
      assertEquals(0, successor.metric("in_flight"));
      // A list that comes to it during its stop makes it accept nothing either.
      successor.module.standing = new ServerSummary(true, 1, 0);
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

  /** The order comes to the one before while its successor has no list: clients wait in the queue for the successor. */
  @Test
  void aStopBeforeTheSuccessorIsReadyLosesNoClient() throws Exception {
    try (ServerSocketChannel listener = newListener(); ProxyFixture predecessor = readyProxy(listener); ProxyFixture successor = startingProxy(listener)) {
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

  /** The times of the one before run on beside its successor: a server that hangs keeps neither it nor its client. */
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
