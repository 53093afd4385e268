package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static lemondeal.proxy.RaceSteps.expireTimersBeforeReading;
import static lemondeal.proxy.RaceSteps.serverBacklog;
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
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes and closes that reach a connection in the moment in which the proxy ends it. */
@Timeout(30)
class ConnectionCloseRaceTest {
  private static final long MARGIN = 50_000;

  private static boolean hasEnded(ProxyFixture fixture) {
    return fixture.events.stream().anyMatch(Ended.class::isInstance);
  }

  private static void assertClosedWithoutReset(LineSocket connection) throws Exception {
    assertNull(connection.readLine(), "a FIN, not a reset");
    assertFalse(RaceSteps.isReset(connection), "a reset after the FIN");
  }

  // ---- Connections without a request ----------------------------------------------------------

  /** Guards against resetting a client without an answer although its line had been received. */
  @Test
  void aFirstLineReceivedBeforeItsTimeoutRunsIsServed() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = RaceSteps.idleClient(fixture);
      expireTimersBeforeReading(fixture, fixture.limits().firstLineTimeout() + MARGIN, () ->
          client.send(ProxyTest.OPEN_PREFIX + OPEN_FIELDS + "\r\n")
              .awaitUnread(ProxyTest.OPEN_PREFIX.length() + OPEN_FIELDS.length() + 2));
      establish(fixture, client);
    }
  }

  /** A request that crosses the close on the wire gets BUSY and is never forwarded. */
  @Test
  void aFirstLineAfterTheCloseOfAnIdleConnectionIsNotForwarded() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = RaceSteps.idleClient(fixture);
      expireTimersBeforeReading(fixture, fixture.limits().firstLineTimeout() + MARGIN, () -> { });
      client.send(ProxyTest.OPEN_PREFIX + OPEN_FIELDS + "\r\n");
      assertEquals("BUSY", client.readLine());
      assertClosedWithoutReset(client);
      RaceSteps.awaitReadByProxy(client);
      fixture.awaitQueuedWork();
      assertEquals(0, serverBacklog(fixture, 0));
      assertFalse(fixture.events.stream().anyMatch(Arrived.class::isInstance));
    }
  }

  /** Guards against closing with unread bytes: the kernel then sends a reset, and the client loses its PONG. */
  @Test
  void halfALineAtTheCloseOfAnIdleConnectionCausesNoReset() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", client.readLine());
      fixture.awaitQueuedWork();
      expireTimersBeforeReading(fixture, fixture.limits().firstLineTimeout() + MARGIN,
          () -> client.send("OPEN 00").awaitUnread(7));
      client.send("00");
      fixture.awaitQueuedWork();
      assertClosedWithoutReset(client);
    }
  }

  // ---- Lingering close after the last answer ---------------------------------------------------

  @Test
  void bytesAtTheEndOfALingeringCloseCauseNoReset() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient().send("garbage\r\n");
      assertEquals("ERR", client.readLine());
      fixture.awaitQueuedWork();
      expireTimersBeforeReading(fixture, fixture.limits().lingerTimeout() + MARGIN,
          () -> client.send("more\r\n").awaitUnread(6));
      assertClosedWithoutReset(client);
    }
  }

  /** Lingering connections are limited in number; one that is evicted for others may have sent more meanwhile. */
  @Test
  void bytesAtTheEvictionOfALingeringConnectionCauseNoReset() throws Exception {
    List<String> waiting = new CopyOnWriteArrayList<>();
    try (ProxyFixture fixture = ProxyFixture.of(event -> {
      if (event instanceof Arrived e) {
        waiting.add(e.request().id());
        return waiting.size() == 1 ? List.of(new WakeAfter(100_000, 7)) : List.of();
      }
      return event instanceof Wake ? waiting.stream().map(id -> (Action) new Refuse(id, 0)).toList() : List.of();
    }, options -> options.maxSockets = 256)) {
      List<LineSocket> others = new ArrayList<>();
      for (int i = 0; i < fixture.limits().maxLingering(); i++) {
        others.add(fixture.newClient(OPEN_FIELDS));
        fixture.awaitEvent(Arrived.class);
      }
      LineSocket client = fixture.newClient().send("garbage\r\n");
      assertEquals("ERR", client.readLine());
      fixture.awaitQueuedWork();
      expireTimersBeforeReading(fixture, 100_000 + MARGIN, () -> client.send("more\r\n").awaitUnread(6));
      assertClosedWithoutReset(client);
      for (LineSocket other : others) {
        assertEquals("BUSY", other.readLine());
        assertNull(other.readLine());
      }
    }
  }

  // ---- Moves ----------------------------------------------------------------------------------

  /** Moves the first client when another connection reports a load. */
  private static Function<Event, List<Action>> moveFirstClient(List<String> ids) {
    return event -> {
      if (event instanceof Established e) {
        ids.add(e.id());
      }
      return event instanceof LoadChanged ? List.of(new Move(ids.get(0))) : ProxyTest.sendOnce(event);
    };
  }

  private static void triggerMove(ProxyFixture fixture, LineSocket other) throws Exception {
    other.send("LOAD 1\r\n");
    fixture.awaitEvent(LoadChanged.class);
    fixture.awaitQueuedWork();
  }

  /** Guards against a move that waits for the rest of a line after its server has closed: the client got no MOVE. */
  @Test
  void aServerThatClosesMidLineDuringAMoveHasItsClientMoved() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(moveFirstClient(new CopyOnWriteArrayList<>()))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      LineSocket other = establish(fixture, fixture.newClient(OPEN_FIELDS));
      server.send("whole\r\nhal");
      assertEquals("whole", client.readLine());
      triggerMove(fixture, other);
      server.endSending();
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** PROTOCOL: a connection that its server has ended is ended within a second. A move once delayed that by 5 s. */
  @Test
  void aMoveDoesNotDelayTheEndOfAConnectionWhoseServerHasEnded() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(moveFirstClient(new CopyOnWriteArrayList<>()))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      LineSocket other = establish(fixture, fixture.newClient(OPEN_FIELDS));
      server.send("whole\r\nhal").endSending();
      assertEquals("whole", client.readLine());
      assertNull(client.readLine());
      triggerMove(fixture, other);
      fixture.advanceClock(fixture.limits().lingerTimeout() + MARGIN);
      assertTrue(hasEnded(fixture), "the connection is over");
    }
  }

  /** An idle client writes in the instant of its MOVE, and its server in the instant of the close. */
  @Test
  void bytesThatCrossAMoveDoNotDropIt() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Established e) {
        return List.of(new WakeAfter(100_000, Long.parseLong(e.id(), 16)));
      }
      return event instanceof Wake e ? List.of(new Move(Long.toHexString(e.token()))) : ProxyTest.sendOnce(event);
    })) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      fixture.awaitQueuedWork();
      expireTimersBeforeReading(fixture, 100_000 + MARGIN, () -> {
        client.send("hello\r\n").awaitUnread(7);
        server.send("half a").awaitUnread(6);
      });
      assertEquals("MOVE", client.readLine());
      assertClosedWithoutReset(client);
      server.readToEnd();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  // ---- Servers' last lines ---------------------------------------------------------------------

  /** PROTOCOL: a connection that ends after BYE counts as served; lines after BYE do not change that. */
  @ParameterizedTest
  @ValueSource(strings = {"ERR", "BUSY", "UP r2", "LOAD 3"})
  void aSecondAnswerAfterByeDoesNotChangeTheOutcome(String second) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      server.send("BYE\r\n");
      assertEquals("BYE", client.readLine());
      server.send(second + "\r\n").close();
      assertEquals(second, client.readLine());
      assertNull(client.readLine());
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** Guards against passing on a server's reset after BYE as a reset, which overtook the BYE. */
  @Test
  void aResetAfterByeClosesTheClientWithoutReset() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        server.send("BYE\r\n").awaitUnread(5);
        server.reset();
        server.awaitCloseReceived();
        pause.resume();
      }
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
      assertEquals("BYE", client.readLine());
      assertClosedWithoutReset(client);
    }
  }

  /** PROTOCOL: a client is moved, not disconnected, while its server still answers. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5000})
  void aServerWithUnreadableOutputHasItsClientMoved(int excessLength) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      server.send("whole\r\n" + (excessLength == 0 ? "\0\n" : "x".repeat(excessLength)));
      assertEquals("whole", client.readLine());
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(Outcome.ERROR, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** An UP without a receipt does not count: the client would get an answer that no server gave. */
  @ParameterizedTest
  @ValueSource(strings = {"UP", "UP ", "UPPER r1", "up r1", "x"})
  void aMalformedAnswerFailsItsAttempt(String answer) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send(answer + "\r\n");
      assertEquals(Outcome.ERROR, fixture.awaitEvent(Ended.class).outcome());
      assertEquals("BUSY 250", client.readLine());
    }
  }

  /** A late second answer on the first link is ignored: the repeat gets its own answer. */
  @Test
  void aSecondAnswerAfterARefusalDoesNotReachTheRepeat() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> event instanceof Ended e && !e.requestFinished()
        ? List.of(new Send(e.id(), ProxyFixture.SERVER, 0)) : ProxyTest.sendOnce(event))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket first = fixture.acceptAtServer();
      first.readLine();
      first.send("BUSY\r\nUP r0\r\n");
      LineSocket second = fixture.acceptAtServer();
      second.readLine();
      first.send("UP r0\r\n");
      fixture.awaitQueuedWork();
      second.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      assertEquals(1, fixture.awaitEvent(Established.class).attempt());
    }
  }

  /** A second UP is relayed like any other line: the first one is the client's answer. */
  @Test
  void aSecondUpChangesNothing() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send("UP r1\r\nUP r2\r\nhel");
      assertEquals("UP r1", client.readLine());
      assertEquals("UP r2", client.readLine());
      server.send("lo\r\n");
      assertEquals("hello", client.readLine());
      fixture.awaitEvent(Established.class);
      assertFalse(fixture.events.stream().anyMatch(Established.class::isInstance), "established once");
    }
  }

  /** PROTOCOL: if one side ends the connection, the proxy ends the other in the same way. */
  @Test
  void aHalfCloseAfterUpIsPassedOn() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      client.send("last\r\n").endSending();
      assertEquals("last", server.readLine());
      assertNull(server.readLine());
      server.send("answer\r\nBYE\r\n").endSending();
      assertEquals("answer", client.readLine());
      assertEquals("BYE", client.readLine());
      assertNull(client.readLine());
    }
  }
}
