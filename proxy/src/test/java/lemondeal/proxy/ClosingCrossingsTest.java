package lemondeal.proxy;

import static lemondeal.proxy.Crossing.atDeadline;
import static lemondeal.proxy.Crossing.atDoor;
import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes and ends that meet a connection in the moment in which the proxy ends it. */
@Timeout(30)
class ClosingCrossingsTest {
  private static final long MORE = 50_000;

  private static boolean hasEnded(Site site) {
    return site.events.stream().anyMatch(Ended.class::isInstance);
  }

  private static void assertEndedInOrder(Peer peer) throws Exception {
    assertNull(peer.line(), "an end and no reset");
    assertFalse(Crossing.isReset(peer), "a reset behind the end");
  }

  // ---- Connections without a request ----------------------------------------------------------

  /** The line was there, and its client was once reset without an answer. */
  @Test
  void aFirstLineThatIsThereWhenItsTimeRunsOutIsServed() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = Crossing.resting(site);
      atDeadline(site, site.limits().firstLineTimeout() + MORE, () ->
          client.send(ProxyTest.ID + OPEN + "\r\n").awaitUnread(ProxyTest.ID.length() + OPEN.length() + 2));
      up(site, client);
    }
  }

  /** A request that crosses the end on the wire is answered by it, and never sent on. */
  @Test
  void aFirstLineBehindTheEndOfARestingConnectionIsNotSentOn() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = Crossing.resting(site);
      atDeadline(site, site.limits().firstLineTimeout() + MORE, () -> { });
      client.send(ProxyTest.ID + OPEN + "\r\n");
      assertEquals("BUSY", client.line());
      assertEndedInOrder(client);
      Crossing.awaitRead(client);
      site.settle();
      assertEquals(0, atDoor(site, 0));
      assertFalse(site.events.stream().anyMatch(Arrived.class::isInstance));
    }
  }

  /** Half a line lay unread as the connection was closed: a reset took the PONG along. */
  @Test
  void halfALineAsARestingConnectionIsClosedDoesNotResetIt() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client().send("PING\r\n");
      assertEquals("PONG", client.line());
      site.settle();
      atDeadline(site, site.limits().firstLineTimeout() + MORE, () -> client.send("OPEN 00").awaitUnread(7));
      client.send("00");
      site.settle();
      assertEndedInOrder(client);
    }
  }

  // ---- Sides that linger behind their last answer ----------------------------------------------

  @Test
  void bytesThatComeAsALingeringSideIsClosedDoNotResetIt() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client().send("garbage\r\n");
      assertEquals("ERR", client.line());
      site.settle();
      atDeadline(site, site.limits().lingerTimeout() + MORE, () -> client.send("more\r\n").awaitUnread(6));
      assertEndedInOrder(client);
    }
  }

  /** There is room for so many; who is sent away for others may have sent more meanwhile. */
  @Test
  void bytesThatComeAsALingeringSideMakesRoomDoNotResetIt() throws Exception {
    List<String> waiting = new CopyOnWriteArrayList<>();
    try (Site site = Site.of(event -> {
      if (event instanceof Arrived e) {
        waiting.add(e.request().id());
        return waiting.size() == 1 ? List.of(new WakeAfter(100_000, 7)) : List.of();
      }
      return event instanceof Wake ? waiting.stream().map(id -> (Action) new Refuse(id, 0)).toList() : List.of();
    }, setup -> setup.sockets = 256)) {
      List<Peer> others = new ArrayList<>();
      for (int i = 0; i < site.limits().maxLingering(); i++) {
        others.add(site.client(OPEN));
        site.await(Arrived.class);
      }
      Peer client = site.client().send("garbage\r\n");
      assertEquals("ERR", client.line());
      site.settle();
      atDeadline(site, 100_000 + MORE, () -> client.send("more\r\n").awaitUnread(6));
      assertEndedInOrder(client);
      for (Peer other : others) {
        assertEquals("BUSY", other.line());
        assertNull(other.line());
      }
    }
  }

  // ---- Moves ----------------------------------------------------------------------------------

  /** Moves the first client at the word of another connection. */
  private static Function<Event, List<Action>> movingTheFirst(List<String> ids) {
    return event -> {
      if (event instanceof Established e) {
        ids.add(e.id());
      }
      return event instanceof LoadChanged ? List.of(new Move(ids.get(0))) : ProxyTest.sendOnce(event);
    };
  }

  private static void move(Site site, Peer other) throws Exception {
    other.send("LOAD 1\r\n");
    site.await(LoadChanged.class);
    site.settle();
  }

  /** The move waited for the end of a line that cannot come any more, and the client was ended without it. */
  @Test
  void aServerThatEndsInTheLineThatAMoveWaitsForHasItsClientMoved() throws Exception {
    try (Site site = new Site(movingTheFirst(new CopyOnWriteArrayList<>()))) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      Peer other = up(site, site.client(OPEN));
      server.send("whole\r\nhal");
      assertEquals("whole", client.line());
      move(site, other);
      server.endSending();
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
    }
  }

  /** PROTOCOL: a connection that its server has ended is ended within a second. A move once put that off for 5 s. */
  @Test
  void aMoveDoesNotPutOffTheEndOfAConnectionWhoseServerHasEnded() throws Exception {
    try (Site site = new Site(movingTheFirst(new CopyOnWriteArrayList<>()))) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      Peer other = up(site, site.client(OPEN));
      server.send("whole\r\nhal").endSending();
      assertEquals("whole", client.line());
      assertNull(client.line());
      move(site, other);
      site.jump(site.limits().lingerTimeout() + MORE);
      assertTrue(hasEnded(site), "the connection is over");
    }
  }

  /** The client rests; it writes in the instant of its MOVE, and its server in that of the end. */
  @Test
  void bytesThatCrossAMoveDoNotTakeItAlong() throws Exception {
    try (Site site = new Site(event -> {
      if (event instanceof Established e) {
        return List.of(new WakeAfter(100_000, Long.parseLong(e.id(), 16)));
      }
      return event instanceof Wake e ? List.of(new Move(Long.toHexString(e.token()))) : ProxyTest.sendOnce(event);
    })) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      site.settle();
      atDeadline(site, 100_000 + MORE, () -> {
        client.send("hello\r\n").awaitUnread(7);
        server.send("half a").awaitUnread(6);
      });
      assertEquals("MOVE", client.line());
      assertEndedInOrder(client);
      server.awaitEnd();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
    }
  }

  // ---- Servers' last words ---------------------------------------------------------------------

  /** PROTOCOL: BYE, then the end of the connection, is served to its end; what comes behind it belongs to nobody. */
  @ParameterizedTest
  @ValueSource(strings = {"ERR", "BUSY", "UP r2", "LOAD 3"})
  void aSecondAnswerBehindTheLastWordDoesNotChangeIt(String second) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      server.send("BYE\r\n");
      assertEquals("BYE", client.line());
      server.send(second + "\r\n").close();
      assertEquals(second, client.line());
      assertNull(client.line());
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
    }
  }

  /** The server's reset behind its BYE was once passed on as one, and overtook the BYE. */
  @Test
  void aResetBehindTheLastWordEndsTheClientInOrder() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      try (Site.Held held = site.hold()) {
        server.send("BYE\r\n").awaitUnread(5);
        server.reset();
        server.awaitEndQueued();
        held.release();
      }
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
      assertEquals("BYE", client.line());
      assertEndedInOrder(client);
    }
  }

  /** PROTOCOL: a client is moved, not cut off, while its server still answers. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5000})
  void aServerThatCanNoMoreBeReadHasItsClientMoved(int endless) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      server.send("whole\r\n" + (endless == 0 ? "\0\n" : "x".repeat(endless)));
      assertEquals("whole", client.line());
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(Outcome.ERROR, site.await(Ended.class).outcome());
    }
  }

  /** An UP without a receipt serves nobody: the client would be given what no server made for it. */
  @ParameterizedTest
  @ValueSource(strings = {"UP", "UP ", "UPPER r1", "up r1", "x"})
  void aSpoiltAnswerFailsItsAttempt(String answer) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      server.send(answer + "\r\n");
      assertEquals(Outcome.ERROR, site.await(Ended.class).outcome());
      assertEquals("BUSY 250", client.line());
    }
  }

  /** Its first link's late second answer belongs to nobody: the repeat is answered on its own. */
  @Test
  void aSecondAnswerBehindARefusalDoesNotReachTheRepeat() throws Exception {
    try (Site site = new Site(event -> event instanceof Ended e && !e.requestFinished()
        ? List.of(new Send(e.id(), Site.SERVER, 0)) : ProxyTest.sendOnce(event))) {
      Peer client = site.client(OPEN);
      Peer first = site.atServer();
      first.line();
      first.send("BUSY\r\nUP r0\r\n");
      Peer second = site.atServer();
      second.line();
      first.send("UP r0\r\n");
      site.settle();
      second.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      assertEquals(1, site.await(Established.class).attempt());
    }
  }

  /** A second UP is a line like any other: the client's one answer is the first. */
  @Test
  void aSecondUpChangesNothing() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      server.send("UP r1\r\nUP r2\r\nhel");
      assertEquals("UP r1", client.line());
      assertEquals("UP r2", client.line());
      server.send("lo\r\n");
      assertEquals("hello", client.line());
      site.await(Established.class);
      assertFalse(site.events.stream().anyMatch(Established.class::isInstance), "established once");
    }
  }

  /** PROTOCOL: if one side ends the connection, the proxy ends the other in the same way. */
  @Test
  void aHalfCloseBehindUpPassesAsOne() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      client.send("last\r\n").endSending();
      assertEquals("last", server.line());
      assertNull(server.line());
      server.send("answer\r\nBYE\r\n").endSending();
      assertEquals("answer", client.line());
      assertEquals("BYE", client.line());
      assertNull(client.line());
    }
  }
}
