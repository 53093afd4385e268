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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.api.Timeout;

/** Settings replaced under a running proxy: what discovery tells, and who is asked for it. */
@Timeout(30)
class ReloadListsTest extends Reloads {
  /** A module without a request left hears nothing any more, and what it asked for comes to nobody. */
  @Test
  void theOldModuleIsDroppedWithItsLastRequest() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Arrived
        ? List.of(new WakeAfter(3_000_000, 7)) : List.of();
    try (Site site = site(script)) {
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      Peer client = site.client(CHAT);
      site.await(Arrived.class);
      reload(site, Reloads::other);
      DiscoveryPeer discovery = new DiscoveryPeer(site);
      discovery.list(3, site.instance("in_service"));
      awaitKind(0, ListKind.FULL);
      client.reset();
      site.await(ClientGone.class);
      site.jump(1_100_000);
      drain(site);
      discovery.list(4, site.instance("terminating"));
      awaitKind(0, ListKind.FULL);
      site.jump(3_000_000);
      assertTrue(site.events.isEmpty(), site.events::toString);
    }
  }

  private static ServerEntry only(ServerList list) {
    assertEquals(1, list.entries().size(), list::toString);
    return list.entries().get(0);
  }

  /** A drain is for both modules to know, each in the terms of its own settings. */
  @Test
  void listsGoToBothInTheTermsOfEach() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client(CHAT));
      new DiscoveryPeer(site).list(4, site.instance("in_service"));
      site.await(ServerList.class);
      reload(site, Reloads::other);
      ServerEntry first = only(next(0, ServerList.class));
      assertEquals(1, first.zone(), "the second zone of the new settings, before discovery has told anything");
      assertEquals(2, first.model());
      String unknown = site.instance("in_service").replace("s-1", "s-9").replace("\"a\"", "\"b\"");
      new DiscoveryPeer(site).list(5, site.instance("terminating"), unknown);
      ServerList news = awaitKind(0, ListKind.FULL);
      ServerList old = site.await(ServerList.class);
      assertEquals(ListKind.FULL, old.kind());
      assertEquals(List.of(1, 0), news.entries().stream().map(ServerEntry::zone).toList());
      assertEquals(List.of(0, 1), old.entries().stream().map(ServerEntry::zone).toList(), "b comes after all it knows");
      assertEquals(List.of(2, 2), news.entries().stream().map(ServerEntry::model).toList());
      assertEquals(List.of(0, 0), old.entries().stream().map(ServerEntry::model).toList());
    }
  }

  /** The new settings' module asks; what the old one asks for, later, is not heard any more. */
  @Test
  void listsThatWerePushedAreAskedForFromThenOn() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Wake ? List.of(new Subscribe(true))
        : event instanceof Arrived ? List.of(new WakeAfter(1_000_000, 1))
        : event instanceof Start s && s.settings().mustSubscribe() ? List.of(new WakeAfter(2_000_000, 1)) : List.of();
    try (Site site = site(script)) {
      new DiscoveryPeer(site).list(4, site.instance("in_service"));
      site.await(ServerList.class);
      site.client(CHAT);
      site.await(Arrived.class);
      reload(site, given -> given.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},"));
      assertTrue(next(0, Start.class).settings().mustSubscribe());
      site.jump(1_000_000);
      site.await(Wake.class);
      site.jump(1_000_000);
      next(0, Wake.class);
      assertEquals("GET /api/targets?stream=1&index=1 HTTP/1.1", site.atDiscovery().line(),
          "not the old one's, from 4");
    }
  }

  /** Discovery is asked one proxy after another: until this one has its turn, the watch of before tells both. */
  @Test
  void theWatchOfBeforeGoesOnUntilTheNewOneTells() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client(CHAT));
      DiscoveryPeer old = new DiscoveryPeer(site);
      old.list(4, site.instance("in_service"));
      site.await(ServerList.class);
      reload(site, Reloads::other);
      DiscoveryPeer fresh = new DiscoveryPeer(site);
      next(0, ServerList.class);
      String added = site.instance("in_service").replace("s-1", "s-2");
      old.list(5, site.instance("terminating"), added);
      site.await(ServerList.class);
      ServerList news = awaitKind(0, ListKind.FULL);
      assertEquals(List.of(ServerState.DRAINING, ServerState.READY),
          news.entries().stream().map(ServerEntry::state).toList());
      assertEquals(List.of(1, 1), news.entries().stream().map(ServerEntry::zone).toList());
      ProxyTest.up(site, site.client(FEED.replace("d=", "at=s-2,d=")));
      fresh.list(6, site.instance("terminating"));
      awaitKind(0, ListKind.FULL);
      old.watch.awaitEnd();
    }
  }

  /** Another discovery is asked at once where the proxy has to ask: nothing is heard of it before. */
  @Test
  void anotherDiscoveryIsAskedAtOnceAndTheOldOneNoMore() throws Exception {
    try (Site site = site(event -> List.of());
        ServerSocket there = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      DiscoveryPeer old = new DiscoveryPeer(site);
      old.list(4, site.instance("in_service"));
      site.await(ServerList.class);
      there.setSoTimeout(10_000);
      reload(site, given -> given.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},")
          .replaceAll("\"discovery\":\"127.0.0.1:\\d+\"", "\"discovery\":\"127.0.0.1:" + there.getLocalPort() + "\""));
      try (Peer asked = new Peer(there.accept())) {
        assertEquals("GET /api/targets?stream=1&index=1 HTTP/1.1", asked.line());
        old.watch.awaitEnd();
      }
    }
  }

  private static List<Action> asksAfterAWhile(Event event) {
    if (event instanceof Start) {
      return List.of(new WakeAfter(100_000, 7));
    }
    return event instanceof Wake ? List.of(new Subscribe(true)) : List.of();
  }

  /**
   * Discovery works through its calls one after another, and all proxies read their configuration anew at once: when the
   * module asks for what has been asked for on its behalf, the call that waits for its turn is not made anew.
   */
  @Test
  void theNewModulesOwnAskingFindsTheCallThatIsOut() throws Exception {
    try (Site site = site(ReloadListsTest::asksAfterAWhile);
        ServerSocket there = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      there.setSoTimeout(10_000);
      new DiscoveryPeer(site).list(4, site.instance("in_service"));
      site.await(ServerList.class);
      reload(site, given -> given.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},")
          .replaceAll("\"discovery\":\"127.0.0.1:\\d+\"", "\"discovery\":\"127.0.0.1:" + there.getLocalPort() + "\""));
      try (Peer asked = new Peer(there.accept())) {
        DiscoveryClockTest.open(asked);
        site.jump(150_000);
        next(0, Wake.class);
        site.settle();
        assertEquals(0, KernelSockets.queued(there.getLocalPort()), "asked twice");
        DiscoveryClockTest.write(asked, DiscoveryClockTest.list(site, 9, true, "in_service"));
        awaitKind(0, ListKind.FULL);
      }
    }
  }

  /** The new configuration brings its own list: servers that the old discovery told of are nobody's to ask. */
  @Test
  void aListOfTheNewConfigurationsOwnGoesBeforeTheOneHeld() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      new DiscoveryPeer(site).list(4, site.instance("in_service"));
      site.await(ServerList.class);
      reload(site, given -> other(given).replace("s-1", "s-7"));
      assertEquals("s-7", only(next(0, ServerList.class)).server());
      ProxyTest.up(site, site.client(FEED.replace("d=", "at=s-7,d=")));
    }
  }

  /**
   * The file's list may be older than what discovery has told since: a server that was told to drain drains on, one that
   * was told as gone is not brought back, unless it has started anew.
   */
  @ParameterizedTest
  @CsvSource({"terminating, 0, DRAINING", "terminating, 5000, READY", "terminated, 0, ", "terminated, 5000, READY"})
  void anOlderListOfTheConfigurationBringsNoServerBack(String told, long startedAtMillis, ServerState state)
      throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      new DiscoveryPeer(site).list(4, site.instance(told));
      site.await(ServerList.class);
      reload(site, given -> other(given).replace("\"lifecycle\":\"in_service\"",
          "\"startedAtMs\":" + startedAtMillis + ",\"weight\":2,\"lifecycle\":\"in_service\""));
      ServerList list = next(0, ServerList.class);
      assertEquals(state == null ? List.of() : List.of(state), list.entries().stream().map(ServerEntry::state).toList());
    }
  }

  /** A list that can't be read refuses the whole configuration in one line; the settings in force go on. */
  @Test
  void aListThatCannotBeReadKeepsTheOldSettings() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      reload(site, given -> other(given).replace("in_service", "asleep"));
      String line = logged.poll(10, TimeUnit.SECONDS);
      while (!line.contains("stays as it was")) {
        line = logged.poll(10, TimeUnit.SECONDS);
      }
      assertTrue(line.contains("known") && line.contains("asleep"), line);
      ProxyTest.up(site, site.client(CHAT));
      site.await(Arrived.class);
      assertEquals("ERR", site.client(FEED).line());
    }
  }
}
