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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Where a list, or its end, crosses another event. */
class ListCrossingsTest {
  private static final long SECOND = 1_000_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String WATCH = "GET /api/targets?stream=1&index=";

  /** Lists are asked for: on the module's word, with the saved list and after each failure. */
  private static Site asked(Function<Event, List<Action>> script) throws IOException {
    return Site.of(script, setup -> setup.config = ListCrossingsTest::asks);
  }

  private static String asks(String config) {
    return pushes(config).replace("\"settings\":{", "\"settings\":{\"membershipMode\":\"subscribe\",");
  }

  private static String pushes(String config) {
    return config.replace("\"settings\":{", "\"settings\":{\"rules\":{\"askEvery\":10000000,\"drainGrace\":1000000},");
  }

  private static List<Action> asksAgain(Event event) {
    return event instanceof ServerList l && (l.kind() == ListKind.SAVED || l.kind() == ListKind.FAILED)
        ? List.of(new Subscribe(true)) : List.of();
  }

  private static List<Action> nothing(Event event) {
    return List.of();
  }

  /** The call's first line; the rest of the call is read, too. */
  private static String call(Peer peer) throws IOException {
    String first = peer.line();
    while (!peer.line().isEmpty()) {
      continue;
    }
    return first;
  }

  private static Peer open(Site site, int index) throws IOException {
    Peer watch = site.atDiscovery();
    assertEquals(WATCH + index + " HTTP/1.1", call(watch));
    return watch.send(HEAD);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String list(int generation, boolean reset, String... instances) {
    return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":[" + String.join(",", instances)
        + "]}\n";
  }

  /** Sends, and returns when the proxy has read it. */
  private static void taken(Site site, Peer peer, String text) throws Exception {
    try (Site.Held held = site.hold()) {
      peer.send(text).awaitUnread(text.length());
      held.release();
    }
    site.settle();
  }

  private static ServerList next(Site site, ListKind kind) throws InterruptedException {
    ServerList list = site.await(ServerList.class);
    assertEquals(kind, list.kind());
    return list;
  }

  /** Whether a failure has been told by now, by the proxy's clock. */
  private static boolean hasFailed(Site site) {
    return site.events.stream().anyMatch(e -> e instanceof ServerList l && l.kind() == ListKind.FAILED);
  }

  private static ServerState state(ServerList list) {
    return list.entries().get(0).state();
  }

  // ---- Silence -------------------------------------------------------------------------------

  /** Whatever it brought before it fell silent, and however it goes on without a whole line. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 2", HEAD, HEAD + "40\r\n", HEAD + "40\r\n{\"generation\":2,\"re",
      HEAD + "1\r\n\n\r\n", HEAD + "1\r\n\n\r\n" + "40\r\n{\"generation\":2,\"re", HEAD + "2\r\n{\n\r\n"})
  void aWatchThatFallsSilentIsOpenedAnew(String said) throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = site.atDiscovery();
      call(watch);
      taken(site, watch, said);
      site.jump(36 * SECOND / 10);
      site.jump(site.limits().pauseAllowance() + site.limits().timerTick());
      assertTrue(hasFailed(site));
      assertEquals(WATCH + "1 HTTP/1.1", call(site.atDiscovery()));
      watch.awaitEnd();
    }
  }

  /** A byte now and then once kept it alive for ever. What it may bring counts 6 s after its last whole line. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 OK\r\nA: ", HEAD + "7f\r\n", HEAD + "1\r\n\n\r\n7f\r\n{\"a\":\""})
  void aWatchThatDribblesIsOpenedAnewInTimeForAnotherCall(String said) throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = site.atDiscovery();
      call(watch);
      taken(site, watch, said);
      site.events.clear();
      for (int i = 0; i < 9 && !hasFailed(site); i++) {
        taken(site, watch, "x");
        site.jump(SECOND / 2);
      }
      site.jump(site.limits().pauseAllowance());
      site.jump(site.limits().pauseAllowance());
      assertTrue(hasFailed(site));
      assertEquals(WATCH + "1 HTTP/1.1", call(site.atDiscovery()));
    }
  }

  /** Its end of patience must not be put off by what comes in the last moment and is no line. */
  @Test
  void aByteInTheLastMomentDoesNotPutOffTheEnd() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, "1\r\n\n\r\n");
      next(site, ListKind.CHANGES);
      site.jump(26 * SECOND / 10 + 2 * site.limits().timerTick());
      taken(site, watch, "7");
      site.jump(site.limits().pauseAllowance() + site.limits().timerTick());
      assertTrue(hasFailed(site));
    }
  }

  @Test
  void aWholeLineInTheLastMomentKeepsTheWatch() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, "1\r\n\n\r\n");
      next(site, ListKind.CHANGES);
      String drain = chunk(list(2, false, site.instance("terminating")));
      try (Site.Held held = site.hold()) {
        watch.send(drain).awaitUnread(drain.length());
        queue(() -> site.jump(26 * SECOND / 10 + 2 * site.limits().timerTick()));
        held.release();
      }
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
      site.jump(site.limits().pauseAllowance() + site.limits().timerTick());
      assertTrue(site.events.isEmpty(), "kept");
      taken(site, watch, chunk(list(3, false, site.instance("terminated"))));
      assertEquals(3, next(site, ListKind.CHANGES).version());
    }
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /** The drain is in the kernel as the reset comes behind it. */
  @Test
  void aDrainThatAResetFollowsIsTold() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, "1\r\n\n\r\n");
      next(site, ListKind.CHANGES);
      String drain = chunk(list(2, false, site.instance("terminating")));
      try (Site.Held held = site.hold()) {
        watch.send(drain).awaitUnread(drain.length()).reset();
        watch.awaitEndQueued();
        held.release();
      }
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
      next(site, ListKind.FAILED);
      open(site, 2);
    }
  }

  /** The reset comes first: the drain is what the next watch brings, from the version held. */
  @Test
  void aDrainThatFollowsAResetIsAskedFor() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, chunk(list(2, true, site.instance("in_service"))) + "ff\r\n{\"generation\":3,\"res");
      next(site, ListKind.FULL);
      watch.reset();
      next(site, ListKind.FAILED);
      open(site, 2).send(chunk(list(3, false, site.instance("terminating"))));
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
    }
  }

  /** It lies in the kernel as the call is given up: nobody's, and the next call goes on from the version held. */
  @Test
  void anAnswerAfterItsCallWasGivenUpIsNotHeard() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer late = open(site, 1);
      site.jump(36 * SECOND / 10);
      String old = chunk(list(9, true, site.instance("in_service")));
      try (Site.Held held = site.hold()) {
        late.send(old).awaitUnread(old.length());
        queue(() -> site.jump(2 * site.limits().pauseAllowance()));
        held.release();
      }
      next(site, ListKind.FAILED);
      late.awaitEnd();
      open(site, 1).send(chunk(list(2, true, site.instance("terminating"))));
      assertEquals(2, next(site, ListKind.FULL).version());
    }
  }

  /** The same with the I/O thread held before the deadline alone: what waited to be read was in time. */
  @Test
  void anAnswerThatOnlyWaitedToBeReadIsHeard() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer late = open(site, 1);
      String list = chunk(list(9, true, site.instance("in_service")));
      try (Site.Held held = site.hold()) {
        late.send(list).awaitUnread(list.length());
        queue(() -> site.jump(36 * SECOND / 10));
        held.release();
      }
      assertEquals(9, next(site, ListKind.FULL).version());
    }
  }

  /** Returns when the task waits for the I/O thread, which stands still. */
  private static void queue(Task task) throws InterruptedException {
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

  private static List<Action> watchesAndFetches(Event event) {
    return event instanceof ServerList l && l.kind() == ListKind.SAVED
        ? List.of(new Subscribe(true), new FetchList()) : List.of();
  }

  private static void eachCall(Site site, Consumer<Peer> watch, Consumer<Peer> fetch) throws IOException {
    for (int i = 0; i < 2; i++) {
      Peer peer = site.atDiscovery();
      (call(peer).startsWith(WATCH) ? watch : fetch).accept(peer);
    }
  }

  /** A whole list that was asked for beside the watch, and is older than what the watch has told since. */
  @Test
  void anOlderWholeListDoesNotUndoADrain() throws Exception {
    try (Site site = asked(ListCrossingsTest::watchesAndFetches)) {
      Peer[] calls = new Peer[2];
      eachCall(site, peer -> calls[0] = peer, peer -> calls[1] = peer);
      next(site, ListKind.SAVED);
      taken(site, calls[0], HEAD + chunk(list(7, false, site.instance("terminating"))));
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
      String old = list(5, true, site.instance("in_service"));
      taken(site, calls[1], "HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old);
      assertTrue(site.events.isEmpty(), "it was told");
      taken(site, calls[0], chunk(list(8, false, site.instance("terminated"))));
      assertEquals(8, next(site, ListKind.CHANGES).version());
    }
  }

  /** The other way round: the watch's line is the older one. */
  @Test
  void anOlderChangeDoesNotUndoAWholeList() throws Exception {
    try (Site site = asked(ListCrossingsTest::watchesAndFetches)) {
      Peer[] calls = new Peer[2];
      eachCall(site, peer -> calls[0] = peer, peer -> calls[1] = peer);
      next(site, ListKind.SAVED);
      String whole = list(7, true, site.instance("terminating"));
      taken(site, calls[1], "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.FULL)));
      taken(site, calls[0], HEAD + chunk(list(6, false, site.instance("in_service"))));
      assertTrue(site.events.isEmpty(), "it was told");
      taken(site, calls[0], chunk(list(8, false, site.instance("terminated"))));
      assertEquals(8, next(site, ListKind.CHANGES).version());
    }
  }

  /** A whole list that can't be read once ended the sound watch beside it. */
  @Test
  void aBrokenWholeListLeavesTheWatchBesideIt() throws Exception {
    try (Site site = asked(ListCrossingsTest::watchesAndFetches)) {
      Peer[] calls = new Peer[2];
      eachCall(site, peer -> calls[0] = peer, peer -> calls[1] = peer);
      next(site, ListKind.SAVED);
      taken(site, calls[0], HEAD + chunk("\n"));
      next(site, ListKind.CHANGES);
      taken(site, calls[1], "HTTP/1.1 200 OK\r\n\r\n{\"generation\":9,\"reset\":true}\n");
      next(site, ListKind.FAILED);
      taken(site, calls[0], chunk(list(8, false, site.instance("terminating"))));
      assertEquals(8, next(site, ListKind.CHANGES).version());
    }
  }

  /** It restarted, counts its versions anew and says so with the whole list. */
  @Test
  void aDiscoveryThatBeganAnewIsBelieved() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, chunk(list(41, true, site.instance("in_service"))));
      next(site, ListKind.FULL);
      watch.reset();
      next(site, ListKind.FAILED);
      Peer second = open(site, 41);
      taken(site, second, chunk(list(3, true, site.instance("terminating"))));
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.FULL)));
      second.reset();
      open(site, 3);
    }
  }

  /** Changes can't be from before the version that they go on from: what is held stays, and the list is asked for. */
  @Test
  void changesFromBeforeTheWatchBeganAreNoChanges() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      taken(site, watch, chunk(list(41, true, site.instance("terminating"))));
      next(site, ListKind.FULL);
      taken(site, watch, chunk(list(40, false, site.instance("in_service"))));
      next(site, ListKind.FAILED);
      open(site, 41);
    }
  }

  // ---- Size ----------------------------------------------------------------------------------

  /** It never ends: bounded by the line, the object or the headers, and the list held stays. */
  @ParameterizedTest
  @ValueSource(strings = {"line", "object", "headers"})
  void anAnswerThatNeverEndsIsGivenUp(String what) throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      Peer watch = site.atDiscovery();
      call(watch);
      String piece = "x".repeat(1023);
      String start = what.equals("line") ? "{\"a\":\"" : what.equals("object") ? "{\n" : "";
      watch.send("HTTP/1.1 200 OK\r\n" + (what.equals("headers") ? "" : "\r\n") + start);
      try {
        for (int i = 0; i < 2 * site.limits().maxListBytes() / 1024; i++) {
          watch.send(what.equals("line") ? piece : what.equals("object") ? "\"" + piece + "\":1,\n"
              : "H" + i + ": " + piece + "\r\n");
        }
      } catch (IOException e) {
        // The proxy has ended it.
      }
      next(site, ListKind.FAILED);
      assertEquals(WATCH + "1 HTTP/1.1", call(site.atDiscovery()));
    }
  }

  @Test
  void anEmptyWholeListIsBelieved() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain)) {
      next(site, ListKind.SAVED);
      taken(site, open(site, 1), chunk(list(2, true)));
      assertTrue(next(site, ListKind.FULL).entries().isEmpty());
    }
  }

  // ---- Another address -----------------------------------------------------------------------

  /** The module's own turn to ask once tore down the call that the new address had just been given. */
  @Test
  void aNewAddressIsCalledOnce() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Wake ? List.of(new Subscribe(true))
        : event instanceof ServerList l && l.kind() == ListKind.SAVED ? List.of(new Subscribe(true))
        : event instanceof ServerList l && l.kind() == ListKind.FAILED ? List.of(new WakeAfter(SECOND, 7)) : List.of();
    try (Site site = asked(script); Site other = asked(ListCrossingsTest::nothing)) {
      next(site, ListKind.SAVED);
      site.atDiscovery().reset();
      next(site, ListKind.FAILED);
      site.moveDiscovery(other);
      Peer watch = open(other, 1);
      site.jump(SECOND);
      site.await(Wake.class);
      watch.send(chunk(list(2, false, site.instance("terminating"))));
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
    }
  }

  /** A list half read when the address moves: nothing of it counts, and the new one is asked from the version held. */
  @Test
  void aListHalfReadAtTheOldAddressIsDropped() throws Exception {
    try (Site site = asked(ListCrossingsTest::asksAgain); Site other = asked(ListCrossingsTest::nothing)) {
      next(site, ListKind.SAVED);
      Peer watch = open(site, 1);
      String line = chunk(list(9, true, site.instance("in_service")));
      taken(site, watch, line.substring(0, line.length() / 2));
      try (Site.Held held = site.hold()) {
        site.moveDiscovery(other);
        watch.send(line.substring(line.length() / 2)).awaitUnread(line.length() - line.length() / 2);
        held.release();
      }
      Peer moved = open(other, 1);
      watch.awaitEnd();
      moved.send(chunk(list(2, false, site.instance("terminating"))));
      assertEquals(2, next(site, ListKind.CHANGES).version());
    }
  }

  // ---- Down and back -------------------------------------------------------------------------

  /** It refuses for long; as it is there again it is called within a second, in whichever of its pauses it was. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void discoveryIsCalledInItsFirstSecondBack(boolean pushed) throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    try (Site site = Site.of(null, setup -> {
      setup.module = new DecisionModule();
      setup.config = text -> (pushed ? pushes(text) : asks(text)).replaceFirst("\"discovery\":\"[^\"]*\"",
          "\"discovery\":\"127.0.0.1:" + port + "\"");
    })) {
      next(site, ListKind.SAVED);
      for (int i = 0; i < 300; i++) {
        site.jump(SECOND / 10);
      }
      try (ServerSocket back = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
        for (int i = 0; i < 10 && KernelSockets.queued(port) == 0; i++) {
          site.jump(SECOND / 10);
        }
        assertEquals(1, KernelSockets.queued(port));
        try (Peer watch = new Peer(back.accept())) {
          assertEquals(WATCH + "1 HTTP/1.1", call(watch));
          watch.send(HEAD + chunk(list(2, true, site.instance("terminating"))));
          ServerList list = site.await(ServerList.class);
          while (list.kind() == ListKind.FAILED) {
            list = site.await(ServerList.class);
          }
          assertEquals(ServerState.DRAINING, state(list));
        }
      }
    }
  }

  /** All that went by before the start may count: a process that asks does so within half of the grace. */
  @Test
  void aProcessThatAsksHasItsListWithinTheGrace() throws Exception {
    int[] port = new int[1];
    try (Site site = Site.of(null, setup -> {
      setup.module = new DecisionModule();
      setup.config = text -> {
        port[0] = Integer.parseInt(text.replaceFirst("(?s).*\"discovery\":\"127.0.0.1:(\\d+)\".*", "$1"));
        return asks(text).replace("\"membershipMode\"", "\"balancers\":100,\"membershipMode\"")
            .replace("\"seed\":\"1\"", "\"seed\":\"2\"");
      };
    })) {
      next(site, ListKind.SAVED);
      site.jump(SECOND / 2 + 2 * site.limits().timerTick());
      assertEquals(1, KernelSockets.queued(port[0]), "called by now, by the proxy's clock");
      open(site, 1).send(chunk(list(2, false, site.instance("terminating"))));
      assertEquals(ServerState.DRAINING, state(next(site, ListKind.CHANGES)));
    }
  }

  // ---- Addresses under way -------------------------------------------------------------------

  private static List<Action> sends(Event event) {
    return event instanceof Arrived a ? List.of(new Send(a.request().id(), Site.SERVER, 0))
        : event instanceof Ended e && !e.requestFinished() ? List.of(new Fail(e.id())) : List.of();
  }

  /** One instance, another address: open connections stay where they are, new ones go there. */
  @Test
  void anInstanceThatMovedKeepsItsClientsAndGetsNewOnesAtItsNewAddress() throws Exception {
    try (Site site = Site.of(ListCrossingsTest::sends, setup -> setup.servers = 2)) {
      Peer watch = open(site, 1);
      taken(site, watch, "1\r\n\n\r\n");
      Peer client = site.client("c=chat,d=2000");
      Peer before = site.atServer(0);
      before.line();
      before.send("UP r1\r\n");
      assertEquals("UP r1", client.line());
      taken(site, watch, chunk(list(2, false, site.instance(1, "in_service").replace("s-2", Site.SERVER))));
      Peer later = site.client("c=chat,d=2000");
      Peer after = site.atServer(1);
      after.line();
      after.send("UP r2\r\n");
      assertEquals("UP r2", later.line());
      before.send("still here\r\n");
      assertEquals("still here", client.line());
    }
  }

  /** The server left the list as its execution was decided: no connection, and the client gets its answer. */
  @Test
  void aServerThatLeftTheListIsNotDialled() throws Exception {
    try (Site site = new Site(ListCrossingsTest::sends)) {
      Peer watch = open(site, 1);
      taken(site, watch, chunk(list(2, false, site.instance("terminated"))));
      Peer client = site.client("c=chat,d=2000");
      Ended ended = site.await(Ended.class);
      assertEquals(Outcome.NO_CONNECTION, ended.outcome());
      assertEquals("ERR", client.line());
      assertNull(client.line());
      assertEquals(0, site.figure("attempts"));
    }
  }
}
