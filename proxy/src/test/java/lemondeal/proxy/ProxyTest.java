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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy on real sockets, with a module that sends each request once and throttles what then fails. */
@Timeout(30)
class ProxyTest {
  static final String ID = "OPEN 0000000000000001 7f3a9c21e0b4d655 ";
  static final String OPEN = "c=chat,d=2000,g=5c0f6e1a2b3d4c59";

  static List<Action> sendOnce(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), Site.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return List.of(new Refuse(e.id(), 250_000));
    }
    if (event instanceof ClientGone e) {
      return List.of(new CancelAttempt(e.id(), 0));
    }
    return List.of();
  }

  /** As {@link #sendOnce}, and with one more answer to one kind of event. */
  private static <T extends Event> Function<Event, List<Action>> and(Class<T> kind, Function<T, Action> answer) {
    return event -> {
      List<Action> actions = new ArrayList<>(sendOnce(event));
      if (kind.isInstance(event)) {
        actions.add(answer.apply(kind.cast(event)));
      }
      return actions;
    };
  }

  /** A client that the server has answered UP; its first line has been read. */
  static Peer up(Site site, Peer client) throws IOException {
    Peer server = site.atServer();
    assertTrue(server.line().startsWith("OPEN "));
    server.send("UP r1\r\n");
    assertEquals("UP r1", client.line());
    return server;
  }

  @Test
  void answersPing() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      assertEquals("PONG", site.client().send("PING\r\n").line());
    }
  }

  @Test
  void rewritesOnlyTheDeadlineAndPassesAllElse() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      String line = server.line();
      long told = Long.parseLong(line.replaceAll(".*,d=(\\d+),.*", "$1"));
      assertEquals(ID + OPEN.replace("2000", "" + told), line);
      assertTrue(told > 0 && told < 2000, line);
      server.send("UP r1\r\nM 1\r\nM");
      assertEquals("UP r1", client.line());
      assertEquals("M 1", client.line());
      client.send("hello\r\n");
      assertEquals("hello", server.line());
      server.send(" 2\r\nBYE\r\n").close();
      assertEquals("M 2", client.line());
      assertEquals("BYE", client.line());
      assertNull(client.line());
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
    }
  }

  @Test
  void anEndOfTheClientEndsTheServerSide() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      client.send("last\r\n").close();
      assertEquals("last", server.line());
      assertNull(server.line());
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
    }
  }

  /** A server's delay once went unheard: it was measured from the answers to lines, which come at once. */
  @Test
  void loadLinesAreDelaysWhereTheSettingsTellDelaysOnly() throws Exception {
    String delays = "\"tellsDelay\":true,\"tellsLoad\":false,";
    try (Site site = new Site(ProxyTest::sendOnce, delays)) {
      Peer client = site.client(OPEN);
      up(site, client).send("LOAD 343.125\r\n");
      assertEquals("LOAD 343.125", client.line());
      assertEquals(343.125, site.await(MessageDelay.class).millis());
    }
    try (Site site = new Site(ProxyTest::sendOnce, "\"tellsDelay\":true,\"tellsLoad\":true,")) {
      up(site, site.client(OPEN)).send("LOAD 900\r\n");
      assertEquals(900, site.await(LoadChanged.class).load());
    }
  }

  @Test
  void outcomesTellWhetherTheAttemptRan() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      for (String answer : List.of("BUSY", "ERR", "")) {
        Peer client = site.client(OPEN);
        Peer server = site.atServer();
        server.line();
        server.send(answer.isEmpty() ? "" : answer + "\r\n").close();
        assertEquals("BUSY 250", client.line());
        assertEquals(answer.equals("BUSY") ? Outcome.REFUSED : answer.equals("ERR") ? Outcome.ERROR : Outcome.RESET,
            site.await(Ended.class).outcome());
      }
      site.stopServer();
      assertEquals("BUSY 250", site.client(OPEN).line());
      assertEquals(Outcome.NO_CONNECTION, site.await(Ended.class).outcome());
    }
  }

  @Test
  void aSilentServerTimesOutBeforeTheClientLeaves() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client("c=chat,d=200");
      long from = System.nanoTime();
      assertEquals("BUSY 250", client.line());
      assertTrue(System.nanoTime() - from < 200_000_000L, "answered too late");
      assertEquals(Outcome.TIMED_OUT, site.await(Ended.class).outcome());
    }
  }

  @Test
  void aClientThatLeavesBeforeUpEndsItsExecution() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      client.close();
      assertNull(server.line());
      site.await(ClientGone.class);
      Ended ended = site.await(Ended.class);
      assertTrue(ended.requestFinished());
      assertEquals(Outcome.CANCELLED, ended.outcome());
    }
  }

  @Test
  void movesBetweenTwoWholeLines() throws Exception {
    try (Site site = new Site(and(LoadChanged.class, e -> new Move(e.id())))) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      server.send("LOAD 1\r\nhalf a");
      assertEquals("LOAD 1", client.line());
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      server.awaitEnd();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
    }
  }

  /** A client in the middle of a line was once cut off 0.8 s after the decision, though its server went on with it. */
  @Test
  void aMoveWaitsForTheRestOfALine() throws Exception {
    List<String> ids = new CopyOnWriteArrayList<>();
    try (Site site = new Site(and(LoadChanged.class, e -> new Move(ids.get(0))))) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      ids.add(site.await(Established.class).id());
      server.send("before\r\nhel");
      assertEquals("before", client.line());
      up(site, site.client(OPEN)).send("LOAD 1\r\n");
      site.await(LoadChanged.class);
      // Nothing happens until then: that a pause in a line ends nothing is what is tested.
      client.socket.setSoTimeout(1200);
      assertThrows(SocketTimeoutException.class, () -> client.socket.getInputStream().read());
      server.send("lo\r\n");
      assertEquals("hello", client.line());
      assertEquals("MOVE", client.line());
    }
  }

  @Test
  void adoptsWithoutADecision() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN + ",at=" + Site.SERVER);
      Peer server = up(site, client);
      assertEquals(Site.SERVER, site.await(Adopted.class).server());
      server.send("BYE\r\n").close();
      assertEquals("BYE", client.line());
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
      assertFalse(site.events.stream().anyMatch(Established.class::isInstance));
    }
  }

  @Test
  void badInputEndsItsOwnConnectionOnly() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer good = site.client(OPEN);
      Peer server = up(site, good);
      for (String bad : List.of("GET / HTTP/1.1\r\n", "OPEN a b c=chat,d=1\r\n", ID + "c=none,d=1\r\n", ID + "c=chat,d=x\r\n",
          "x".repeat(5000), "\0\n")) {
        assertEquals("ERR", site.client().send(bad).line());
      }
      server.send("still here\r\n");
      assertEquals("still here", good.line());
    }
  }

  /** A client that read slowly once overran the ring: the room asked for was that of the other direction. */
  @Test
  void aSlowReaderHoldsItsServerBackAndLosesNothing() throws Exception {
    int count = 8_000;
    String text = "x".repeat(2_000) + "\r\n";
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
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
      // The server is stopped by the full rings before the client reads its first line.
      flood.join(300);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        lines++;
      }
      assertEquals(count + 1, lines);
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
    }
  }

  /** The module once heard nothing of a server that hangs until its clients were moved, 5 s later. */
  @Test
  void aGrowingSilenceIsToldAsADelay() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      Peer another = site.client(OPEN);
      up(site, another);
      client.send("anyone there?\r\n");
      another.send("and here?\r\n");
      double first = site.await(MessageDelay.class).millis();
      assertTrue(first >= 400 && site.await(MessageDelay.class).millis() >= first + 900, "first told after " + first);
      server.send("here\r\n");
      assertEquals("here", client.line());
    }
  }

  /** In a large fleet a proxy may hold one connection at a server: nobody else would tell of its silence. */
  @Test
  void theOnlyConnectionOfAServerTellsThatItWaits() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      up(site, client);
      client.send("anyone there?\r\n");
      site.await(Unanswered.class);
      assertFalse(site.events.stream().anyMatch(MessageDelay.class::isInstance));
    }
  }

  /** One connection that fell quiet once had half of the clients sent away from a server that served them all. */
  @Test
  void aQuietConnectionIsNotTakenForASilentServer() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer quiet = site.client(OPEN);
      up(site, quiet);
      Peer lively = site.client(OPEN);
      Peer server = up(site, lively);
      quiet.send("anyone there?\r\n");
      long from = System.nanoTime();
      while (System.nanoTime() - from < 3 * site.limits().slowAnswerDelay() * 1000) {
        lively.send("hello\r\n");
        // Part of a line is a sign of life too.
        server.send("hel");
        server.line();
        server.send("lo\r\n");
        assertEquals("hello", lively.line());
      }
      assertFalse(site.events.stream().anyMatch(MessageDelay.class::isInstance));
      Peer third = site.client(OPEN);
      up(site, third);
      lively.send("and me?\r\n");
      third.send("and me?\r\n");
      site.await(MessageDelay.class);
    }
  }

  /** The word on a silence may move the very client that waits: its timer once ran on and failed. */
  @Test
  void aClientMovedForASilenceIsLeftAlone() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (Site site = new Site(and(MessageDelay.class, e -> new Move(e.id())), new PrintStream(log, true))) {
      Peer another = site.client(OPEN);
      up(site, another);
      Peer client = site.client(OPEN);
      up(site, client);
      another.send("anyone there?\r\n");
      client.send("anyone there?\r\n");
      assertEquals("MOVE", client.line());
      site.await(Ended.class);
      Peer other = site.client("c=chat,d=1900");
      assertEquals("BUSY 250", other.line(), "the time that the timer would have taken has passed");
      assertFalse(log.toString().contains("failed"), log.toString());
    }
  }

  @Test
  void aSilentServerHasItsClientMoved() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      up(site, client);
      client.send("anyone there?\r\n");
      assertEquals("MOVE", client.line());
      assertEquals(Outcome.RESET, site.await(Ended.class).outcome());
    }
  }

  /**
   * The time to connect once ran out while the proxy itself stood still, as a starting one does on part of a core:
   * servers were taken for dead, and clients were sent on from one to the next.
   */
  @Test
  void aPauseOfItsOwnIsNotTakenForADeadServer() throws Exception {
    try (Site site = new Site(event -> {
      if (event instanceof Arrived e) {
        Send send = new Send(e.request().id(), Site.SERVER, 0);
        // The second can't be sent, and the word on it comes before anything is read.
        return List.of(send, send);
      }
      return event instanceof Ended e && e.outcome() == Outcome.NOT_SENT ? pause() : sendOnce(event);
    })) {
      up(site, site.client(OPEN));
    }
  }

  private static List<Action> pause() {
    // There is no event to wait for: time passing with nothing read is what is tested.
    assertDoesNotThrow(() -> Thread.sleep(700));
    return List.of();
  }

  @Test
  void probesAndReadsTheReport() throws Exception {
    try (Site site = new Site(and(Arrived.class, e -> new Probe(Site.SERVER)))) {
      site.client(OPEN);
      for (Peer peer : List.of(site.atServer(), site.atServer())) {
        if (peer.line().equals("STATS")) {
          peer.send("PONG qps=4.5,inflight=7,x0=0.61\r\n");
        }
      }
      ProbeResult result = site.await(ProbeResult.class);
      assertEquals(0.61, result.report().demand());
      assertEquals(7, result.report().openConnections());
    }
  }

  @Test
  void aWatchTellsChangesAndItsEnd() throws Exception {
    try (Site site = new Site(e -> e instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
      Peer discovery = site.atDiscovery();
      assertEquals("GET /api/targets?stream=1&index=0 HTTP/1.1", discovery.line());
      String change = "{\"generation\":2,\"reset\":false,\"instances\":[" + site.instance("terminating") + "]}\n";
      discovery.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
      assertEquals(ListKind.SAVED, site.await(ServerList.class).kind());
      assertEquals(ListKind.CHANGES, site.await(ServerList.class).kind());
      discovery.close();
      assertEquals(ListKind.FAILED, site.await(ServerList.class).kind());
    }
  }

  /** The old address's end is no failure of discovery, and what was asked there is asked anew. */
  @Test
  void aReloadMovesDiscoveryAndTellsNoFailure() throws Exception {
    try (Site site = new Site(e -> e instanceof Start ? List.of(new Subscribe(true), new FetchList()) : List.of());
        Site other = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN + ",at=" + Site.SERVER);
      Peer server = up(site, client);
      Peer first = site.atDiscovery();
      Peer second = site.atDiscovery();
      site.moveDiscovery(other);
      assertEquals(Set.of("GET /api/targets HTTP/1.1", "GET /api/targets?stream=1&index=1 HTTP/1.1"),
          Set.of(other.atDiscovery().line(), other.atDiscovery().line()));
      first.awaitEnd();
      second.awaitEnd();
      server.send("still here\r\n");
      assertEquals("still here", client.line());
      assertEquals(ListKind.SAVED, site.await(ServerList.class).kind());
      assertFalse(site.events.stream().anyMatch(ServerList.class::isInstance));
    }
  }

  /** Guards against a discovery that was cut off: the watch stays open and brings nothing. */
  @Test
  void aSilentWatchHasFailed() throws Exception {
    try (Site site = new Site(e -> e instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
      site.atDiscovery();
      site.await(ServerList.class);
      assertEquals(ListKind.FAILED, site.await(ServerList.class).kind());
    }
  }

  /** All clients once came again together, and waited for each other's set-ups at the other proxies. */
  @Test
  void aStopMovesClientsOneAfterTheOther() throws Exception {
    int count = 20;
    try (Site site = new Site(ProxyTest::sendOnce)) {
      List<Peer> clients = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        clients.add(site.client(OPEN));
        up(site, clients.get(i));
      }
      Thread stop = new Thread(() -> assertDoesNotThrow(site.proxy::stop));
      long from = System.nanoTime();
      stop.start();
      assertEquals("MOVE", clients.get(0).line());
      long first = System.nanoTime() - from;
      for (Peer client : clients.subList(1, count)) {
        assertEquals("MOVE", client.line());
      }
      long spread = System.nanoTime() - from - first;
      assertTrue(spread > site.limits().drainMoveTime() * 1000 / 2, "all within " + spread / 1_000_000 + " ms");
      stop.join();
      assertTrue(System.nanoTime() - from < (site.limits().drainTimeout() + 200_000) * 1000, "the stop took too long");
    }
  }

  @Test
  void stopsPolitely() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      Thread stop = new Thread(() -> {
        try {
          site.proxy.stop();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      stop.start();
      assertEquals("MOVE", client.line());
      client.close();
      server.awaitEnd();
      stop.join();
    }
  }
}
