package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
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
import lemondeal.net.TaskGuard;
import lemondeal.net.Link;
import lemondeal.net.Listener;
import lemondeal.net.Net;
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order to stop beside what else comes in the same instant, in the one order and in the other. */
@Timeout(60)
class ShutdownCrossingsTest {
  /** The time for a first line is longer than a stop with this deadline. */
  private static final int READ_AT_ONCE = 1 << 20;
  private static final long SHORT = 800_000;
  private static final long TICK = 10_000;
  private static final long PATIENCE_MS = 5_000;

  @TempDir
  Path folder;

  private static Site site(long longestDeadline) throws IOException {
    return new Site(ProxyTest::sendOnce, longestDeadline);
  }

  private static long toLastAnswers(Site site) {
    return site.limits().drainTimeout() - site.limits().lingerTimeout() + TICK;
  }

  // ---- First lines ---------------------------------------------------------------------------

  @Test
  void aLineReadBeforeTheOrderIsServedAndOneReadAfterItIsThrottled() throws Exception {
    try (Site site = site(2_000_000)) {
      Peer before = site.client(OPEN);
      site.await(Arrived.class);
      Peer after = site.client();
      site.settle();
      Thread stop;
      try (Held held = site.hold()) {
        after.send("OPEN 00000000000000aa k c=chat,d=2000\r\n").awaitUnread(30);
        stop = Orders.stop(site);
        held.release();
      }
      up(site, before);
      assertEquals("BUSY 1000", after.line());
      assertNull(after.line());
      assertEquals("MOVE", before.line());
      stop.join();
    }
  }

  @Test
  void aFirstLineWhoseRestComesDuringTheStopIsThrottled() throws Exception {
    try (Site site = site(2_000_000)) {
      Peer client = site.client().send("OPEN 00000000000000aa k c=ch");
      site.settle();
      Thread stop = Orders.stop(site);
      site.settle();
      client.send("at,d=2000\r\n");
      assertEquals("BUSY 1000", client.line());
      assertNull(client.line());
      stop.join();
    }
  }

  /** With no request inside, the stop was once over before those had their time whose first line was on its way. */
  @Test
  void theEndWaitsForFirstLinesAsLongAsItMay() throws Exception {
    try (Site site = site(3_000_000)) {
      Thread stop = Orders.stop(site);
      site.jump(site.limits().drainAcceptTime() - 5 * TICK);
      Peer slow = site.client().send("OPEN 00000000000000aa k c=ch");
      site.settle();
      site.jump(6 * TICK);
      site.jump(TICK);
      site.jump(site.limits().drainMoveTime() + TICK);
      site.jump(site.limits().lingerTimeout() + 5 * TICK);
      slow.send("at,d=2000\r\n");
      assertEquals("BUSY 1000", slow.line());
      assertTrue(stop.isAlive(), "the process would be gone");
      site.jump(site.limits().drainTimeout());
      stop.join();
    }
  }

  /** The process once ended over it, and the system reset the connection. */
  @Test
  void aLineThatLiesUnreadAtTheEndIsAnswered() throws Exception {
    try (Site site = site(SHORT)) {
      Peer resting = site.client().send("PING\r\n");
      assertEquals("PONG", resting.line());
      Peer silent = site.client().send("PING\r\n");
      assertEquals("PONG", silent.line());
      Thread stop = Orders.stop(site);
      site.settle();
      Held held = site.hold();
      resting.send("OPEN 00000000000000aa k c=chat,d=2000\r\n").awaitUnread(30);
      try (Held ended = Orders.jump(site, held, site.limits().drainTimeout() + TICK)) {
        stop.join();
        // From here on the process is gone.
        assertEquals("BUSY 1000", resting.line());
        assertNull(resting.line());
        assertNull(silent.line());
        ended.release();
      }
    }
  }

  // ---- The queue -----------------------------------------------------------------------------

  /** Slots are taken, and many connections say nothing: still all are let in, within the descriptors, and answered. */
  @Test
  void everyoneInTheQueueIsAnsweredWhenAllPlacesAreTaken() throws Exception {
    try (Site site = Site.of(ProxyTest::sendOnce, setup -> setup.sockets = 256)) {
      List<Peer> inside = new ArrayList<>();
      for (int i = 0; i < site.limits().maxClients(); i++) {
        inside.add(site.client("c=chat,d=2000"));
        up(site, inside.get(i));
      }
      List<Peer> silent = new ArrayList<>();
      for (int i = 0; i < site.limits().maxPending(); i++) {
        silent.add(site.client().send("PING\r\n"));
        assertEquals("PONG", silent.get(i).line());
      }
      Thread stop = Orders.stop(site);
      site.settle();
      Held held = site.hold();
      List<Peer> waiting = new ArrayList<>();
      for (int i = 0; i < 2 * site.limits().maxAccepted(); i++) {
        waiting.add(site.client("c=chat,d=2000"));
      }
      site.awaitQueued(waiting.size());
      waiting.get(waiting.size() - 1).awaitUnread(30);
      Orders.jump(site, held, site.limits().drainAcceptTime() + TICK).release();
      for (Peer client : waiting) {
        assertEquals("BUSY 1000", client.line());
        assertNull(client.line());
      }
      for (Peer client : inside) {
        assertEquals("MOVE", client.line());
      }
      stop.join();
    }
  }

  /** Whoever came again as soon as it was turned away kept the socket open, and the stop from going on. */
  @Test
  void theQueueIsEmptiedOnce() throws Exception {
    Limits limits = Limits.of(1024, 192, 500_000, 5_000_000, 2_000_000);
    Net net = new Net(limits, new TaskGuard(new PlainLog(System.err)));
    try {
      AtomicInteger come = new AtomicInteger();
      Listener[] listener = new Listener[1];
      Consumer<Link> comeAgain = link -> {
        link.close();
        assertTrue(come.incrementAndGet() < 10_000, "there is always one more");
        assertDoesNotThrow(() -> connect(listener[0].address()).close());
      };
      net.runAndWait(() -> {
        listener[0] = net.listen(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
            limits.maxAccepted(), comeAgain);
        connect(listener[0].address()).close();
        listener[0].acceptBacklogAndClose(() -> { });
        return null;
      });
      assertTrue(come.get() < 10_000, "accepted " + come.get());
    } finally {
      net.shutdown();
    }
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    return new Socket(address.getAddress(), address.getPort());
  }

  // ---- Connections that stand ----------------------------------------------------------------

  /** It was moved as soon as it was up, while others were served on, and came again to a proxy that turned it away. */
  @Test
  void aRequestThatComesUpDuringTheStopIsServedOn() throws Exception {
    try (Site site = site(3_000_000)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      Thread stop = Orders.stop(site);
      site.settle();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      client.send("hello\r\n");
      assertEquals("hello", server.line());
      server.send("and you\r\n");
      assertEquals("and you", client.line());
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      stop.join();
    }
  }

  /** What a client writes in the instant of its MOVE is read: its connection ends, and is not reset. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bytesThatCrossTheMoveDoNotResetIt(boolean inTheMiddleOfALine) throws Exception {
    try (Site site = Site.of(ProxyTest::sendOnce, setup -> {
      setup.sockets = 256;
      setup.longestDeadline = SHORT;
    })) {
      List<Peer> clients = new ArrayList<>();
      for (int i = 0; i < 4 * site.limits().maxLingering(); i++) {
        clients.add(site.client("c=chat,d=2000"));
        up(site, clients.get(i)).send(inTheMiddleOfALine ? "whole\r\nhal" : "whole\r\n");
        assertEquals("whole", clients.get(i).line());
      }
      Thread stop = Orders.stop(site);
      site.settle();
      if (!inTheMiddleOfALine) {
        site.jump(site.limits().drainAcceptTime() + TICK);
      }
      Held held = site.hold();
      for (Peer client : clients) {
        client.send("my line\r\n").awaitUnread(9);
      }
      Orders.jump(site, held, toLastAnswers(site)).release();
      site.settle();
      for (Peer client : clients) {
        assertEquals("MOVE", client.line());
        assertNull(client.line());
        assertDoesNotThrow(() -> client.send("more\r\n"), "a reset would have come");
      }
      site.jump(site.limits().drainTimeout());
      stop.join();
    }
  }

  /** A client that never reads and never closes, with all that the proxy holds for it full, keeps nobody. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aClientThatDoesNotReadDelaysNoEnd(boolean readsAtLast) throws Exception {
    try (Site site = site(SHORT)) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      Thread flood = new Thread(() -> {
        try {
          while (true) {
            server.send("0123456789abcdef\r\n".repeat(1000));
          }
        } catch (IOException e) {
          // Its connection has ended.
        }
      });
      flood.start();
      awaitNoRoom(site, server);
      Thread stop = Orders.stop(site);
      site.settle();
      site.jump(toLastAnswers(site));
      if (readsAtLast) {
        // In large pieces: what the system holds may be tens of megabytes, and the proxy waits for half a second.
        BufferedReader lines = new BufferedReader(
            new InputStreamReader(client.socket.getInputStream(), StandardCharsets.ISO_8859_1), READ_AT_ONCE);
        String last = "";
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          assertTrue(line.equals("0123456789abcdef") || line.equals("MOVE"), line);
          last = line;
        }
        assertEquals("MOVE", last);
      }
      site.jump(site.limits().lingerTimeout() + TICK);
      stop.join();
      flood.join();
    }
  }

  /** Returns once the proxy has turned to its sockets and left what this server sent where it was. */
  static void awaitNoRoom(Site site, Peer server) throws InterruptedException {
    int before;
    int after = 0;
    do {
      before = after;
      site.settle();
      after = KernelSockets.unread(server.socket.getPort(), server.socket.getLocalPort());
    } while (before == 0 || after != before);
  }

  // ---- Attempts ------------------------------------------------------------------------------

  /** The module holds a request whose first attempt failed, and sends it again when it is woken. */
  private static List<Action> repeatLater(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), Site.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return e.attempt() == 0 ? List.of(new WakeAfter(300_000, Long.parseLong(e.id(), 16)))
          : List.of(new Refuse(e.id(), 250_000));
    }
    if (event instanceof Wake e) {
      return List.of(new Send(Long.toHexString(e.token()), Site.SERVER, 0));
    }
    return List.of();
  }

  @Test
  void aRepeatThatIsDueDuringTheStopIsSent() throws Exception {
    try (Site site = new Site(ShutdownCrossingsTest::repeatLater, 3_000_000)) {
      Peer client = site.client("c=chat,d=3000");
      site.atServer().send("BUSY\r\n");
      site.await(Ended.class);
      Thread stop = Orders.stop(site);
      site.settle();
      site.jump(300_000 + TICK);
      up(site, client);
      assertEquals("MOVE", client.line());
      stop.join();
    }
  }

  @Test
  void aRepeatThatFailsDuringTheStopIsAnswered() throws Exception {
    try (Site site = new Site(ShutdownCrossingsTest::repeatLater, 3_000_000)) {
      Peer client = site.client("c=chat,d=3000");
      site.atServer().send("BUSY\r\n");
      site.await(Ended.class);
      Thread stop = Orders.stop(site);
      site.settle();
      site.jump(300_000 + TICK);
      site.atServer().send("BUSY\r\n");
      assertEquals("BUSY 250", client.line());
      assertNull(client.line());
      stop.join();
    }
  }

  /** The answer goes first, and the wake-up that comes then sends nothing: nobody would pass its answer on. */
  @Test
  void aRepeatThatIsDueAfterTheLastAnswersIsNotSent() throws Exception {
    try (Site site = new Site(ShutdownCrossingsTest::repeatLater, SHORT)) {
      Peer client = site.client("c=chat,d=3000");
      // Held so that the pause begins with the stop: it is longer than what is left before the last answers.
      Peer server = site.atServer();
      Thread stop = Orders.stop(site);
      site.jump(toLastAnswers(site) - 2 * TICK - 100_000);
      server.send("BUSY\r\n");
      site.await(Ended.class);
      site.jump(100_000 + 3 * TICK);
      assertEquals("ERR", client.line());
      assertNull(client.line());
      site.await(ClientGone.class);
      site.jump(300_000);
      site.await(Wake.class);
      site.settle();
      assertEquals(1, site.figure("attempts"), "none but the first");
      site.jump(site.limits().drainTimeout());
      stop.join();
    }
  }

  /** The connection is up, and the word of it comes after the request was answered: nothing is written to it. */
  @Test
  void aDialThatComesUpAfterTheLastAnswersCarriesNothing() throws Exception {
    Site[] made = new Site[1];
    try (Site site = new Site(event -> {
      if (event instanceof Wake) {
        // Queued before the dial's own word that it is up.
        Orders.waiting(() -> made[0].jump(toLastAnswers(made[0])));
      }
      return repeatLater(event);
    }, SHORT)) {
      made[0] = site;
      Peer client = site.client("c=chat,d=3000");
      site.atServer().send("BUSY\r\n");
      site.await(Ended.class);
      Thread stop = Orders.stop(site);
      site.jump(300_000 + TICK);
      assertEquals("ERR", client.line());
      assertNull(client.line());
      assertNull(site.atServer().line());
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
      assertEquals(1, site.figure("attempts"), "none but the first");
      site.jump(site.limits().drainTimeout());
      stop.join();
    }
  }

  // ---- The program ---------------------------------------------------------------------------

  /**
   * A client is inside and the program has not told where it listens, since its log can't be written: the order is
   * heard all the same. It once ended the program on the spot, until all of the start was done.
   */
  @Test
  void theOrderIsHeardFromTheFirstClientOn() throws Exception {
    try (StartedProgram program = StartedProgram.withFullLog(folder)) {
      Peer client = program.client().send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
      Peer server = program.atServer();
      assertTrue(server.line().startsWith("OPEN "));
      program.order();
      program.emptyLog();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(0, program.exitCode());
    }
  }

  /** SIGTERM again, and SIGHUP: what is owed is paid all the same. */
  @Test
  void moreSignalsChangeNothing() throws Exception {
    try (StartedProgram program = StartedProgram.withFullLog(folder)) {
      Peer client = program.client().send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
      Peer server = program.atServer();
      server.line();
      // Not before: the log has to be full for the program to begin, and then stands still until it is read.
      program.emptyLog();
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      program.order();
      program.signal("HUP");
      program.signal("TERM");
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(0, program.exitCode());
    }
  }

  /**
   * Whoever reads the log has stopped, as a collector does that hangs: what would be told waits or is left out, and nobody
   * else waits for it. The server's reset has the module tell that it passes the server over.
   */
  @Test
  void aLogThatNobodyReadsKeepsNobodyWaiting() throws Exception {
    try (StartedProgram program = StartedProgram.withFullLog(folder)) {
      Peer told = program.client().send("OPEN 0000000000000001 k1 c=chat,d=2000\r\n");
      Peer resetting = program.atServer();
      resetting.line();
      resetting.reset();
      assertNotNull(told.line(), "an answer, whichever");
      Peer client = program.client().send("OPEN 0000000000000002 k2 c=chat,d=2000,at=s-1\r\n");
      Peer server = program.atServer();
      while (!server.line().startsWith("OPEN 0000000000000002 ")) {
        // A repeat of the first one.
        server = program.atServer();
      }
      server.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      program.order();
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(0, program.exitCode());
    }
  }

  // ---- Other orders --------------------------------------------------------------------------

  /** The stop ends when nobody is left, as if the second order had not come. */
  @Test
  void aSecondOrderChangesNothing() throws Exception {
    try (Site site = site(3_000_000)) {
      Peer client = site.client("c=chat,d=3000");
      Peer server = site.atServer();
      server.line();
      Thread first = Orders.stop(site);
      site.jump(site.limits().drainAcceptTime() + TICK);
      site.jump(site.limits().drainHoldTime() + TICK);
      Thread second = Orders.stop(site);
      site.settle();
      server.send("BUSY\r\n");
      assertEquals("BUSY 250", client.line());
      assertNull(client.line());
      site.jump(site.limits().lingerTimeout() + TICK);
      try (Held held = site.hold()) {
        first.join(PATIENCE_MS);
        assertFalse(first.isAlive(), "it waits for the second one's times");
        held.release();
      }
      second.join();
    }
  }

  /** A configuration that moves discovery is taken over beside the stop, whichever comes first. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aReloadBesideTheOrderKeepsNoAnswerBack(boolean reloadFirst) throws Exception {
    try (Site other = site(SHORT); Site site = site(SHORT)) {
      Peer standing = site.client(OPEN);
      up(site, standing);
      Peer waiting = site.client("c=chat,d=3000");
      site.atServer().line();
      Thread stop;
      try (Held held = site.hold()) {
        if (reloadFirst) {
          site.moveDiscovery(other);
        }
        stop = Orders.stop(site);
        if (!reloadFirst) {
          site.moveDiscovery(other);
        }
        held.release();
      }
      assertEquals("MOVE", standing.line());
      assertEquals("ERR", waiting.line());
      stop.join();
    }
  }
}
