package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings replaced in a running proxy: which server lists each module gets, and which discovery is called. */
@Timeout(30)
class ReloadListsTest extends ReloadTestBase {
  /** A module without remaining requests gets no more events, and what it has requested is discarded. */
  @Test
  void theOldModuleIsDroppedWithItsLastRequest() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Arrived
        ? List.of(new WakeAfter(3_000_000, 7)) : List.of();
    try (ProxyFixture fixture = newFixture(script)) {
      new DiscoveryWatch(fixture).sendList(2, fixture.instanceJson("in_service"));
      LineSocket client = fixture.newClient(CHAT_FIELDS);
      fixture.awaitEvent(Arrived.class);
      reload(fixture, ReloadTestBase::withOtherSettings);
      DiscoveryWatch discovery = new DiscoveryWatch(fixture);
      discovery.sendList(3, fixture.instanceJson("in_service"));
      awaitList(0, ListKind.FULL);
      client.reset();
      fixture.awaitEvent(ClientGone.class);
      fixture.advanceClock(1_100_000);
      clearEvents(fixture);
      discovery.sendList(4, fixture.instanceJson("terminating"));
      awaitList(0, ListKind.FULL);
      fixture.advanceClock(3_000_000);
      assertTrue(fixture.events.isEmpty(), fixture.events::toString);
    }
  }

  private static ServerEntry onlyEntry(ServerList list) {
    assertEquals(1, list.entries().size(), list::toString);
    return list.entries().get(0);
  }

  /** Both modules must learn of a drain, each with zone and model indices of its own settings. */
  @Test
  void listsGoToBothModulesInEachOnesIndices() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      new DiscoveryWatch(fixture).sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      reload(fixture, ReloadTestBase::withOtherSettings);
      ServerEntry first = onlyEntry(nextEvent(0, ServerList.class));
      assertEquals(1, first.zone(), "the second zone of the new settings, before discovery has delivered a list");
      assertEquals(2, first.model());
      String unknown = fixture.instanceJson("in_service").replace("s-1", "s-9").replace("\"a\"", "\"b\"");
      new DiscoveryWatch(fixture).sendList(5, fixture.instanceJson("terminating"), unknown);
      ServerList newModuleList = awaitList(0, ListKind.FULL);
      ServerList oldModuleList = fixture.awaitEvent(ServerList.class);
      assertEquals(ListKind.FULL, oldModuleList.kind());
      assertEquals(List.of(1, 0), newModuleList.entries().stream().map(ServerEntry::zone).toList());
      assertEquals(List.of(0, 1), oldModuleList.entries().stream().map(ServerEntry::zone).toList(),
          "zone b gets the next free index");
      assertEquals(List.of(2, 2), newModuleList.entries().stream().map(ServerEntry::model).toList());
      assertEquals(List.of(0, 0), oldModuleList.entries().stream().map(ServerEntry::model).toList());
    }
  }

  /** The new settings' module subscribes; a later subscription of the old one is ignored. */
  @Test
  void aReloadMaySwitchFromPushToPoll() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Wake ? List.of(new Subscribe(true))
        : event instanceof Arrived ? List.of(new WakeAfter(1_000_000, 1))
        : event instanceof Start s && s.settings().mustSubscribe() ? List.of(new WakeAfter(2_000_000, 1)) : List.of();
    try (ProxyFixture fixture = newFixture(script)) {
      new DiscoveryWatch(fixture).sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      fixture.newClient(CHAT_FIELDS);
      fixture.awaitEvent(Arrived.class);
      reload(fixture, original -> original.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},"));
      assertTrue(nextEvent(0, Start.class).settings().mustSubscribe());
      fixture.advanceClock(1_000_000);
      fixture.awaitEvent(Wake.class);
      fixture.advanceClock(1_000_000);
      nextEvent(0, Wake.class);
      assertEquals("GET /api/targets?stream=1&index=1 HTTP/1.1", fixture.acceptAtDiscovery().readLine(),
          "not the old module's call, which would continue from 4");
    }
  }

  /** Discovery answers one proxy after another: until this proxy's turn the old watch serves both modules. */
  @Test
  void theOldWatchContinuesUntilTheNewOneDelivers() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      DiscoveryWatch oldWatch = new DiscoveryWatch(fixture);
      oldWatch.sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      reload(fixture, ReloadTestBase::withOtherSettings);
      DiscoveryWatch newWatch = new DiscoveryWatch(fixture);
      nextEvent(0, ServerList.class);
      String added = fixture.instanceJson("in_service").replace("s-1", "s-2");
      oldWatch.sendList(5, fixture.instanceJson("terminating"), added);
      fixture.awaitEvent(ServerList.class);
      ServerList newModuleList = awaitList(0, ListKind.FULL);
      assertEquals(List.of(ServerState.DRAINING, ServerState.READY),
          newModuleList.entries().stream().map(ServerEntry::state).toList());
      assertEquals(List.of(1, 1), newModuleList.entries().stream().map(ServerEntry::zone).toList());
      ProxyTest.establish(fixture, fixture.newClient(FEED_FIELDS.replace("d=", "at=s-2,d=")));
      newWatch.sendList(6, fixture.instanceJson("terminating"));
      awaitList(0, ListKind.FULL);
      oldWatch.connection.readToEnd();
    }
  }

  /** In poll mode a new discovery is called at once, since nothing is known from it yet. */
  @Test
  void aNewDiscoveryIsCalledAtOnceAndTheOldOneNoLonger() throws Exception {
    try (ProxyFixture fixture = newFixture(event -> List.of());
        ServerSocket newDiscovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      DiscoveryWatch oldWatch = new DiscoveryWatch(fixture);
      oldWatch.sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      newDiscovery.setSoTimeout(10_000);
      reload(fixture, original -> original.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},")
          .replaceAll("\"discovery\":\"127.0.0.1:\\d+\"",
              "\"discovery\":\"127.0.0.1:" + newDiscovery.getLocalPort() + "\""));
      try (LineSocket call = new LineSocket(newDiscovery.accept())) {
        assertEquals("GET /api/targets?stream=1&index=1 HTTP/1.1", call.readLine());
        oldWatch.connection.readToEnd();
      }
    }
  }

  private static List<Action> subscribeLater(Event event) {
    if (event instanceof Start) {
      return List.of(new WakeAfter(100_000, 7));
    }
    return event instanceof Wake ? List.of(new Subscribe(true)) : List.of();
  }

  /**
   * Discovery handles calls one after another, and all proxies reload at the same time: when the module subscribes to
   * what was already requested for it, the pending call must not be replaced, or it would lose its place in the queue.
   */
  @Test
  void theNewModulesSubscriptionUsesThePendingCall() throws Exception {
    try (ProxyFixture fixture = newFixture(ReloadListsTest::subscribeLater);
        ServerSocket newDiscovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      newDiscovery.setSoTimeout(10_000);
      new DiscoveryWatch(fixture).sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      reload(fixture, original -> original.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},")
          .replaceAll("\"discovery\":\"127.0.0.1:\\d+\"",
              "\"discovery\":\"127.0.0.1:" + newDiscovery.getLocalPort() + "\""));
      try (LineSocket call = new LineSocket(newDiscovery.accept())) {
        DiscoveryWatchTest.answerOk(call);
        fixture.advanceClock(150_000);
        nextEvent(0, Wake.class);
        fixture.awaitQueuedWork();
        assertEquals(0, KernelSockets.backlog(newDiscovery.getLocalPort()), "called twice");
        DiscoveryWatchTest.sendChunk(call, DiscoveryWatchTest.listJson(fixture, 9, true, "in_service"));
        awaitList(0, ListKind.FULL);
      }
    }
  }

  /** The new configuration has its own list: servers known from the old discovery are no longer used. */
  @Test
  void aNewConfiguredListReplacesTheCurrentOne() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      new DiscoveryWatch(fixture).sendList(4, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      reload(fixture, original -> withOtherSettings(original).replace("s-1", "s-7"));
      assertEquals("s-7", onlyEntry(nextEvent(0, ServerList.class)).server());
      ProxyTest.establish(fixture, fixture.newClient(FEED_FIELDS.replace("d=", "at=s-7,d=")));
    }
  }

  /**
   * The file's list may be older than discovery's: a server announced as draining keeps draining, and one announced as
   * gone is not restored, unless it has restarted since.
   */
  @ParameterizedTest
  @CsvSource({"terminating, 0, DRAINING", "terminating, 5000, READY", "terminated, 0, ", "terminated, 5000, READY"})
  void anOlderConfiguredListBringsNoServerBack(String lifecycle, long startedAtMillis, ServerState state)
      throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      new DiscoveryWatch(fixture).sendList(4, fixture.instanceJson(lifecycle));
      fixture.awaitEvent(ServerList.class);
      reload(fixture, original -> withOtherSettings(original).replace("\"lifecycle\":\"in_service\"",
          "\"startedAtMs\":" + startedAtMillis + ",\"weight\":2,\"lifecycle\":\"in_service\""));
      ServerList list = nextEvent(0, ServerList.class);
      assertEquals(state == null ? List.of() : List.of(state),
          list.entries().stream().map(ServerEntry::state).toList());
    }
  }

  /** An unreadable list rejects the whole configuration with one log line; the current settings stay. */
  @Test
  void anUnreadableListKeepsTheOldSettings() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      reload(fixture, original -> withOtherSettings(original).replace("in_service", "asleep"));
      String line = logLines.poll(10, TimeUnit.SECONDS);
      while (!line.contains("stays as it was")) {
        line = logLines.poll(10, TimeUnit.SECONDS);
      }
      assertTrue(line.contains("known") && line.contains("asleep"), line);
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      fixture.awaitEvent(Arrived.class);
      assertEquals("ERR", fixture.newClient(FEED_FIELDS).readLine());
    }
  }
}
