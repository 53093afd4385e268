package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.OPEN_PREFIX;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many connections or bytes at once, at the clients' address and at the admin address, arriving in one turn. */
@Timeout(120)
class ConnectionFloodTest {
  private static final String LONG_REQUEST = "c=chat,d=600000";
  private static final long SECOND = 1_000_000;

  /** Guards against recursion: evicted connections with a received line were read and then evicted others in turn. */
  @Test
  void pendingClientsWhoseLinesArriveInOneTurnAreAnswered() throws Exception {
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    AtomicLong maxDepth = new AtomicLong();
    try (ProxyFixture fixture = ProxyFixture.of(event -> {
      maxDepth.accumulateAndGet(StackWalker.getInstance().walk(Stream::count), Math::max);
      return List.of();
    }, options -> {
      options.log = new PrintStream(log, true);
      options.maxSockets = 2500;
    })) {
      int slots = fixture.limits().maxClients();
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < fixture.limits().maxPending(slots); i++) {
        clients.add(fixture.newClient().send("PING\r\n"));
        assertEquals("PONG", clients.get(i).readLine());
      }
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        for (int i = 0; i < clients.size(); i++) {
          clients.get(i).send(String.format("OPEN %016x k %s\r\n", i, LONG_REQUEST));
        }
        clients.get(0).awaitUnread(1);
        clients.get(clients.size() - 1).awaitUnread(1);
        pause.resume();
      }
      awaitMetric(fixture, "in_flight", slots);
      awaitMetric(fixture, "refused.chat", clients.size() - slots);
      assertEquals(slots, fixture.events.stream().filter(Arrived.class::isInstance).count());
      assertTrue(maxDepth.get() < 100, "events are dispatched recursively: " + maxDepth + " calls deep");
      assertEquals("", log.toString().replace("lemondeal: ready\n", ""));
    }
  }

  /** Polls the metric until it has the value, or until all queued work must long be done. */
  private static void awaitMetric(ProxyFixture fixture, String name, long value) throws Exception {
    for (int i = 0; i < 200 && fixture.metric(name) != value; i++) {
      fixture.awaitQueuedWork();
    }
    assertEquals(value, fixture.metric(name), name);
  }

  /** More clients than free slots in one turn of accepts, beside clients that are being served. */
  @Test
  void aBurstBeyondTheSlotsIsThrottledAndOthersAreServed() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "", 128)) {
      List<LineSocket> served = new ArrayList<>();
      List<LineSocket> servers = new ArrayList<>();
      for (int i = 0; i < fixture.limits().maxClients() - 2; i++) {
        served.add(fixture.newClient(LONG_REQUEST));
        servers.add(establish(fixture, served.get(i)));
      }
      List<LineSocket> burst = new ArrayList<>();
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        for (int i = 0; i < fixture.limits().acceptsPerTurn() + 8; i++) {
          burst.add(fixture.newClient(LONG_REQUEST));
        }
        fixture.awaitBacklog(burst.size());
        served.get(0).send("before\r\n").awaitUnread(8);
        pause.resume();
      }
      assertEquals("before", servers.get(0).readLine());
      for (int i = 0; i < 2; i++) {
        fixture.acceptAtServer().readLine();
      }
      awaitMetric(fixture, "refused.chat", burst.size() - 2);
      assertEquals(fixture.limits().maxClients(), fixture.metric("in_flight"));
      for (int i = 0; i < served.size(); i++) {
        servers.get(i).send("still here\r\n");
        assertEquals("still here", served.get(i).readLine());
      }
    }
  }

  @Test
  void ofTwoRequestsWithOneIdInOneTurnOneIsAdmitted() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<LineSocket> clients = new ArrayList<>();
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        for (int i = 0; i < 2; i++) {
          clients.add(fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n"));
        }
        fixture.awaitBacklog(2);
        clients.get(0).awaitUnread(OPEN_PREFIX.length());
        clients.get(1).awaitUnread(OPEN_PREFIX.length());
        pause.resume();
      }
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send("UP r1\r\n");
      List<String> answers = new ArrayList<>();
      for (LineSocket connection : clients) {
        answers.add(connection.readLine());
      }
      answers.sort(null);
      assertEquals(List.of("ERR", "UP r1"), answers);
      assertEquals(1, fixture.metric("in_flight"));
      assertEquals(1, fixture.metric("attempts"));
    }
  }

  /** The id is free again once its holder has disconnected. */
  @Test
  void anIdWhoseHolderWasResetIsFree() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket holder = fixture.newClient().send(OPEN_PREFIX + OPEN_FIELDS + "\r\n");
      LineSocket server = establish(fixture, holder);
      LineSocket next = fixture.newClient().send("PING\r\n");
      next.readLine();
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        holder.reset();
        holder.awaitCloseReceived();
        pause.resume();
      }
      server.readToEnd();
      next.send(OPEN_PREFIX + OPEN_FIELDS + "\r\n");
      establish(fixture, next);
    }
  }

  /** The line and the FIN are read together: the client has half-closed and waits for its answer. */
  @Test
  void aFirstLineFollowedByAFinIsAnsweredAndNotForwarded() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client;
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        client = fixture.newClient(OPEN_FIELDS).endSending();
        fixture.awaitBacklog(1);
        client.awaitCloseReceived();
        pause.resume();
      }
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      fixture.awaitEvent(Ended.class);
      assertEquals(0, fixture.metric("attempts"));
      assertEquals(0, fixture.metric("in_flight"));
    }
  }

  /** The kernel delivers the line before the reset: a server connection may come up, but nothing is written to it. */
  @Test
  void aFirstLineFollowedByAResetIsNotForwarded() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        LineSocket client = fixture.newClient(OPEN_FIELDS);
        fixture.awaitBacklog(1);
        client.reset();
        client.awaitCloseReceived();
        pause.resume();
      }
      // Accepted after the reset client, and so forwarded after it.
      LineSocket next = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      String line = server.readLine();
      if (line == null) {
        server = fixture.acceptAtServer();
        line = server.readLine();
      }
      assertTrue(line.startsWith("OPEN 0000000000000002 "), line);
      server.send("UP r1\r\n");
      assertEquals("UP r1", next.readLine());
      assertEquals(1, fixture.metric("attempts"));
      assertEquals(1, fixture.metric("in_flight"));
    }
  }

  @Test
  void aFirstLineInPiecesIsOneLine() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient();
      for (String piece : List.of("PI", "NG\r", "\nOPEN 00000000000000", "01 7f3a9c21e0b4d655 ", OPEN_FIELDS, "\r")) {
        client.send(piece);
        fixture.awaitQueuedWork();
      }
      client.send("\n");
      assertEquals("PONG", client.readLine());
      establish(fixture, client);
    }
  }

  /** A client that sends endless unreadable input is ended soon, however much it sends. */
  @ParameterizedTest
  @ValueSource(strings = {"no line ", "OPEN\r\n", "OPEN 0000000000000001 k c=chat,d=2000\r\n", "\0\r\n\r"})
  void sixtyMegabytesOfGarbageEndInAnError(String garbage) throws Exception {
    String block = garbage.repeat(65_536 / garbage.length());
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket flood = fixture.newClient();
      Thread sender = new Thread(() -> assertThrows(IOException.class, () -> {
        for (int i = 0; i < 60 * 16; i++) {
          flood.send(block);
        }
        throw new IOException("all bytes were accepted");
      }));
      sender.start();
      assertEquals("ERR", flood.readLine());
      fixture.advanceClock(fixture.limits().lingerTimeout());
      sender.join(10_000);
      assertTrue(!sender.isAlive(), "its connection has ended");
      flood.readToEnd();
      establish(fixture, fixture.newClient(OPEN_FIELDS));
    }
  }

  /** Whatever they do before they disconnect, ten thousand clients leak no slot, buffer, timer or descriptor. */
  @Test
  void tenThousandShortConnectionsLeakNothing() throws Exception {
    // In poll mode with a module that requests no list the proxy itself has no timer.
    try (ProxyFixture fixture = ProxyFixture.of(event -> List.of(),
        options -> options.editConfig = text -> text.replace("\"settings\":{",
        "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},"))) {
      connectAndReset(fixture, 500);
      fixture.advanceClock(5 * SECOND);
      long socketsBefore = openSockets();
      long buffersBefore = directBuffers();
      connectAndReset(fixture, 10_000);
      fixture.advanceClock(5 * SECOND);
      assertTrue(openSockets() <= socketsBefore + 2,
          openSockets() + " sockets, " + socketsBefore + " before, and the test's own two");
      assertTrue(directBuffers() <= buffersBefore + 2, directBuffers() + " buffers, " + buffersBefore + " before");
      KernelSockets.await(() -> timeToNextTimer(fixture) == Long.MAX_VALUE);
      assertEquals(0, fixture.metric("in_flight"));
    }
  }

  private static long timeToNextTimer(ProxyFixture fixture) {
    AtomicLong next = new AtomicLong();
    assertDoesNotThrow(() -> fixture.runOnEventLoop(() -> next.set(((TimerWheel) fixture.proxy.timers()).untilNext())));
    return next.get();
  }

  private static void connectAndReset(ProxyFixture fixture, int count) throws Exception {
    for (int i = 0; i < count; i++) {
      try (LineSocket connection = new LineSocket(new Socket(fixture.proxy.localAddress().getAddress(),
          fixture.proxy.localAddress().getPort()))) {
        switch (i % 6) {
          case 0 -> { }
          case 1 -> connection.send("PING\r\nPI");
          case 2 -> connection.send("garbage\r\n");
          case 3 -> connection.send(String.format("OPEN %016x k %s\r\n", i, LONG_REQUEST));
          case 4 -> connection.send(String.format("OPEN %016x k %s\r\n", i, LONG_REQUEST)).endSending().readLine();
          default -> connection.send("PING\r\n").readLine();
        }
        connection.reset();
      }
    }
    // Once the second of these is answered, all connections before the first have been accepted and read.
    for (int i = 0; i < 2; i++) {
      assertEquals("PONG", fixture.newClient().send("PING\r\n").readLine());
    }
  }

  private static long openSockets() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/self/fd"))) {
      return descriptors.filter(ConnectionFloodTest::isSocket).count();
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException e) {
      // Closed since the folder was listed.
      return false;
    }
  }

  private static long directBuffers() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
        .stream().filter(pool -> pool.getName().equals("direct")).findFirst().orElseThrow().getCount();
  }

  // ---- The admin address ----------------------------------------------------------------------

  /** Guards against admin connections in a lingering close evicting clients that still have to read their answer. */
  @Test
  void aFloodAtTheAdminAddressTakesNoClientsPlace() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "", 128)) {
      List<LineSocket> answered;
      long startNanos;
      do {
        // On a machine so busy that the linger timeout is over before the check, the check proves nothing: repeat.
        answered = new ArrayList<>();
        startNanos = System.nanoTime();
        for (int i = 0; i < fixture.limits().maxLingering(); i++) {
          answered.add(fixture.newClient().send("garbage\r\n"));
          assertEquals("ERR", answered.get(i).readLine());
        }
        for (int i = 0; i < fixture.limits().maxAdminConnections() - 1; i++) {
          assertTrue(fixture.newAdminClient().send("ready\r\n").readLine().matches("(200 yes|400 no)"));
        }
        try (EventLoopPause pause = fixture.pauseEventLoop()) {
          if (System.nanoTime() - startNanos < fixture.limits().lingerTimeout() * 900) {
            for (LineSocket client : answered) {
              assertTrue(isOpenInAProcess(client.socket), "closed before its linger timeout");
            }
          }
          pause.resume();
        }
      } while (System.nanoTime() - startNanos >= fixture.limits().lingerTimeout() * 900);
    }
  }

  /** Whether a process still has the other end of this socket open: the kernel then lists its inode. */
  private static boolean isOpenInAProcess(Socket connection) throws IOException {
    String portPair = String.format(":%04X [0-9A-F]+:%04X ", connection.getPort(), connection.getLocalPort());
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String line : Files.readAllLines(Path.of(table))) {
        if (Pattern.compile(portPair).matcher(line).find()) {
          return !line.trim().split("\\s+")[9].equals("0");
        }
      }
    }
    return false;
  }

  /** Guards against an internal failure when the metrics of many classes exceed the buffer. */
  @Test
  void aReplyLongerThanABufferArrivesWhole() throws Exception {
    String classes = IntStream.range(0, 200).mapToObj(i -> "{\"name\":\"a-class-with-a-long-name-" + i
        + "\",\"semantics\":\"idempotent\",\"aim\":1000000,\"hardLimit\":2000000}").collect(Collectors.joining(","));
    String aims = "[" + "60000,".repeat(200) + "60000]";
    try (ProxyFixture fixture = ProxyFixture.of(ProxyTest::sendOnce, options -> options.editConfig = text ->
        text.replace("\"profiles\":[", "\"profiles\":[" + classes + ",").replace("[60000]", aims))) {
      LineSocket admin = fixture.newAdminClient().send("show-stat\n");
      List<String> lines = new ArrayList<>();
      for (String line = admin.readLine(); line != null; line = admin.readLine()) {
        lines.add(line);
      }
      assertEquals("EOF", lines.get(lines.size() - 1));
      for (int i = 0; i < 200; i++) {
        assertTrue(lines.contains("failed.a-class-with-a-long-name-" + i + "=0"));
      }
    }
  }

  /** A caller that keeps sending after its call gets its reply, and the proxy stops reading from it. */
  @Test
  void aCallerThatKeepsSendingGetsItsReply() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket admin = fixture.newAdminClient().send("ready\r\n" + "x".repeat(1000));
      assertTrue(admin.readLine().matches("(200 yes|400 no)"));
      assertNull(admin.readLine());
      fixture.advanceClock(fixture.limits().lingerTimeout());
      assertEquals(0, fixture.metric("in_flight"));
    }
  }

  /** Its request may cross the eviction: it is answered, and not forwarded. */
  @Test
  void anEvictedPendingClientIsAnsweredBusy() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, "", 256)) {
      LineSocket oldest = fixture.newClient();
      for (int i = 0; i < fixture.limits().maxPending(fixture.limits().maxClients()); i++) {
        fixture.newClient();
      }
      assertEquals("BUSY", oldest.readLine());
      assertNull(oldest.readLine());
      oldest.send("OPEN 00000000000000ff k c=chat,d=2000\r\n");
      assertEquals(0, fixture.metric("attempts"));
    }
  }

  /** A request pipelined after a PING during a stop is answered with BUSY. */
  @Test
  void aRequestBehindAPingIsAnsweredDuringAStop() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient("c=chat,d=3000"));
      LineSocket client = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", client.readLine());
      EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      client.send("PING\r\nOPEN 00000000000000ff k c=chat,d=2000\r\n");
      assertEquals("BUSY", client.readLine());
      assertNull(client.readLine());
    }
  }
}
