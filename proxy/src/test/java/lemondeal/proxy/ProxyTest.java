package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Unanswered;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy on real sockets, with a module that sends each request once and refuses it if the attempt fails. */
@Timeout(30)
class ProxyTest {
  static final String OPEN_PREFIX = "OPEN 0000000000000001 7f3a9c21e0b4d655 ";
  static final String OPEN_FIELDS = "c=chat,d=2000,g=5c0f6e1a2b3d4c59";

  static List<Action> sendOnce(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return List.of(new Refuse(e.id(), 250_000));
    }
    if (event instanceof ClientGone e) {
      return List.of(new CancelAttempt(e.id(), 0));
    }
    return List.of();
  }

  /** {@link #sendOnce} plus one more action for one type of event. */
  private static <T extends Event> Function<Event, List<Action>> sendOnceAnd(
      Class<T> kind, Function<T, Action> answer) {
    return event -> {
      List<Action> actions = new ArrayList<>(sendOnce(event));
      if (kind.isInstance(event)) {
        actions.add(answer.apply(kind.cast(event)));
      }
      return actions;
    };
  }

  /** Accepts the client's request at the server, answers UP and returns the server's side. */
  static LineSocket establish(ProxyFixture fixture, LineSocket client) throws IOException {
    LineSocket server = fixture.acceptAtServer();
    assertTrue(server.readLine().startsWith("OPEN "));
    server.send("UP r1\r\n");
    assertEquals("UP r1", client.readLine());
    return server;
  }

  @Test
  void answersPing() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      assertEquals("PONG", fixture.newClient().send("PING\r\n").readLine());
    }
  }

  @Test
  void rewritesOnlyTheDeadlineAndPassesAllElse() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      String line = server.readLine();
      long forwardedDeadline = Long.parseLong(line.replaceAll(".*,d=(\\d+),.*", "$1"));
      assertEquals(OPEN_PREFIX + OPEN_FIELDS.replace("2000", "" + forwardedDeadline), line);
      assertTrue(forwardedDeadline > 0 && forwardedDeadline < 2000, line);
      server.send("UP r1\r\nM 1\r\nM");
      assertEquals("UP r1", client.readLine());
      assertEquals("M 1", client.readLine());
      client.send("hello\r\n");
      assertEquals("hello", server.readLine());
      server.send(" 2\r\nBYE\r\n").close();
      assertEquals("M 2", client.readLine());
      assertEquals("BYE", client.readLine());
      assertNull(client.readLine());
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  @Test
  void theEndOfTheClientEndsTheServerSide() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      client.send("last\r\n").close();
      assertEquals("last", server.readLine());
      assertNull(server.readLine());
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** Guards against ignoring reported delays in favour of those measured from answers, which come at once. */
  @Test
  void loadLinesAreDelaysWhereServersReportDelaysOnly() throws Exception {
    String delays = "\"tellsDelay\":true,\"tellsLoad\":false,";
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, delays)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      establish(fixture, client).send("LOAD 343.125\r\n");
      assertEquals("LOAD 343.125", client.readLine());
      assertEquals(343.125, fixture.awaitEvent(MessageDelay.class).millis());
    }
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "\"tellsDelay\":true,\"tellsLoad\":true,")) {
      establish(fixture, fixture.newClient(OPEN_FIELDS)).send("LOAD 900\r\n");
      assertEquals(900, fixture.awaitEvent(LoadChanged.class).load());
    }
  }

  @Test
  void outcomesShowWhetherTheAttemptRan() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      for (String answer : List.of("BUSY", "ERR", "")) {
        LineSocket client = fixture.newClient(OPEN_FIELDS);
        LineSocket server = fixture.acceptAtServer();
        server.readLine();
        server.send(answer.isEmpty() ? "" : answer + "\r\n").close();
        assertEquals("BUSY 250", client.readLine());
        assertEquals(answer.equals("BUSY") ? Outcome.REFUSED : answer.equals("ERR") ? Outcome.ERROR : Outcome.RESET,
            fixture.awaitEvent(Ended.class).outcome());
      }
      fixture.stopServer();
      assertEquals("BUSY 250", fixture.newClient(OPEN_FIELDS).readLine());
      assertEquals(Outcome.NO_CONNECTION, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  @Test
  void aSilentServerTimesOutBeforeTheClientLeaves() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient("c=chat,d=200");
      long startNanos = System.nanoTime();
      assertEquals("BUSY 250", client.readLine());
      assertTrue(System.nanoTime() - startNanos < 200_000_000L, "answered too late");
      assertEquals(Outcome.TIMED_OUT, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  @Test
  void aClientThatLeavesBeforeUpEndsItsExecution() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      client.close();
      assertNull(server.readLine());
      fixture.awaitEvent(ClientGone.class);
      Ended ended = fixture.awaitEvent(Ended.class);
      assertTrue(ended.requestFinished());
      assertEquals(Outcome.CANCELLED, ended.outcome());
    }
  }

  @Test
  void movesBetweenTwoWholeLines() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(sendOnceAnd(LoadChanged.class, e -> new Move(e.id())))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      server.send("LOAD 1\r\nhalf a");
      assertEquals("LOAD 1", client.readLine());
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      server.readToEnd();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** Guards against ending a client mid-line 0.8 s after the move was decided, while its server finished the line. */
  @Test
  void aMoveWaitsForTheRestOfALine() throws Exception {
    List<String> ids = new CopyOnWriteArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(sendOnceAnd(LoadChanged.class, e -> new Move(ids.get(0))))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      ids.add(fixture.awaitEvent(Established.class).id());
      server.send("before\r\nhel");
      assertEquals("before", client.readLine());
      establish(fixture, fixture.newClient(OPEN_FIELDS)).send("LOAD 1\r\n");
      fixture.awaitEvent(LoadChanged.class);
      // Nothing must happen meanwhile: the test is that a pause within a line ends nothing.
      client.socket.setSoTimeout(1200);
      assertThrows(SocketTimeoutException.class, () -> client.socket.getInputStream().read());
      server.send("lo\r\n");
      assertEquals("hello", client.readLine());
      assertEquals("MOVE", client.readLine());
    }
  }

  @Test
  void adoptsWithoutADecision() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS + ",at=" + ProxyFixture.SERVER);
      LineSocket server = establish(fixture, client);
      assertEquals(ProxyFixture.SERVER, fixture.awaitEvent(Adopted.class).server());
      server.send("BYE\r\n").close();
      assertEquals("BYE", client.readLine());
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
      assertFalse(fixture.events.stream().anyMatch(Established.class::isInstance));
    }
  }

  @Test
  void badInputEndsItsOwnConnectionOnly() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket good = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, good);
      for (String bad : List.of("GET / HTTP/1.1\r\n", "OPEN a b c=chat,d=1\r\n",
          OPEN_PREFIX + "c=none,d=1\r\n", OPEN_PREFIX + "c=chat,d=x\r\n", "x".repeat(5000), "\0\n")) {
        assertEquals("ERR", fixture.newClient().send(bad).readLine());
      }
      server.send("still here\r\n");
      assertEquals("still here", good.readLine());
    }
  }

  /** Guards against overflowing the ring buffer of a slow reader: the space of the other direction was checked. */
  @Test
  void aSlowReaderCausesBackPressureAndLosesNothing() throws Exception {
    int count = 8_000;
    String text = "x".repeat(2_000) + "\r\n";
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      Thread flood = new Thread(() -> {
        try {
          for (int i = 0; i < count; i++) {
            server.send(text);
          }
          server.send("BYE\r\n").close();
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      });
      flood.start();
      int lines = 0;
      BufferedReader in = new BufferedReader(new InputStreamReader(client.socket.getInputStream()));
      // The server is blocked by the full ring buffers before the client reads its first line.
      flood.join(300);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        lines++;
      }
      assertEquals(count + 1, lines);
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /** Guards against reporting a hanging server to the module only when its clients are moved, 5 s later. */
  @Test
  void aGrowingSilenceIsReportedAsADelay() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      LineSocket another = fixture.newClient(OPEN_FIELDS);
      establish(fixture, another);
      client.send("anyone there?\r\n");
      another.send("and here?\r\n");
      double first = fixture.awaitEvent(MessageDelay.class).millis();
      assertTrue(first >= 400 && fixture.awaitEvent(MessageDelay.class).millis() >= first + 900,
          "first report after " + first);
      server.send("here\r\n");
      assertEquals("here", client.readLine());
    }
  }

  /** In a large fleet a proxy may have only one connection to a server, which alone can report its silence. */
  @Test
  void theOnlyConnectionOfAServerReportsThatItWaits() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      establish(fixture, client);
      client.send("anyone there?\r\n");
      fixture.awaitEvent(Unanswered.class);
      assertFalse(fixture.events.stream().anyMatch(MessageDelay.class::isInstance));
    }
  }

  /** Guards against one quiet connection making the proxy move half of the clients from a healthy server. */
  @Test
  void aQuietConnectionIsNotTakenForASilentServer() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket quiet = fixture.newClient(OPEN_FIELDS);
      establish(fixture, quiet);
      String quietId = fixture.awaitEvent(Established.class).id();
      LineSocket active = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, active);
      quiet.send("anyone there?\r\n");
      long startNanos = System.nanoTime();
      while (System.nanoTime() - startNanos < 3 * fixture.limits().slowAnswerDelay() * 1000) {
        active.send("hello\r\n");
        // Part of a line also counts as activity.
        server.send("hel");
        server.readLine();
        server.send("lo\r\n");
        assertEquals("hello", active.readLine());
      }
      // On a busy machine the answers to the active client may come late, which is told as their measured delay.
      assertFalse(fixture.events.stream().anyMatch(event -> event instanceof MessageDelay delay
          && (delay.id().equals(quietId) || delay.millis() * 1000 >= fixture.limits().slowAnswerDelay())));
      fixture.events.clear();
      LineSocket third = fixture.newClient(OPEN_FIELDS);
      establish(fixture, third);
      active.send("and me?\r\n");
      third.send("and me?\r\n");
      fixture.awaitEvent(MessageDelay.class);
    }
  }

  /** Guards against a leftover timer: the report of a silence may move the waiting client, whose timer then failed. */
  @Test
  void aClientMovedForSilenceHasNoTimerLeft() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (ProxyFixture fixture = new ProxyFixture(
        sendOnceAnd(MessageDelay.class, e -> new Move(e.id())), new PrintStream(log, true))) {
      LineSocket another = fixture.newClient(OPEN_FIELDS);
      establish(fixture, another);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      establish(fixture, client);
      another.send("anyone there?\r\n");
      client.send("anyone there?\r\n");
      assertEquals("MOVE", client.readLine());
      fixture.awaitEvent(Ended.class);
      LineSocket other = fixture.newClient("c=chat,d=1900");
      assertEquals("BUSY 250", other.readLine(), "the leftover timer would have run by now");
      assertFalse(log.toString().contains("failed"), log.toString());
    }
  }

  @Test
  void aSilentServerHasItsClientMoved() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      establish(fixture, client);
      client.send("anyone there?\r\n");
      assertEquals("MOVE", client.readLine());
      assertEquals(Outcome.RESET, fixture.awaitEvent(Ended.class).outcome());
    }
  }

  /**
   * Guards against connect timeouts that expire while the proxy itself is paused, as during a start on part of a core:
   * servers were taken for dead, and clients were sent from one to the next.
   */
  @Test
  void aPauseOfTheProxyIsNotTakenForADeadServer() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e) {
        Send send = new Send(e.request().id(), ProxyFixture.SERVER, 0);
        // The second cannot be sent; this is reported before anything is read.
        return List.of(send, send);
      }
      return event instanceof Ended e && e.outcome() == Outcome.NOT_SENT ? blockEventLoop() : sendOnce(event);
    })) {
      establish(fixture, fixture.newClient(OPEN_FIELDS));
    }
  }

  private static List<Action> blockEventLoop() {
    // There is no event to wait for: the test needs time to pass with nothing read.
    assertDoesNotThrow(() -> Thread.sleep(700));
    return List.of();
  }

  @Test
  void probesAndReadsTheReport() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(sendOnceAnd(Arrived.class, e -> new Probe(ProxyFixture.SERVER)))) {
      fixture.newClient(OPEN_FIELDS);
      for (LineSocket connection : List.of(fixture.acceptAtServer(), fixture.acceptAtServer())) {
        if (connection.readLine().equals("STATS")) {
          connection.send("PONG qps=4.5,inflight=7,x0=0.61\r\n");
        }
      }
      ProbeResult result = fixture.awaitEvent(ProbeResult.class);
      assertEquals(0.61, result.report().demand());
      assertEquals(7, result.report().openConnections());
    }
  }

  @Test
  void aWatchReportsChangesAndItsEnd() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(e -> e instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
      LineSocket discovery = fixture.acceptAtDiscovery();
      assertEquals("GET /api/targets?stream=1&index=0 HTTP/1.1", discovery.readLine());
      String change =
          "{\"generation\":2,\"reset\":false,\"instances\":[" + fixture.instanceJson("terminating") + "]}\n";
      discovery.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
      assertEquals(ListKind.SAVED, fixture.awaitEvent(ServerList.class).kind());
      assertEquals(ListKind.CHANGES, fixture.awaitEvent(ServerList.class).kind());
      discovery.close();
      assertEquals(ListKind.FAILED, fixture.awaitEvent(ServerList.class).kind());
    }
  }

  /** Closing the old address counts as no discovery failure, and its pending calls are repeated at the new address. */
  @Test
  void aReloadSwitchesDiscoveryAndReportsNoFailure() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(
            e -> e instanceof Start ? List.of(new Subscribe(true), new FetchList()) : List.of());
        ProxyFixture otherFixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS + ",at=" + ProxyFixture.SERVER);
      LineSocket server = establish(fixture, client);
      LineSocket first = fixture.acceptAtDiscovery();
      LineSocket second = fixture.acceptAtDiscovery();
      fixture.switchDiscoveryTo(otherFixture);
      assertEquals(Set.of("GET /api/targets HTTP/1.1", "GET /api/targets?stream=1&index=1 HTTP/1.1"),
          Set.of(otherFixture.acceptAtDiscovery().readLine(), otherFixture.acceptAtDiscovery().readLine()));
      first.readToEnd();
      second.readToEnd();
      server.send("still here\r\n");
      assertEquals("still here", client.readLine());
      assertEquals(ListKind.SAVED, fixture.awaitEvent(ServerList.class).kind());
      assertFalse(fixture.events.stream().anyMatch(ServerList.class::isInstance));
    }
  }

  /** Guards against a discovery that has lost its connection: the watch stays open and silent. */
  @Test
  void aSilentWatchHasFailed() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(e -> e instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
      fixture.acceptAtDiscovery();
      fixture.awaitEvent(ServerList.class);
      assertEquals(ListKind.FAILED, fixture.awaitEvent(ServerList.class).kind());
    }
  }

  /** Guards against moving all clients at once: they reconnect together and wait for each other at other proxies. */
  @Test
  void aStopMovesClientsOneAfterTheOther() throws Exception {
    int count = 20;
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        clients.add(fixture.newClient(OPEN_FIELDS));
        establish(fixture, clients.get(i));
      }
      Thread stop = new Thread(() -> assertDoesNotThrow(fixture.proxy::stop));
      long startNanos = System.nanoTime();
      stop.start();
      assertEquals("MOVE", clients.get(0).readLine());
      long first = System.nanoTime() - startNanos;
      for (LineSocket client : clients.subList(1, count)) {
        assertEquals("MOVE", client.readLine());
      }
      long spread = System.nanoTime() - startNanos - first;
      assertTrue(spread > fixture.limits().drainMoveTime() * 1000 / 2, "all within " + spread / 1_000_000 + " ms");
      stop.join();
      assertTrue(System.nanoTime() - startNanos < (fixture.limits().drainTimeout() + 200_000) * 1000,
          "the stop took too long");
    }
  }

  @Test
  void aStopMovesClientsAndEnds() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      Thread stop = new Thread(() -> {
        try {
          fixture.proxy.stop();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      stop.start();
      assertEquals("MOVE", client.readLine());
      client.close();
      server.readToEnd();
      stop.join();
    }
  }
}
