package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.module.DecisionModule;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Server lists, or the end of their connection, that race with other events. */
class ServerListRaceTest {
  private static final long SECOND = 1_000_000;
  private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String WATCH_REQUEST = "GET /api/targets?stream=1&index=";

  /** A proxy in poll mode: lists are requested when its module subscribes, see {@link #resubscribe}. */
  private static ProxyFixture pollingFixture(Function<Event, List<Action>> script) throws IOException {
    return ProxyFixture.of(script, options -> options.editConfig = ServerListRaceTest::pollConfig);
  }

  private static String pollConfig(String config) {
    return pushConfig(config).replace("\"settings\":{", "\"settings\":{\"membershipMode\":\"subscribe\",");
  }

  private static String pushConfig(String config) {
    return config.replace("\"settings\":{", "\"settings\":{\"rules\":{\"askEvery\":10000000,\"drainGrace\":1000000},");
  }

  private static List<Action> resubscribe(Event event) {
    return event instanceof ServerList l && (l.kind() == ListKind.SAVED || l.kind() == ListKind.FAILED)
        ? List.of(new Subscribe(true)) : List.of();
  }

  private static List<Action> noActions(Event event) {
    return List.of();
  }

  /** Reads the whole request; returns its first line. */
  private static String readRequest(LineSocket connection) throws IOException {
    String requestLine = connection.readLine();
    while (!connection.readLine().isEmpty()) {
      continue;
    }
    return requestLine;
  }

  private static LineSocket acceptWatch(ProxyFixture fixture, int index) throws IOException {
    LineSocket watch = fixture.acceptAtDiscovery();
    assertEquals(WATCH_REQUEST + index + " HTTP/1.1", readRequest(watch));
    return watch.send(RESPONSE_HEAD);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String listJson(int generation, boolean reset, String... instances) {
    return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":[" + String.join(",", instances)
        + "]}\n";
  }

  /** Sends the text; returns when the proxy has read it. */
  private static void sendAndAwaitRead(ProxyFixture fixture, LineSocket connection, String text) throws Exception {
    try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
      connection.send(text).awaitUnread(text.length());
      pause.resume();
    }
    fixture.awaitQueuedWork();
  }

  private static ServerList awaitList(ProxyFixture fixture, ListKind kind) throws InterruptedException {
    ServerList list = fixture.awaitEvent(ServerList.class);
    assertEquals(kind, list.kind());
    return list;
  }

  /** Whether the module has been told of a failure so far. */
  private static boolean hasReportedFailure(ProxyFixture fixture) {
    return fixture.events.stream().anyMatch(e -> e instanceof ServerList l && l.kind() == ListKind.FAILED);
  }

  private static ServerState firstState(ServerList list) {
    return list.entries().get(0).state();
  }

  // ---- Silence -------------------------------------------------------------------------------

  /** Whatever part of a response it sent before it fell silent. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 2", RESPONSE_HEAD, RESPONSE_HEAD + "40\r\n",
      RESPONSE_HEAD + "40\r\n{\"generation\":2,\"re", RESPONSE_HEAD + "1\r\n\n\r\n",
      RESPONSE_HEAD + "1\r\n\n\r\n" + "40\r\n{\"generation\":2,\"re", RESPONSE_HEAD + "2\r\n{\n\r\n"})
  void aSilentWatchIsReopened(String partialResponse) throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = fixture.acceptAtDiscovery();
      readRequest(watch);
      sendAndAwaitRead(fixture, watch, partialResponse);
      fixture.advanceClock(36 * SECOND / 10);
      fixture.advanceClock(fixture.limits().pauseAllowance() + fixture.limits().timerTick());
      assertTrue(hasReportedFailure(fixture));
      assertEquals(WATCH_REQUEST + "1 HTTP/1.1", readRequest(fixture.acceptAtDiscovery()));
      watch.readToEnd();
    }
  }

  /** Guards against single bytes keeping a watch alive: a missed change counts as known 6 s after the last line. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nA: ", RESPONSE_HEAD + "7f\r\n",
      RESPONSE_HEAD + "1\r\n\n\r\n7f\r\n{\"a\":\""})
  void aWatchThatSendsSingleBytesIsReopenedInTime(String partialResponse) throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = fixture.acceptAtDiscovery();
      readRequest(watch);
      sendAndAwaitRead(fixture, watch, partialResponse);
      fixture.events.clear();
      for (int i = 0; i < 9 && !hasReportedFailure(fixture); i++) {
        sendAndAwaitRead(fixture, watch, "x");
        fixture.advanceClock(SECOND / 2);
      }
      fixture.advanceClock(fixture.limits().pauseAllowance());
      fixture.advanceClock(fixture.limits().pauseAllowance());
      assertTrue(hasReportedFailure(fixture));
      assertEquals(WATCH_REQUEST + "1 HTTP/1.1", readRequest(fixture.acceptAtDiscovery()));
    }
  }

  /** The timeout must not be extended by bytes that arrive in the last moment and complete no line. */
  @Test
  void aByteInTheLastMomentDoesNotExtendTheTimeout() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, "1\r\n\n\r\n");
      awaitList(fixture, ListKind.CHANGES);
      fixture.advanceClock(26 * SECOND / 10 + 2 * fixture.limits().timerTick());
      sendAndAwaitRead(fixture, watch, "7");
      fixture.advanceClock(fixture.limits().pauseAllowance() + fixture.limits().timerTick());
      assertTrue(hasReportedFailure(fixture));
    }
  }

  @Test
  void aWholeLineInTheLastMomentKeepsTheWatch() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, "1\r\n\n\r\n");
      awaitList(fixture, ListKind.CHANGES);
      String drain = chunk(listJson(2, false, fixture.instanceJson("terminating")));
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        watch.send(drain).awaitUnread(drain.length());
        runUntilBlocked(() -> fixture.advanceClock(26 * SECOND / 10 + 2 * fixture.limits().timerTick()));
        pause.resume();
      }
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
      fixture.advanceClock(fixture.limits().pauseAllowance() + fixture.limits().timerTick());
      assertTrue(fixture.events.isEmpty(), "the watch stays open");
      sendAndAwaitRead(fixture, watch, chunk(listJson(3, false, fixture.instanceJson("terminated"))));
      assertEquals(3, awaitList(fixture, ListKind.CHANGES).version());
    }
  }

  // ---- Connection ends -----------------------------------------------------------------------

  /** The drain is in the kernel when the reset follows it. */
  @Test
  void aDrainFollowedByAResetIsReported() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, "1\r\n\n\r\n");
      awaitList(fixture, ListKind.CHANGES);
      String drain = chunk(listJson(2, false, fixture.instanceJson("terminating")));
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        watch.send(drain).awaitUnread(drain.length()).reset();
        watch.awaitCloseReceived();
        pause.resume();
      }
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
      awaitList(fixture, ListKind.FAILED);
      acceptWatch(fixture, 2);
    }
  }

  /** The reset comes first: the next watch continues from the current version and delivers the drain. */
  @Test
  void aDrainAfterAResetIsReadByTheNextWatch() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch,
          chunk(listJson(2, true, fixture.instanceJson("in_service"))) + "ff\r\n{\"generation\":3,\"res");
      awaitList(fixture, ListKind.FULL);
      watch.reset();
      awaitList(fixture, ListKind.FAILED);
      acceptWatch(fixture, 2).send(chunk(listJson(3, false, fixture.instanceJson("terminating"))));
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
    }
  }

  /** An answer in the kernel when its call times out is ignored; the next call continues from the current version. */
  @Test
  void anAnswerAfterItsCallTimedOutIsIgnored() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket lateWatch = acceptWatch(fixture, 1);
      fixture.advanceClock(36 * SECOND / 10);
      String oldList = chunk(listJson(9, true, fixture.instanceJson("in_service")));
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        lateWatch.send(oldList).awaitUnread(oldList.length());
        runUntilBlocked(() -> fixture.advanceClock(2 * fixture.limits().pauseAllowance()));
        pause.resume();
      }
      awaitList(fixture, ListKind.FAILED);
      lateWatch.readToEnd();
      acceptWatch(fixture, 1).send(chunk(listJson(2, true, fixture.instanceJson("terminating"))));
      assertEquals(2, awaitList(fixture, ListKind.FULL).version());
    }
  }

  /** The same with the event loop paused only before the deadline: an answer that waited to be read was in time. */
  @Test
  void anAnswerReceivedInTimeAndReadLateIsUsed() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket lateWatch = acceptWatch(fixture, 1);
      String list = chunk(listJson(9, true, fixture.instanceJson("in_service")));
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        lateWatch.send(list).awaitUnread(list.length());
        runUntilBlocked(() -> fixture.advanceClock(36 * SECOND / 10));
        pause.resume();
      }
      assertEquals(9, awaitList(fixture, ListKind.FULL).version());
    }
  }

  /** Runs the task on its own thread; returns when it waits for the paused event loop. */
  private static void runUntilBlocked(Task task) throws InterruptedException {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    thread.start();
    KernelSockets.await(() -> thread.getState() == Thread.State.TIMED_WAITING);
  }

  private interface Task {
    void run() throws InterruptedException;
  }

  // ---- Order ---------------------------------------------------------------------------------

  private static List<Action> subscribeAndFetch(Event event) {
    return event instanceof ServerList l && l.kind() == ListKind.SAVED
        ? List.of(new Subscribe(true), new FetchList()) : List.of();
  }

  private static void acceptBothCalls(ProxyFixture fixture, Consumer<LineSocket> watch, Consumer<LineSocket> fetch)
      throws IOException {
    for (int i = 0; i < 2; i++) {
      LineSocket connection = fixture.acceptAtDiscovery();
      (readRequest(connection).startsWith(WATCH_REQUEST) ? watch : fetch).accept(connection);
    }
  }

  /** A full list, requested beside the watch, that is older than what the watch has delivered since. */
  @Test
  void anOlderFullListDoesNotUndoADrain() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::subscribeAndFetch)) {
      LineSocket[] calls = new LineSocket[2];
      acceptBothCalls(fixture, connection -> calls[0] = connection, connection -> calls[1] = connection);
      awaitList(fixture, ListKind.SAVED);
      sendAndAwaitRead(fixture, calls[0],
          RESPONSE_HEAD + chunk(listJson(7, false, fixture.instanceJson("terminating"))));
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
      String oldList = listJson(5, true, fixture.instanceJson("in_service"));
      sendAndAwaitRead(fixture, calls[1],
          "HTTP/1.1 200 OK\r\nContent-Length: " + oldList.length() + "\r\n\r\n" + oldList);
      assertTrue(fixture.events.isEmpty(), "the older list was reported");
      sendAndAwaitRead(fixture, calls[0], chunk(listJson(8, false, fixture.instanceJson("terminated"))));
      assertEquals(8, awaitList(fixture, ListKind.CHANGES).version());
    }
  }

  /** The reverse: the watch's line is the older one. */
  @Test
  void anOlderChangeDoesNotUndoAFullList() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::subscribeAndFetch)) {
      LineSocket[] calls = new LineSocket[2];
      acceptBothCalls(fixture, connection -> calls[0] = connection, connection -> calls[1] = connection);
      awaitList(fixture, ListKind.SAVED);
      String fullList = listJson(7, true, fixture.instanceJson("terminating"));
      sendAndAwaitRead(fixture, calls[1],
          "HTTP/1.1 200 OK\r\nContent-Length: " + fullList.length() + "\r\n\r\n" + fullList);
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.FULL)));
      sendAndAwaitRead(fixture, calls[0],
          RESPONSE_HEAD + chunk(listJson(6, false, fixture.instanceJson("in_service"))));
      assertTrue(fixture.events.isEmpty(), "the older list was reported");
      sendAndAwaitRead(fixture, calls[0], chunk(listJson(8, false, fixture.instanceJson("terminated"))));
      assertEquals(8, awaitList(fixture, ListKind.CHANGES).version());
    }
  }

  /** Guards against an unreadable full list ending the healthy watch beside it. */
  @Test
  void anUnreadableFullListKeepsTheWatch() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::subscribeAndFetch)) {
      LineSocket[] calls = new LineSocket[2];
      acceptBothCalls(fixture, connection -> calls[0] = connection, connection -> calls[1] = connection);
      awaitList(fixture, ListKind.SAVED);
      sendAndAwaitRead(fixture, calls[0], RESPONSE_HEAD + chunk("\n"));
      awaitList(fixture, ListKind.CHANGES);
      sendAndAwaitRead(fixture, calls[1], "HTTP/1.1 200 OK\r\n\r\n{\"generation\":9,\"reset\":true}\n");
      awaitList(fixture, ListKind.FAILED);
      sendAndAwaitRead(fixture, calls[0], chunk(listJson(8, false, fixture.instanceJson("terminating"))));
      assertEquals(8, awaitList(fixture, ListKind.CHANGES).version());
    }
  }

  /** A restarted discovery counts its versions from the start and shows this with a full list. */
  @Test
  void aRestartedDiscoveryIsAccepted() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, chunk(listJson(41, true, fixture.instanceJson("in_service"))));
      awaitList(fixture, ListKind.FULL);
      watch.reset();
      awaitList(fixture, ListKind.FAILED);
      LineSocket second = acceptWatch(fixture, 41);
      sendAndAwaitRead(fixture, second, chunk(listJson(3, true, fixture.instanceJson("terminating"))));
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.FULL)));
      second.reset();
      acceptWatch(fixture, 3);
    }
  }

  /** Changes older than their base version are invalid: the current list stays, and discovery is called again. */
  @Test
  void changesOlderThanTheWatchAreRejected() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, chunk(listJson(41, true, fixture.instanceJson("terminating"))));
      awaitList(fixture, ListKind.FULL);
      sendAndAwaitRead(fixture, watch, chunk(listJson(40, false, fixture.instanceJson("in_service"))));
      awaitList(fixture, ListKind.FAILED);
      acceptWatch(fixture, 41);
    }
  }

  // ---- Size ----------------------------------------------------------------------------------

  /** An endless answer is limited by the size of its line, object or headers; the current list stays. */
  @ParameterizedTest
  @ValueSource(strings = {"line", "object", "headers"})
  void anEndlessAnswerIsAborted(String endlessPart) throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = fixture.acceptAtDiscovery();
      readRequest(watch);
      String piece = "x".repeat(1023);
      String start = endlessPart.equals("line") ? "{\"a\":\"" : endlessPart.equals("object") ? "{\n" : "";
      watch.send("HTTP/1.1 200 OK\r\n" + (endlessPart.equals("headers") ? "" : "\r\n") + start);
      try {
        for (int i = 0; i < 2 * fixture.limits().maxListBytes() / 1024; i++) {
          watch.send(endlessPart.equals("line") ? piece : endlessPart.equals("object") ? "\"" + piece + "\":1,\n"
              : "H" + i + ": " + piece + "\r\n");
        }
      } catch (IOException e) {
        // The proxy has closed the connection.
      }
      awaitList(fixture, ListKind.FAILED);
      assertEquals(WATCH_REQUEST + "1 HTTP/1.1", readRequest(fixture.acceptAtDiscovery()));
    }
  }

  @Test
  void anEmptyFullListIsAccepted() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe)) {
      awaitList(fixture, ListKind.SAVED);
      sendAndAwaitRead(fixture, acceptWatch(fixture, 1), chunk(listJson(2, true)));
      assertTrue(awaitList(fixture, ListKind.FULL).entries().isEmpty());
    }
  }

  // ---- Changed discovery address -------------------------------------------------------------

  /** Guards against the module's next subscription closing the call that was just made to the new address. */
  @Test
  void aNewAddressIsCalledOnce() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Wake ? List.of(new Subscribe(true))
        : event instanceof ServerList l && l.kind() == ListKind.SAVED ? List.of(new Subscribe(true))
        : event instanceof ServerList l && l.kind() == ListKind.FAILED ? List.of(new WakeAfter(SECOND, 7)) : List.of();
    try (ProxyFixture fixture = pollingFixture(script);
        ProxyFixture otherFixture = pollingFixture(ServerListRaceTest::noActions)) {
      awaitList(fixture, ListKind.SAVED);
      fixture.acceptAtDiscovery().reset();
      awaitList(fixture, ListKind.FAILED);
      fixture.switchDiscoveryTo(otherFixture);
      LineSocket watch = acceptWatch(otherFixture, 1);
      fixture.advanceClock(SECOND);
      fixture.awaitEvent(Wake.class);
      watch.send(chunk(listJson(2, false, fixture.instanceJson("terminating"))));
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
    }
  }

  /** A list half read when the address changes is dropped; the new address is called from the current version. */
  @Test
  void aListHalfReadAtTheOldAddressIsDropped() throws Exception {
    try (ProxyFixture fixture = pollingFixture(ServerListRaceTest::resubscribe);
        ProxyFixture otherFixture = pollingFixture(ServerListRaceTest::noActions)) {
      awaitList(fixture, ListKind.SAVED);
      LineSocket watch = acceptWatch(fixture, 1);
      String line = chunk(listJson(9, true, fixture.instanceJson("in_service")));
      sendAndAwaitRead(fixture, watch, line.substring(0, line.length() / 2));
      try (ProxyFixture.EventLoopPause pause = fixture.pauseEventLoop()) {
        fixture.switchDiscoveryTo(otherFixture);
        watch.send(line.substring(line.length() / 2)).awaitUnread(line.length() - line.length() / 2);
        pause.resume();
      }
      LineSocket newWatch = acceptWatch(otherFixture, 1);
      watch.readToEnd();
      newWatch.send(chunk(listJson(2, false, fixture.instanceJson("terminating"))));
      assertEquals(2, awaitList(fixture, ListKind.CHANGES).version());
    }
  }

  // ---- Outages of discovery ------------------------------------------------------------------

  /** After a long outage discovery is called within a second of its return, at whatever point of the backoff. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void discoveryIsCalledWithinASecondOfItsReturn(boolean pushed) throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    try (ProxyFixture fixture = ProxyFixture.of(null, options -> {
      options.module = new DecisionModule();
      options.editConfig = text -> (pushed ? pushConfig(text) : pollConfig(text))
          .replaceFirst("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + port + "\"");
    })) {
      awaitList(fixture, ListKind.SAVED);
      for (int i = 0; i < 300; i++) {
        fixture.advanceClock(SECOND / 10);
      }
      try (ServerSocket restarted = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
        for (int i = 0; i < 10 && KernelSockets.backlog(port) == 0; i++) {
          fixture.advanceClock(SECOND / 10);
        }
        assertEquals(1, KernelSockets.backlog(port));
        try (LineSocket watch = new LineSocket(restarted.accept())) {
          assertEquals(WATCH_REQUEST + "1 HTTP/1.1", readRequest(watch));
          watch.send(RESPONSE_HEAD + chunk(listJson(2, true, fixture.instanceJson("terminating"))));
          ServerList list = fixture.awaitEvent(ServerList.class);
          while (list.kind() == ListKind.FAILED) {
            list = fixture.awaitEvent(ServerList.class);
          }
          assertEquals(ServerState.DRAINING, firstState(list));
        }
      }
    }
  }

  /** The drain grace may have begun before the start: a polling process calls within half of the grace. */
  @Test
  void aPollingProcessHasItsListWithinTheDrainGrace() throws Exception {
    int[] port = new int[1];
    try (ProxyFixture fixture = ProxyFixture.of(null, options -> {
      options.module = new DecisionModule();
      options.editConfig = text -> {
        port[0] = Integer.parseInt(text.replaceFirst("(?s).*\"discovery\":\"127.0.0.1:(\\d+)\".*", "$1"));
        return pollConfig(text).replace("\"membershipMode\"", "\"balancers\":100,\"membershipMode\"")
            .replace("\"seed\":\"1\"", "\"seed\":\"2\"");
      };
    })) {
      awaitList(fixture, ListKind.SAVED);
      fixture.advanceClock(SECOND / 2 + 2 * fixture.limits().timerTick());
      assertEquals(1, KernelSockets.backlog(port[0]), "discovery must have been called by now");
      acceptWatch(fixture, 1).send(chunk(listJson(2, false, fixture.instanceJson("terminating"))));
      assertEquals(ServerState.DRAINING, firstState(awaitList(fixture, ListKind.CHANGES)));
    }
  }

  // ---- Changed server addresses --------------------------------------------------------------

  private static List<Action> sendOnceOrFail(Event event) {
    return event instanceof Arrived arrived ? List.of(new Send(arrived.request().id(), ProxyFixture.SERVER, 0))
        : event instanceof Ended ended && !ended.requestFinished() ? List.of(new Fail(ended.id())) : List.of();
  }

  /** When an instance changes its address, open connections stay and new ones go to the new address. */
  @Test
  void anInstanceThatMovedKeepsItsClientsAndGetsNewOnesAtItsNewAddress() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(ServerListRaceTest::sendOnceOrFail,
        options -> options.serverCount = 2)) {
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, "1\r\n\n\r\n");
      LineSocket client = fixture.newClient("c=chat,d=2000");
      LineSocket before = fixture.acceptAtServer(0);
      before.readLine();
      before.send("UP r1\r\n");
      assertEquals("UP r1", client.readLine());
      sendAndAwaitRead(fixture, watch,
          chunk(listJson(2, false, fixture.instanceJson(1, "in_service").replace("s-2", ProxyFixture.SERVER))));
      LineSocket later = fixture.newClient("c=chat,d=2000");
      LineSocket after = fixture.acceptAtServer(1);
      after.readLine();
      after.send("UP r2\r\n");
      assertEquals("UP r2", later.readLine());
      before.send("still here\r\n");
      assertEquals("still here", client.readLine());
    }
  }

  /** The server left the list as its attempt was decided: no connection is made, and the client is answered. */
  @Test
  void aServerThatLeftTheListIsNotDialled() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ServerListRaceTest::sendOnceOrFail)) {
      LineSocket watch = acceptWatch(fixture, 1);
      sendAndAwaitRead(fixture, watch, chunk(listJson(2, false, fixture.instanceJson("terminated"))));
      LineSocket client = fixture.newClient("c=chat,d=2000");
      Ended ended = fixture.awaitEvent(Ended.class);
      assertEquals(Outcome.NO_CONNECTION, ended.outcome());
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      assertEquals(0, fixture.metric("attempts"));
    }
  }
}
