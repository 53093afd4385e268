package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.establish;
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
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.LoadChanged;
import lemondeal.ProgramCommands;
import lemondeal.config.Limits;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guarantees after SIGTERM for open connections. All final answers must have been sent when the stop is over. */
@Timeout(60)
class SigtermTest {
  private static final long SECOND = 1_000_000;
  /** SIGKILL comes no earlier than this after the deadline; longer ones count as {@link #MAX_COUNTED_DEADLINE}. */
  private static final long KILL_AFTER_DEADLINE = 700_000;
  private static final long MAX_COUNTED_DEADLINE = 3 * SECOND;
  /** New connections arrive for at most this long after SIGTERM. */
  private static final long ARRIVAL_PERIOD = 400_000;

  @TempDir
  Path folder;

  private static Thread startStop(ProxyFixture fixture) {
    Thread stop = new Thread(() -> assertDoesNotThrow(fixture.proxy::stop));
    stop.start();
    return stop;
  }

  /** Stops the proxy; each of these clients must then have its final answer, since the process would have exited. */
  private static void stopAndLimitReads(ProxyFixture fixture, LineSocket... clients) throws Exception {
    startStop(fixture).join();
    for (LineSocket client : clients) {
      client.socket.setSoTimeout(1000);
    }
  }

  private static void awaitStopping(ProxyFixture fixture) throws Exception {
    while (!fixture.newAdminClient().send("ready\r\n").readLine().equals("400 no")) {
      continue;
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {200_000, 800_000, 2_000_000, 3_000_000, 9_000_000})
  void aStopIsOverBeforeSigkill(long deadline) {
    Limits limits = Limits.of(1024, 192, SECOND, SECOND, deadline);
    long killTime = Math.min(MAX_COUNTED_DEADLINE, deadline) + KILL_AFTER_DEADLINE;
    assertTrue(limits.drainTimeout() <= killTime - 100_000, "a stop takes " + limits.drainTimeout());
    assertTrue(limits.drainAcceptTime() >= ARRIVAL_PERIOD);
  }

  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void lateClientsAreThrottledAndLoseNothing(long deadline) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, deadline)) {
      LineSocket established = fixture.newClient("c=chat,d=2000");
      establish(fixture, established);
      Thread stop = startStop(fixture);
      awaitStopping(fixture);
      long startNanos = System.nanoTime();
      LineSocket late = fixture.newClient();
      while (System.nanoTime() - startNanos < ARRIVAL_PERIOD / 2 * 1000) {
        LineSocket client = fixture.newClient("c=chat,d=500");
        assertTrue(client.readLine().startsWith("BUSY "));
        assertNull(client.readLine());
      }
      late.send("OPEN 00000000000000ff k c=chat,d=2000\r\n");
      assertTrue(late.readLine().startsWith("BUSY "));
      assertEquals("MOVE", established.readLine());
      assertNull(established.readLine());
      stop.join();
    }
  }

  /** Guards against resetting clients in the accept queue when the socket closes, although their lines had arrived. */
  @Test
  void clientsInTheBacklogAtTheCloseAreAnswered() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch allConnected = new CountDownLatch(1);
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof LoadChanged) {
        blocked.countDown();
        assertDoesNotThrow(() -> allConnected.await());
      }
      return ProxyTest.sendOnce(event);
    })) {
      LineSocket established = fixture.newClient("c=chat,d=2000");
      LineSocket server = establish(fixture, established);
      Thread stop = startStop(fixture);
      awaitStopping(fixture);
      server.send("LOAD 1\r\n");
      blocked.await();
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        clients.add(fixture.newClient("c=chat,d=2000"));
      }
      // The case under test: the event loop stays blocked until after the time at which the socket should be closed.
      Thread.sleep(fixture.limits().drainAcceptTime() / 1000 + 50);
      allConnected.countDown();
      for (LineSocket client : clients) {
        assertTrue(client.readLine().startsWith("BUSY "));
      }
      stop.join();
    }
  }

  /** Guards against ending a request without an answer if its deadline is beyond the process's remaining time. */
  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void aRequestAtAServerThatHangsIsAnsweredOnce(long deadline) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, deadline)) {
      LineSocket client = fixture.newClient("c=chat,d=" + deadline / 1000);
      assertTrue(fixture.acceptAtServer().readLine().startsWith("OPEN "));
      stopAndLimitReads(fixture, client);
      assertTrue(client.readLine().matches("ERR|BUSY 250"));
      assertNull(client.readLine());
      assertEquals(0, fixture.metric("in_flight"));
    }
  }

  /** A request that the module does not send and an adoption whose connection is not up yet are answered, too. */
  @Test
  void unsentRequestsAreAnsweredToo() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> List.of(), 9 * SECOND)) {
      LineSocket client = fixture.newClient("c=chat,d=9000");
      fixture.awaitEvent(Arrived.class);
      LineSocket adopting = fixture.newClient("c=chat,d=9000,at=" + ProxyFixture.SERVER);
      fixture.acceptAtServer().readLine();
      stopAndLimitReads(fixture, client, adopting);
      assertEquals("ERR", client.readLine());
      assertEquals("ERR", adopting.readLine());
    }
  }

  /** Guards against ending a client without MOVE at process exit because half a line had been passed on. */
  @ParameterizedTest
  @ValueSource(longs = {800_000, 9_000_000})
  void aClientOfAServerThatHangsInTheMiddleOfALineIsMoved(long deadline) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, deadline)) {
      LineSocket client = fixture.newClient("c=chat,d=800");
      establish(fixture, client).send("whole\r\nhal");
      assertEquals("whole", client.readLine());
      stopAndLimitReads(fixture, client);
      assertEquals("MOVE", client.readLine());
      assertNull(client.readLine());
      assertEquals(0, fixture.metric("in_flight"));
    }
  }

  @Test
  void aLineThatIsWholeInTimeArrivesBeforeTheMove() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient("c=chat,d=2000");
      LineSocket server = establish(fixture, client).send("whole\r\nhal");
      assertEquals("whole", client.readLine());
      LineSocket other = fixture.newClient("c=chat,d=2000");
      establish(fixture, other);
      Thread stop = startStop(fixture);
      // All clients are moved in the same steps, so the first one is being moved already or is about to be.
      assertEquals("MOVE", other.readLine());
      server.send("f\r\n");
      assertEquals("half", client.readLine());
      assertEquals("MOVE", client.readLine());
      stop.join();
    }
  }

  /** The whole program with all of these cases at once: it exits by itself with code 0. */
  @Test
  void theProgramEndsByItselfWithAllAnswered() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(20_000);
      String serverList = "[{\"instanceId\":\"s-1\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort()
          + "\",\"zone\":\"a\",\"machineType\":\"toy\",\"lifecycle\":\"in_service\"}]";
      Path file = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("../example/config.json"))
          .replace("\"instances\": []", "\"instances\": " + serverList));
      ProcessBuilder builder = new ProcessBuilder(ProgramCommands.serve());
      builder.environment().putAll(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:0",
          "GW_DISCOVERY", "127.0.0.1:1"));
      Process program = builder.start();
      CompletableFuture.delayedExecutor(30, TimeUnit.SECONDS).execute(program::destroyForcibly);
      try (BufferedReader log = program.errorReader(StandardCharsets.ISO_8859_1)) {
        String listening = log.lines().filter(line -> line.contains("listening on ")).findFirst().orElseThrow();
        int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
        LineSocket established = new LineSocket(new Socket(InetAddress.getLoopbackAddress(), port));
        established.send("OPEN 0000000000000001 k c=chat,d=2000,at=s-1\r\n");
        LineSocket hanging = new LineSocket(server.accept());
        hanging.readLine();
        hanging.send("UP r1\r\nhal");
        assertEquals("UP r1", established.readLine());
        LineSocket waiting = new LineSocket(new Socket(InetAddress.getLoopbackAddress(), port));
        waiting.send("OPEN 0000000000000002 k c=chat,d=9000,at=s-1\r\n");
        LineSocket silent = new LineSocket(server.accept());
        silent.readLine();
        program.toHandle().destroy();
        assertEquals("MOVE", established.readLine());
        assertEquals("ERR", waiting.readLine());
        assertNull(waiting.readLine());
        assertTrue(program.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
        hanging.readToEnd();
        silent.readToEnd();
      } finally {
        program.destroyForcibly();
      }
    }
  }
}
