package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.config.Limits;
import lemondeal.log.PlainLog;
import lemondeal.net.Link;
import lemondeal.net.Listener;
import lemondeal.net.Net;
import lemondeal.net.TaskGuard;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stop requests that race with other events, in either order. */
@Timeout(60)
class ShutdownRaceTest {
  private static final int READ_BUFFER_CHARS = 1 << 20;
  /** A stop with this deadline is shorter than the timeout for a first line. */
  private static final long SHORT_DEADLINE = 800_000;
  private static final long TICK = 10_000;
  private static final long JOIN_TIMEOUT_MS = 5_000;

  @TempDir
  Path folder;

  private static ProxyFixture newFixture(long longestDeadline) throws IOException {
    return new ProxyFixture(ProxyTest::sendOnce, longestDeadline);
  }

  private static long timeToFinalAnswers(ProxyFixture fixture) {
    return fixture.limits().drainTimeout() - fixture.limits().lingerTimeout() + TICK;
  }

  // ---- First lines ---------------------------------------------------------------------------

  @Test
  void aLineReadBeforeTheStopIsServedAndOneReadAfterItIsThrottled() throws Exception {
    try (ProxyFixture fixture = newFixture(2_000_000)) {
      LineSocket before = fixture.newClient(OPEN_FIELDS);
      fixture.awaitEvent(Arrived.class);
      LineSocket after = fixture.newClient();
      fixture.awaitQueuedWork();
      Thread stop;
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        after.send("OPEN 00000000000000aa k c=chat,d=2000\r\n").awaitUnread(30);
        stop = EventLoopTasks.queueStop(fixture);
        pause.resume();
      }
      establish(fixture, before);
      assertEquals("BUSY 1000", after.readLine());
      assertNull(after.readLine());
      assertEquals("MOVE", before.readLine());
      stop.join();
    }
  }

  @Test
  void aFirstLineWhoseRestComesDuringTheStopIsThrottled() throws Exception {
    try (ProxyFixture fixture = newFixture(2_000_000)) {
      LineSocket client = fixture.newClient().send("OPEN 00000000000000aa k c=ch");
      fixture.awaitQueuedWork();
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      client.send("at,d=2000\r\n");
      assertEquals("BUSY 1000", client.readLine());
      assertNull(client.readLine());
      stop.join();
    }
  }

  /** Guards against a stop without active requests that ends while first lines may still arrive. */
  @Test
  void theStopWaitsForFirstLinesUntilItsTimeIsOver() throws Exception {
    try (ProxyFixture fixture = newFixture(3_000_000)) {
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.advanceClock(fixture.limits().drainAcceptTime() - 5 * TICK);
      LineSocket slow = fixture.newClient().send("OPEN 00000000000000aa k c=ch");
      fixture.awaitQueuedWork();
      fixture.advanceClock(6 * TICK);
      fixture.advanceClock(TICK);
      fixture.advanceClock(fixture.limits().drainMoveTime() + TICK);
      fixture.advanceClock(fixture.limits().lingerTimeout() + 5 * TICK);
      slow.send("at,d=2000\r\n");
      assertEquals("BUSY 1000", slow.readLine());
      assertTrue(stop.isAlive(), "the process would have exited");
      fixture.advanceClock(fixture.limits().drainTimeout());
      stop.join();
    }
  }

  /** Guards against exiting with an unread line, for which the kernel resets the connection. */
  @Test
  void anUnreadLineAtTheEndIsAnswered() throws Exception {
    try (ProxyFixture fixture = newFixture(SHORT_DEADLINE)) {
      LineSocket idleClient = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", idleClient.readLine());
      LineSocket silent = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", silent.readLine());
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      EventLoopPause pause = fixture.pauseEventLoop();
      idleClient.send("OPEN 00000000000000aa k c=chat,d=2000\r\n").awaitUnread(30);
      try (EventLoopPause endPause = EventLoopTasks.advanceClockWhilePaused(fixture, pause,
          fixture.limits().drainTimeout() + TICK)) {
        stop.join();
        // From here on the process would have exited.
        assertEquals("BUSY 1000", idleClient.readLine());
        assertNull(idleClient.readLine());
        assertNull(silent.readLine());
        endPause.resume();
      }
    }
  }

  // ---- The accept queue ----------------------------------------------------------------------

  /** With all slots taken and many silent connections, the whole backlog is accepted within the limits and answered. */
  @Test
  void theBacklogIsAnsweredWhenAllSlotsAreTaken() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(ProxyTest::sendOnce, options -> options.maxSockets = 256)) {
      List<LineSocket> admitted = new ArrayList<>();
      for (int i = 0; i < fixture.limits().maxClients(); i++) {
        admitted.add(fixture.newClient("c=chat,d=2000"));
        establish(fixture, admitted.get(i));
      }
      List<LineSocket> silent = new ArrayList<>();
      for (int i = 0; i < fixture.limits().maxPending(); i++) {
        silent.add(fixture.newClient().send("PING\r\n"));
        assertEquals("PONG", silent.get(i).readLine());
      }
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      EventLoopPause pause = fixture.pauseEventLoop();
      List<LineSocket> waiting = new ArrayList<>();
      for (int i = 0; i < 2 * fixture.limits().maxAccepted(); i++) {
        waiting.add(fixture.newClient("c=chat,d=2000"));
      }
      fixture.awaitBacklog(waiting.size());
      waiting.get(waiting.size() - 1).awaitUnread(30);
      EventLoopTasks.advanceClockWhilePaused(fixture, pause, fixture.limits().drainAcceptTime() + TICK).resume();
      for (LineSocket client : waiting) {
        assertEquals("BUSY 1000", client.readLine());
        assertNull(client.readLine());
      }
      for (LineSocket client : admitted) {
        assertEquals("MOVE", client.readLine());
      }
      stop.join();
    }
  }

  /** Guards against clients that reconnect as soon as they are refused, which keeps the socket open during the stop. */
  @Test
  void theBacklogIsAcceptedOnce() throws Exception {
    Limits limits = Limits.of(1024, 192, 500_000, 5_000_000, 2_000_000);
    Net net = new Net(limits, new TaskGuard(new PlainLog(System.err)));
    try {
      AtomicInteger accepted = new AtomicInteger();
      Listener[] listener = new Listener[1];
      Consumer<Link> reconnect = link -> {
        link.close();
        assertTrue(accepted.incrementAndGet() < 10_000, "the backlog never becomes empty");
        assertDoesNotThrow(() -> connect(listener[0].address()).close());
      };
      net.runAndWait(() -> {
        listener[0] = net.listen(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
            limits.maxAccepted(), reconnect);
        connect(listener[0].address()).close();
        listener[0].acceptBacklogAndClose(() -> { });
        return null;
      });
      assertTrue(accepted.get() < 10_000, "accepted " + accepted.get());
    } finally {
      net.shutdown();
    }
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    return new Socket(address.getAddress(), address.getPort());
  }

  // ---- Established connections ---------------------------------------------------------------

  /** Guards against moving a client as soon as it comes up: it reconnected to a proxy that refused it. */
  @Test
  void aRequestThatComesUpDuringTheStopIsServed() throws Exception {
    try (ProxyFixture fixture = newFixture(3_000_000)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      client.send("hello\r\n");
      assertEquals("hello", server.readLine());
      server.send("and you\r\n");
      assertEquals("and you", client.readLine());
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      stop.join();
    }
  }

  /** Bytes that a client writes in the instant of its MOVE are read: its connection is closed, not reset. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bytesThatCrossTheMoveCauseNoReset(boolean inTheMiddleOfALine) throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(ProxyTest::sendOnce, options -> {
      options.maxSockets = 256;
      options.longestDeadline = SHORT_DEADLINE;
    })) {
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < 4 * fixture.limits().maxLingering(); i++) {
        clients.add(fixture.newClient("c=chat,d=2000"));
        establish(fixture, clients.get(i)).send(inTheMiddleOfALine ? "whole\r\nhal" : "whole\r\n");
        assertEquals("whole", clients.get(i).readLine());
      }
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      if (!inTheMiddleOfALine) {
        fixture.advanceClock(fixture.limits().drainAcceptTime() + TICK);
      }
      EventLoopPause pause = fixture.pauseEventLoop();
      for (LineSocket client : clients) {
        client.send("my line\r\n").awaitUnread(9);
      }
      EventLoopTasks.advanceClockWhilePaused(fixture, pause, timeToFinalAnswers(fixture)).resume();
      fixture.awaitQueuedWork();
      for (LineSocket client : clients) {
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        assertDoesNotThrow(() -> client.send("more\r\n"), "a reset would have arrived");
      }
      fixture.advanceClock(fixture.limits().drainTimeout());
      stop.join();
    }
  }

  /** A client that never reads or closes, with all its buffers full, does not delay the stop. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aClientThatDoesNotReadDoesNotDelayTheStop(boolean readsAtLast) throws Exception {
    try (ProxyFixture fixture = newFixture(SHORT_DEADLINE)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      Thread flood = new Thread(() -> {
        try {
          while (true) {
            server.send("0123456789abcdef\r\n".repeat(1000));
          }
        } catch (IOException e) {
          // The connection has ended.
        }
      });
      flood.start();
      awaitBuffersFull(fixture, server);
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      fixture.advanceClock(timeToFinalAnswers(fixture));
      if (readsAtLast) {
        // Read in large chunks: the kernel may hold tens of megabytes, and the proxy waits for half a second only.
        BufferedReader lines = new BufferedReader(
            new InputStreamReader(client.socket.getInputStream(), StandardCharsets.ISO_8859_1), READ_BUFFER_CHARS);
        String last = "";
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          assertTrue(line.equals("0123456789abcdef") || line.equals("MOVE"), line);
          last = line;
        }
        assertEquals("MOVE", last);
      }
      fixture.advanceClock(fixture.limits().lingerTimeout() + TICK);
      stop.join();
      flood.join();
    }
  }

  /** Returns once the proxy no longer reads what this server sends, since its buffers are full. */
  static void awaitBuffersFull(ProxyFixture fixture, LineSocket server) throws InterruptedException {
    int before;
    int after = 0;
    do {
      before = after;
      fixture.awaitQueuedWork();
      after = KernelSockets.unreadBytes(server.socket.getPort(), server.socket.getLocalPort());
    } while (before == 0 || after != before);
  }

  // ---- Attempts ------------------------------------------------------------------------------

  /** Sends a request again by a timer after its first attempt has failed. */
  private static List<Action> repeatLater(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return e.attempt() == 0 ? List.of(new WakeAfter(300_000, Long.parseLong(e.id(), 16)))
          : List.of(new Refuse(e.id(), 250_000));
    }
    if (event instanceof Wake e) {
      return List.of(new Send(Long.toHexString(e.token()), ProxyFixture.SERVER, 0));
    }
    return List.of();
  }

  @Test
  void aRepeatThatIsDueDuringTheStopIsSent() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ShutdownRaceTest::repeatLater, 3_000_000)) {
      LineSocket client = fixture.newClient("c=chat,d=3000");
      fixture.acceptAtServer().send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      fixture.advanceClock(300_000 + TICK);
      establish(fixture, client);
      assertEquals("MOVE", client.readLine());
      stop.join();
    }
  }

  @Test
  void aRepeatThatFailsDuringTheStopIsAnswered() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ShutdownRaceTest::repeatLater, 3_000_000)) {
      LineSocket client = fixture.newClient("c=chat,d=3000");
      fixture.acceptAtServer().send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      fixture.advanceClock(300_000 + TICK);
      fixture.acceptAtServer().send("BUSY\r\n");
      assertEquals("BUSY 250", client.readLine());
      assertNull(client.readLine());
      stop.join();
    }
  }

  /** The final answer comes first; the later wake-up must send nothing, since nobody would pass on the answer. */
  @Test
  void aRepeatThatIsDueAfterTheFinalAnswersIsNotSent() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ShutdownRaceTest::repeatLater, SHORT_DEADLINE)) {
      LineSocket client = fixture.newClient("c=chat,d=3000");
      // The delay before the repeat begins during the stop and is longer than the time left to the final answers.
      LineSocket server = fixture.acceptAtServer();
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.advanceClock(timeToFinalAnswers(fixture) - 2 * TICK - 100_000);
      server.send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      fixture.advanceClock(100_000 + 3 * TICK);
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      fixture.awaitEvent(ClientGone.class);
      fixture.advanceClock(300_000);
      fixture.awaitEvent(Wake.class);
      fixture.awaitQueuedWork();
      assertEquals(1, fixture.metric("attempts"), "only the first attempt");
      fixture.advanceClock(fixture.limits().drainTimeout());
      stop.join();
    }
  }

  /** A dial whose completion is seen after the request was answered: nothing is written to the connection. */
  @Test
  void aDialThatCompletesAfterTheFinalAnswersIsNotUsed() throws Exception {
    ProxyFixture[] fixtureHolder = new ProxyFixture[1];
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Wake) {
        // Queued before the event loop learns that the dial has completed.
        EventLoopTasks.runUntilBlocked(() -> fixtureHolder[0].advanceClock(timeToFinalAnswers(fixtureHolder[0])));
      }
      return repeatLater(event);
    }, SHORT_DEADLINE)) {
      fixtureHolder[0] = fixture;
      LineSocket client = fixture.newClient("c=chat,d=3000");
      fixture.acceptAtServer().send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      Thread stop = EventLoopTasks.queueStop(fixture);
      fixture.advanceClock(300_000 + TICK);
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      assertNull(fixture.acceptAtServer().readLine());
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
      assertEquals(1, fixture.metric("attempts"), "only the first attempt");
      fixture.advanceClock(fixture.limits().drainTimeout());
      stop.join();
    }
  }

  // ---- The program ---------------------------------------------------------------------------

  /**
   * Guards against a SIGTERM that kills the program while it is still starting: here a client is connected, and the
   * start is not complete since the log, which would name the listening address, cannot be written.
   */
  @Test
  void sigtermIsHandledFromTheFirstClientOn() throws Exception {
    try (BlockedLogProgram program = BlockedLogProgram.withFullLog(folder)) {
      LineSocket client = program.newClient().send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
      LineSocket server = program.acceptAtServer();
      assertTrue(server.readLine().startsWith("OPEN "));
      program.terminate();
      program.drainLog();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(0, program.exitCode());
    }
  }

  /** A second SIGTERM and a SIGHUP do not change how clients are answered. */
  @Test
  void moreSignalsChangeNothing() throws Exception {
    try (BlockedLogProgram program = BlockedLogProgram.withFullLog(folder)) {
      LineSocket client = program.newClient().send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
      LineSocket server = program.acceptAtServer();
      server.readLine();
      // Only now: the program starts with a full log, which blocks until it is read.
      program.drainLog();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      program.terminate();
      program.signal("HUP");
      program.signal("TERM");
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(0, program.exitCode());
    }
  }

  /**
   * If the reader of the log hangs, log lines wait or are dropped, but no client waits for them. The server's reset
   * makes the module log that it excludes the server.
   */
  @Test
  void anUnreadLogDelaysNoClient() throws Exception {
    try (BlockedLogProgram program = BlockedLogProgram.withFullLog(folder)) {
      LineSocket firstClient = program.newClient().send("OPEN 0000000000000001 k1 c=chat,d=2000\r\n");
      LineSocket resetting = program.acceptAtServer();
      resetting.readLine();
      resetting.reset();
      assertNotNull(firstClient.readLine(), "any answer");
      LineSocket client = program.newClient().send("OPEN 0000000000000002 k2 c=chat,d=2000,at=s-1\r\n");
      LineSocket server = program.acceptAtServer();
      while (!server.readLine().startsWith("OPEN 0000000000000002 ")) {
        // A repeat of the first request.
        server = program.acceptAtServer();
      }
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      program.terminate();
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(0, program.exitCode());
    }
  }

  // ---- Further stops and reloads -------------------------------------------------------------

  /** The stop ends when no client is left, as it would without the second request. */
  @Test
  void aSecondStopChangesNothing() throws Exception {
    try (ProxyFixture fixture = newFixture(3_000_000)) {
      LineSocket client = fixture.newClient("c=chat,d=3000");
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      Thread first = EventLoopTasks.queueStop(fixture);
      fixture.advanceClock(fixture.limits().drainAcceptTime() + TICK);
      fixture.advanceClock(fixture.limits().drainHoldTime() + TICK);
      Thread second = EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      server.send("BUSY\r\n");
      assertEquals("BUSY 250", client.readLine());
      assertNull(client.readLine());
      fixture.advanceClock(fixture.limits().lingerTimeout() + TICK);
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        first.join(JOIN_TIMEOUT_MS);
        assertFalse(first.isAlive(), "it waits for the second stop's timers");
        pause.resume();
      }
      second.join();
    }
  }

  /** A reload that changes the discovery address is applied during the stop, whichever comes first. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aReloadDuringTheStopDelaysNoAnswer(boolean reloadFirst) throws Exception {
    try (ProxyFixture otherFixture = newFixture(SHORT_DEADLINE); ProxyFixture fixture = newFixture(SHORT_DEADLINE)) {
      LineSocket established = fixture.newClient(OPEN_FIELDS);
      establish(fixture, established);
      LineSocket waiting = fixture.newClient("c=chat,d=3000");
      fixture.acceptAtServer().readLine();
      Thread stop;
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        if (reloadFirst) {
          fixture.switchDiscoveryTo(otherFixture);
        }
        stop = EventLoopTasks.queueStop(fixture);
        if (!reloadFirst) {
          fixture.switchDiscoveryTo(otherFixture);
        }
        pause.resume();
      }
      assertEquals("MOVE", established.readLine());
      assertEquals("ERR", waiting.readLine());
      stop.join();
    }
  }
}
