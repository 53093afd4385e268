package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.up;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondeal.ProgramCommands;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.LoadChanged;
import lemondeal.config.Limits;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What holds after SIGTERM, for connections that stay open. Whatever is owed must be read once the stop is over. */
@Timeout(60)
class TermTest {
  private static final long SECOND = 1_000_000;
  /** Before this, SIGKILL never comes; the longest deadline counts as {@link #LONGEST_COUNTED} at most. */
  private static final long KILL_AFTER_DEADLINE = 700_000;
  private static final long LONGEST_COUNTED = 3 * SECOND;
  /** New connections come for so long at most. */
  private static final long COMING = 400_000;

  @TempDir
  Path folder;

  private static Thread stopping(Site site) {
    Thread stop = new Thread(() -> assertDoesNotThrow(site.proxy::stop));
    stop.start();
    return stop;
  }

  /** Once this returns, each of these must have what it is owed: the process would be gone. */
  private static void stop(Site site, Peer... clients) throws Exception {
    stopping(site).join();
    for (Peer client : clients) {
      client.socket.setSoTimeout(1000);
    }
  }

  private static void awaitStopping(Site site) throws Exception {
    while (!site.caller().send("ready\r\n").line().equals("400 no")) {
      continue;
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {200_000, 800_000, 2_000_000, 3_000_000, 9_000_000})
  void aStopIsOverBeforeItIsKilled(long deadline) {
    Limits limits = Limits.of(1024, 192, SECOND, SECOND, deadline);
    long kill = Math.min(LONGEST_COUNTED, deadline) + KILL_AFTER_DEADLINE;
    assertTrue(limits.drainTimeout() <= kill - 100_000, "a stop takes " + limits.drainTimeout());
    assertTrue(limits.drainAcceptTime() >= COMING);
  }

  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void whoeverStillComesIsTurnedAwayAndLosesNothing(long deadline) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, deadline)) {
      Peer standing = site.client("c=chat,d=2000");
      up(site, standing);
      Thread stop = stopping(site);
      awaitStopping(site);
      long from = System.nanoTime();
      Peer late = site.client();
      while (System.nanoTime() - from < COMING / 2 * 1000) {
        Peer client = site.client("c=chat,d=500");
        assertTrue(client.line().startsWith("BUSY "));
        assertNull(client.line());
      }
      late.send("OPEN 00000000000000ff k c=chat,d=2000\r\n");
      assertTrue(late.line().startsWith("BUSY "));
      assertEquals("MOVE", standing.line());
      assertNull(standing.line());
      stop.join();
    }
  }

  /** They were reset when the socket closed, though the machine had accepted them and taken their lines. */
  @Test
  void whoeverWaitsInTheQueueAtTheCloseIsAnswered() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch come = new CountDownLatch(1);
    try (Site site = new Site(event -> {
      if (event instanceof LoadChanged) {
        busy.countDown();
        assertDoesNotThrow(() -> come.await());
      }
      return ProxyTest.sendOnce(event);
    })) {
      Peer standing = site.client("c=chat,d=2000");
      Peer server = up(site, standing);
      Thread stop = stopping(site);
      awaitStopping(site);
      server.send("LOAD 1\r\n");
      busy.await();
      List<Peer> clients = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        clients.add(site.client("c=chat,d=2000"));
      }
      // The program stands still until the time to close the socket is over: that is what is tested.
      Thread.sleep(site.limits().drainAcceptTime() / 1000 + 50);
      come.countDown();
      for (Peer client : clients) {
        assertTrue(client.line().startsWith("BUSY "));
      }
      stop.join();
    }
  }

  /** With a deadline beyond the time that the process has, the request was once cut off without an answer. */
  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void aRequestAtAServerThatHangsIsAnsweredOnce(long deadline) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, deadline)) {
      Peer client = site.client("c=chat,d=" + deadline / 1000);
      assertTrue(site.atServer().line().startsWith("OPEN "));
      stop(site, client);
      assertTrue(client.line().matches("ERR|BUSY 250"));
      assertNull(client.line());
      assertEquals(0, site.figure("in_flight"));
    }
  }

  /** The same for one that the module lets lie, and for a connection that was open before and is not up yet. */
  @Test
  void requestsThatNobodySendsAreAnsweredToo() throws Exception {
    try (Site site = new Site(event -> List.of(), 9 * SECOND)) {
      Peer client = site.client("c=chat,d=9000");
      site.await(Arrived.class);
      Peer before = site.client("c=chat,d=9000,at=" + Site.SERVER);
      site.atServer().line();
      stop(site, client, before);
      assertEquals("ERR", client.line());
      assertEquals("ERR", before.line());
    }
  }

  /** Half a line had been passed on, and so the client was cut off without MOVE when the process ended. */
  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void aClientOfAServerThatHangsInTheMiddleOfALineIsMoved(long deadline) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, deadline)) {
      Peer client = site.client("c=chat,d=800");
      up(site, client).send("whole\r\nhal");
      assertEquals("whole", client.line());
      stop(site, client);
      assertEquals("MOVE", client.line());
      assertNull(client.line());
      assertEquals(0, site.figure("in_flight"));
    }
  }

  @Test
  void aLineThatIsWholeInTimeArrivesBeforeTheMove() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client("c=chat,d=2000");
      Peer server = up(site, client).send("whole\r\nhal");
      assertEquals("whole", client.line());
      Peer other = site.client("c=chat,d=2000");
      up(site, other);
      Thread stop = stopping(site);
      // All are moved in the same steps: this one's turn is over, or nearly so.
      assertEquals("MOVE", other.line());
      server.send("f\r\n");
      assertEquals("half", client.line());
      assertEquals("MOVE", client.line());
      stop.join();
    }
  }

  /** The program as it is started, with all of that at once: it ends by itself, and tells that all went well. */
  @Test
  void theProgramEndsByItselfWithAllAnswered() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(20_000);
      String known = "[{\"instanceId\":\"s-1\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort()
          + "\",\"zone\":\"a\",\"machineType\":\"toy\",\"lifecycle\":\"in_service\"}]";
      Path file = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("../example/config.json"))
          .replace("\"instances\": []", "\"instances\": " + known));
      ProcessBuilder builder = new ProcessBuilder(ProgramCommands.serve());
      builder.environment().putAll(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:0",
          "GW_DISCOVERY", "127.0.0.1:1"));
      Process program = builder.start();
      CompletableFuture.delayedExecutor(30, TimeUnit.SECONDS).execute(program::destroyForcibly);
      try (BufferedReader log = program.errorReader(StandardCharsets.ISO_8859_1)) {
        String listening = log.lines().filter(line -> line.contains("listening on ")).findFirst().orElseThrow();
        int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
        Peer standing = new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
        standing.send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
        Peer hanging = new Peer(server.accept());
        hanging.line();
        hanging.send("UP r1\r\nhal");
        assertEquals("UP r1", standing.line());
        Peer waiting = new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
        waiting.send("OPEN 0000000000000002 k c=chat,d=9000,at=s-1\r\n");
        Peer silent = new Peer(server.accept());
        silent.line();
        program.toHandle().destroy();
        assertEquals("MOVE", standing.line());
        assertEquals("ERR", waiting.line());
        assertNull(waiting.line());
        assertTrue(program.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
        hanging.awaitEnd();
        silent.awaitEnd();
      } finally {
        program.destroyForcibly();
      }
    }
  }
}
