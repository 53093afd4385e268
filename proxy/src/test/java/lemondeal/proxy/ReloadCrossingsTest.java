package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.Scripted;
import lemondeal.config.Config;
import lemondeal.module.Logic;
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Settings replaced under a running proxy: what came before ends by the old ones, all else goes by the new. */
@Timeout(30)
class ReloadCrossingsTest {
  private static final String CHAT = "c=chat,d=5000";
  private static final String FEED = "c=feed,d=5000";

  @TempDir
  Path folder;

  /** The text that the site was started with. */
  private String text;
  /** What each module heard that was made for settings read anew. */
  private final List<BlockingQueue<Event>> heard = new ArrayList<>();
  private final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
  private final PrintStream log = new PrintStream(new ByteArrayOutputStream()) {
    @Override
    public void println(String line) {
      logged.add(line);
    }
  };

  /** A site whose modules all go by this script. */
  private Site site(Function<Event, List<Action>> script, UnaryOperator<String> change) throws IOException {
    Site site = Site.of(script, setup -> {
      setup.log = log;
      setup.longestDeadline = 5_000_000;
      setup.config = given -> text = change.apply(given);
    });
    site.proxy.renewBy(() -> {
      BlockingQueue<Event> events = new LinkedBlockingQueue<>();
      heard.add(events);
      return new Scripted(event -> {
        events.add(event);
        return script.apply(event);
      });
    });
    return site;
  }

  private Site site(Function<Event, List<Action>> script) throws IOException {
    return site(script, UnaryOperator.identity());
  }

  /** Hands the proxy the configuration with these changes; it is taken over in its next turn. */
  private void hand(Site site, UnaryOperator<String> change) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), change.apply(text));
    site.proxy.reconfigure(Config.read(Map.of("GW_CONFIG", file.toString())));
  }

  private void reload(Site site, UnaryOperator<String> change) throws Exception {
    hand(site, change);
    site.settle();
  }

  /** Another customer's settings: another class, other zones and kinds of machines, another effect and deadline. */
  private static String other(String text) {
    return text.replace("\"chat\"", "\"feed\"").replace("idempotent", "at_most_once").replace("5000000", "3000000")
        .replace("\"azs\":[\"a\"]", "\"azs\":[\"b\",\"a\"]")
        .replace("\"flavors\":[\"m\"]", "\"flavors\":[\"n\",\"o\",\"m\"]");
  }

  private <T extends Event> T next(int module, Class<T> kind) throws InterruptedException {
    Event event;
    do {
      event = heard.get(module).poll(10, TimeUnit.SECONDS);
      assertNotNull(event, "no " + kind.getSimpleName() + " came to module " + module);
    } while (!kind.isInstance(event));
    return kind.cast(event);
  }

  private static <T> boolean any(Iterable<Event> events, Class<T> kind) {
    for (Event event : events) {
      if (kind.isInstance(event)) {
        return true;
      }
    }
    return false;
  }

  private static void drain(Site site) {
    site.events.clear();
  }

  /** The UP lies in the kernel when the new settings come: its request belongs to the module that sent it. */
  @Test
  void aRequestUnderWayEndsUnderTheSettingsItCameInWith() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      Peer client = site.client(CHAT);
      Peer server = site.atServer();
      assertTrue(server.line().startsWith("OPEN "));
      try (Held held = site.hold()) {
        server.send("UP r1\r\n").awaitUnread(7);
        hand(site, ReloadCrossingsTest::other);
      }
      assertEquals("UP r1", client.line());
      site.await(Established.class);
      client.send("hello\r\n");
      assertEquals("hello", server.line());
      server.send("BYE\r\n").close();
      assertEquals("BYE", client.line());
      assertEquals(Outcome.SERVED, site.await(Ended.class).outcome());
      site.settle();
      assertFalse(any(heard.get(0), Established.class) || any(heard.get(0), Ended.class), heard::toString);
    }
  }

  /** The server's answer lies in the kernel and is read first, then the new settings come. */
  @Test
  void aRequestThatEndedBeforeLeavesNothing() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      Peer client = site.client(CHAT);
      site.atServer().send("BUSY\r\n");
      assertEquals("BUSY 250", client.line());
      site.await(Ended.class);
      drain(site);
      reload(site, ReloadCrossingsTest::other);
      site.jump(2_000_000);
      assertTrue(site.events.isEmpty(), site.events::toString);
    }
  }

  @Test
  void whatComesFromThenOnIsServedUnderTheNewSettingsAlone() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client(CHAT));
      reload(site, ReloadCrossingsTest::other);
      drain(site);
      assertEquals("ERR", site.client(CHAT).line(), "a class that the new settings lack");
      ProxyTest.up(site, site.client(FEED));
      Start start = next(0, Start.class);
      assertEquals(3_000_000, start.settings().classes().get(0).deadline());
      assertEquals(0, next(0, Arrived.class).request().requestClass());
      next(0, Established.class);
      assertFalse(any(site.events, Arrived.class), site.events::toString);
      assertEquals(1, site.figure("served.feed"));
      assertEquals(2, site.figure("in_flight"));
      assertThrows(AssertionError.class, () -> site.figure("served.chat"), "nothing is told of the class before");
    }
  }

  /** A class that both name goes on in the figures, and is the one that its request counts in. */
  @Test
  void figuresOfAClassThatStaysGoOn() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client(CHAT));
      Peer waits = site.client(CHAT);
      Peer server = site.atServer();
      server.line();
      reload(site, given -> given.replace("\"profiles\":[",
          "\"profiles\":[{\"name\":\"feed\",\"hardLimit\":1000000},"));
      server.send("UP r2\r\n");
      assertEquals("UP r2", waits.line());
      ProxyTest.up(site, site.client(FEED));
      assertEquals(2, site.figure("served.chat"));
      assertEquals(1, site.figure("served.feed"));
      assertEquals(3, site.figure("attempts"));
    }
  }

  /** It is read before: the module that was in force has it, and its client is owed its answer in the old time. */
  @Test
  void aFirstLineReadBeforehandGoesByTheOldSettings() throws Exception {
    try (Site site = site(event -> List.of())) {
      Peer client = site.client(CHAT);
      site.await(Arrived.class);
      reload(site, ReloadCrossingsTest::other);
      site.jump(5_000_000);
      assertEquals("ERR", client.line(), "overdue by its own deadline");
      assertFalse(any(heard.get(0), Arrived.class), heard::toString);
    }
  }

  /** The real module: a request that may be repeated is harmless to try again, also when its class no longer is. */
  @Test
  void whatMayBeRepeatedIsSaidByTheSettingsItCameInWith() throws Exception {
    try (Site site = Site.of(event -> List.of(), setup -> {
      setup.module = new Logic();
      setup.config = given -> text = given.replace("\"cancelling\":true", "\"cancelling\":true,\"tryLimit\":3");
    })) {
      site.proxy.renewBy(Logic::new);
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      site.await(ServerList.class);
      Peer old = site.client(CHAT);
      Peer server = site.atServer();
      assertTrue(server.line().startsWith("OPEN "));
      reload(site, ReloadCrossingsTest::other);
      Peer fresh = site.client(FEED);
      Peer again = site.atServer();
      assertTrue(again.line().startsWith("OPEN "));
      server.reset();
      again.reset();
      assertEquals("BUSY", old.line());
      assertEquals("ERR", fresh.line());
    }
  }

  private static List<Action> askAndWake(Event event) {
    if (event instanceof Arrived) {
      return List.of(new Probe(Site.SERVER), new WakeAfter(1_000_000, 7));
    }
    return List.of();
  }

  /** Both were asked for by the module of the old settings, and come when the new ones are in force. */
  @Test
  void aProbesAnswerAndAWakeUpGoToTheModuleThatAsked() throws Exception {
    try (Site site = site(ReloadCrossingsTest::askAndWake)) {
      site.client(CHAT);
      Peer server = site.atServer();
      assertEquals("STATS", server.line());
      try (Held held = site.hold()) {
        server.send("PONG\r\n").awaitUnread(6);
        hand(site, ReloadCrossingsTest::other);
      }
      assertEquals(Outcome.SERVED, site.await(ProbeResult.class).outcome());
      site.jump(1_000_000);
      assertEquals(7, site.await(Wake.class).token());
      assertFalse(any(heard.get(0), ProbeResult.class) || any(heard.get(0), Wake.class), heard::toString);
    }
  }

  /** A module without a request left hears nothing any more, and what it asked for comes to nobody. */
  @Test
  void theOldModuleIsDroppedWithItsLastRequest() throws Exception {
    Function<Event, List<Action>> script = event -> event instanceof Arrived
        ? List.of(new WakeAfter(3_000_000, 7)) : List.of();
    try (Site site = site(script)) {
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      Peer client = site.client(CHAT);
      site.await(Arrived.class);
      reload(site, ReloadCrossingsTest::other);
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

  /** The next watch that the proxy opens. */
  private static final class DiscoveryPeer {
    private final Peer watch;

    DiscoveryPeer(Site site) throws IOException {
      watch = site.atDiscovery();
      while (!watch.line().isEmpty()) {
        continue;
      }
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void list(int generation, String... instances) throws IOException {
      String line = "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
          + String.join(",", instances) + "]}\n";
      watch.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }
  }

  private ServerList awaitKind(int module, ListKind kind) throws InterruptedException {
    ServerList list;
    do {
      list = next(module, ServerList.class);
    } while (list.kind() != kind);
    return list;
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
      reload(site, ReloadCrossingsTest::other);
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
        : event instanceof Start s && s.settings().mustAskForList() ? List.of(new WakeAfter(2_000_000, 1)) : List.of();
    try (Site site = site(script)) {
      new DiscoveryPeer(site).list(4, site.instance("in_service"));
      site.await(ServerList.class);
      site.client(CHAT);
      site.await(Arrived.class);
      reload(site, given -> given.replace("\"settings\":{",
          "\"settings\":{\"membershipMode\":\"subscribe\",\"rules\":{\"askEvery\":10000000},"));
      assertTrue(next(0, Start.class).settings().mustAskForList());
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
      reload(site, ReloadCrossingsTest::other);
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

  /** What only the next start can change changes nothing, and neither does a file that says the same. */
  @Test
  void theSameSettingsMakeNoNewModule() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      reload(site, given -> given.replace("\"seed\":\"1\"", "\"seed\":\"2\"")
          .replace("\"name\":\"n0\"", "\"name\":\"n1\""));
      assertTrue(heard.isEmpty());
      ProxyTest.up(site, site.client(CHAT));
      site.await(Arrived.class);
    }
  }

  /** Where modules can't be made anew, as with an operator's own file, that is said and nothing is mixed. */
  @Test
  void withoutModulesToMakeSettingsWaitForTheNextStart() throws Exception {
    try (Site site = Site.of(ProxyTest::sendOnce, setup -> {
      setup.log = log;
      setup.config = given -> text = given;
    })) {
      reload(site, ReloadCrossingsTest::other);
      ProxyTest.up(site, site.client(CHAT));
      assertEquals("ERR", site.client(FEED).line());
      assertTrue(logged.contains("lemondeal: the new settings count from the next start"), logged::toString);
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

  /** Several changes one after another, with a request of each under way. */
  @Test
  void eachOfSeveralChangesHasItsOwnRequests() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      List<Peer> clients = new ArrayList<>();
      List<Peer> servers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        String name = "class" + i;
        if (i > 0) {
          reload(site, given -> given.replace("chat", name));
        }
        clients.add(site.client("c=" + (i == 0 ? "chat" : name) + ",d=5000"));
        servers.add(site.atServer());
        servers.get(i).line();
      }
      for (int i = 3; i >= 0; i--) {
        servers.get(i).send("UP r" + i + "\r\n");
        assertEquals("UP r" + i, clients.get(i).line());
      }
      site.await(Established.class);
      for (int i = 0; i < 3; i++) {
        next(i, Established.class);
        assertFalse(any(heard.get(i), Established.class), "one each");
      }
    }
  }
}
