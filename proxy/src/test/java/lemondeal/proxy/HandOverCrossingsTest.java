package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
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
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two processes that have the clients' listening socket, and what crosses the hand-over between them. */
@Timeout(60)
class HandOverCrossingsTest {
  private static final String LINE = "OPEN 00000000000000aa k c=chat,d=2000\r\n";
  private static final long TICK = 10_000;

  private static ServerSocketChannel socket() throws Exception {
    return Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** A process that has no list yet, and so does not accept. */
  private static Site starting(ServerSocketChannel socket) throws IOException {
    Site site = new Site(ProxyTest::sendOnce, socket);
    site.module.standing = new ServerSummary(false, 0, 0);
    return site;
  }

  /** A process that has said that it is ready. */
  private static Site ready(ServerSocketChannel socket) throws Exception {
    Site site = new Site(ProxyTest::sendOnce, socket);
    becomeReady(site);
    return site;
  }

  private static void becomeReady(Site site) throws Exception {
    site.module.standing = new ServerSummary(true, 1, 0);
    site.jump(site.limits().firstListTimeout() + TICK);
    assertEquals("200 yes", site.caller().send("ready\r\n").line());
  }

  /** Accepted by neither: whoever waits in the queue at the order is left to the other process, unread. */
  @Test
  void whoeverWaitsInTheQueueAtTheOrderIsTheOthers() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket); Site after = starting(socket)) {
      Peer client;
      Thread stop;
      try (Held held = before.hold()) {
        client = before.client(OPEN);
        before.awaitQueued(1);
        stop = Orders.stop(before);
        held.release();
      }
      before.settle();
      before.awaitQueued(1);
      stop.join();
      before.awaitQueued(1);
      becomeReady(after);
      up(after, client);
    }
  }

  /** The other order: it was accepted, and its line lies unread as the order comes. */
  @Test
  void whoseLineLiesUnreadAtTheOrderIsServedAndMoved() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket)) {
      Peer client = before.client().send("PING\r\n");
      assertEquals("PONG", client.line());
      Thread stop;
      try (Held held = before.hold()) {
        client.send(LINE).awaitUnread(LINE.length());
        stop = Orders.stop(before);
        held.release();
      }
      up(before, client);
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      stop.join();
    }
  }

  @Test
  void aFirstLineWhoseRestComesDuringTheHandOverIsServedAndMoved() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket)) {
      Peer client = before.client().send("PING\r\n" + LINE.substring(0, 20));
      assertEquals("PONG", client.line());
      Thread stop = Orders.stop(before);
      before.settle();
      client.send(LINE.substring(20));
      up(before, client);
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      stop.join();
    }
  }

  /** Accepted by both is what the system rules out: each is one process's, and that one's alone to move. */
  @Test
  void eachClientIsOneProcesssAlone() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket); Site after = ready(socket)) {
      List<Peer> clients = new ArrayList<>();
      try (Held one = before.hold(); Held other = after.hold()) {
        // More than one accepts in a turn.
        for (int i = 0; i < before.limits().acceptsPerTurn() + 10; i++) {
          clients.add(before.client("c=chat,d=9000"));
        }
        before.awaitQueued(clients.size());
        one.release();
        other.release();
      }
      while (before.figure("in_flight") + after.figure("in_flight") < clients.size()) {
        Thread.onSpinWait();
      }
      int old = (int) before.figure("in_flight");
      assertEquals(clients.size(), old + after.figure("in_flight"));
      answerAll(before, old);
      answerAll(after, clients.size() - old);
      for (Peer client : clients) {
        assertEquals("UP r1", client.line());
      }
      Orders.stop(before).join();
      assertEquals(clients.size() - old, after.figure("in_flight"));
      int moved = 0;
      for (Peer client : clients) {
        moved += client.socket.getInputStream().available() > 0 ? 1 : 0;
      }
      assertEquals(old, moved);
    }
  }

  private static void answerAll(Site site, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      Peer server = site.atServer();
      server.line();
      server.send("UP r1\r\n");
    }
  }

  /** The successor ends before it is ready: it has accepted nobody, and the one before goes on as if nothing were. */
  @Test
  void aSuccessorThatEndsBeforeItIsReadyCostsNothing() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket); Site after = starting(socket)) {
      Peer standing = before.client("c=chat,d=2000");
      Peer server = up(before, standing);
      Orders.stop(after).join();
      up(before, before.client("c=chat,d=2000"));
      server.send("still here\r\n");
      assertEquals("still here", standing.line());
      assertEquals(0, after.figure("in_flight"));
      // A list that comes to it during its stop makes it accept nothing either.
      after.module.standing = new ServerSummary(true, 1, 0);
      after.jump(after.limits().firstListTimeout() + TICK);
      assertEquals("400 no", after.caller().send("ready\r\n").line());
      Peer late;
      try (Held held = before.hold()) {
        late = before.client("c=chat,d=2000");
        before.awaitQueued(1);
        after.settle();
        before.awaitQueued(1);
        held.release();
      }
      up(before, late);
    }
  }

  /** The order comes to the one before while its successor has no list: clients wait in the queue for the successor. */
  @Test
  void anOrderBeforeTheSuccessorIsReadyLosesNobody() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket); Site after = starting(socket)) {
      Peer standing = before.client("c=chat,d=2000");
      up(before, standing);
      Thread stop = Orders.stop(before);
      before.settle();
      Peer client = before.client("c=chat,d=2000");
      assertEquals("MOVE", standing.line());
      stop.join();
      after.awaitQueued(1);
      becomeReady(after);
      up(after, client);
    }
  }

  /** The times of the one before run on beside its successor: a server that hangs keeps neither it nor its client. */
  @Test
  void aRequestAtAServerThatHangsIsAnsweredBeforeTheEnd() throws Exception {
    try (ServerSocketChannel socket = socket(); Site before = ready(socket)) {
      Peer client = before.client("c=chat,d=9000");
      before.atServer().line();
      Peer pending = before.client().send("PING\r\n");
      assertEquals("PONG", pending.line());
      Thread stop = Orders.stop(before);
      before.jump(before.limits().drainTimeout() - before.limits().lingerTimeout() + TICK);
      assertEquals("ERR", client.line());
      assertNull(client.line());
      before.jump(before.limits().lingerTimeout());
      stop.join();
      assertTrue(socket.isOpen());
    }
  }
}
