package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.module.DecisionModule;
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Settings replaced under a running proxy: what came before ends by the old ones, all else goes by the new. */
@Timeout(30)
class ReloadCrossingsTest extends Reloads {
  /** The UP lies in the kernel when the new settings come: its request belongs to the module that sent it. */
  @Test
  void aRequestUnderWayEndsUnderTheSettingsItCameInWith() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      Peer client = site.client(CHAT);
      Peer server = site.atServer();
      assertTrue(server.line().startsWith("OPEN "));
      try (Held held = site.hold()) {
        server.send("UP r1\r\n").awaitUnread(7);
        hand(site, Reloads::other);
        held.release();
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
      reload(site, Reloads::other);
      site.jump(2_000_000);
      assertTrue(site.events.isEmpty(), site.events::toString);
    }
  }

  @Test
  void whatComesFromThenOnIsServedUnderTheNewSettingsAlone() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client(CHAT));
      reload(site, Reloads::other);
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

  /** The connection came before, its first line is read after the new settings have come. */
  @Test
  void aFirstLineReadAfterwardsGoesByTheNewSettings() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      assertEquals("PONG", site.client().send("PING\r\n").line());
      Peer old = site.client();
      Peer fresh = site.client();
      assertEquals("PONG", old.send("PING\r\n").line());
      assertEquals("PONG", fresh.send("PING\r\n").line());
      String line = "OPEN %s 7f3a9c21e0b4d655 %s\r\n";
      try (Held held = site.hold()) {
        old.send(line.formatted("000000000000000a", CHAT)).awaitUnread(40);
        fresh.send(line.formatted("000000000000000b", FEED)).awaitUnread(40);
        hand(site, Reloads::other);
        held.release();
      }
      assertEquals("ERR", old.line());
      ProxyTest.up(site, fresh);
      next(0, Established.class);
      assertFalse(any(site.events, Arrived.class), site.events::toString);
    }
  }

  /** It is read before: the module that was in force has it, and its client is owed its answer in the old time. */
  @Test
  void aFirstLineReadBeforehandGoesByTheOldSettings() throws Exception {
    try (Site site = site(event -> List.of())) {
      Peer client = site.client(CHAT);
      site.await(Arrived.class);
      reload(site, Reloads::other);
      site.jump(5_000_000);
      assertEquals("ERR", client.line(), "overdue by its own deadline");
      assertFalse(any(heard.get(0), Arrived.class), heard::toString);
    }
  }

  /** The real module: a request that may be repeated is harmless to try again, also when its class no longer is. */
  @Test
  void whatMayBeRepeatedIsSaidByTheSettingsItCameInWith() throws Exception {
    try (Site site = Site.of(event -> List.of(), setup -> {
      setup.module = new DecisionModule();
      setup.config = given -> text = given.replace("\"cancelling\":true", "\"cancelling\":true,\"tryLimit\":3");
    })) {
      site.proxy.setModuleFactory(DecisionModule::new);
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      site.await(ServerList.class);
      Peer old = site.client(CHAT);
      Peer server = site.atServer();
      assertTrue(server.line().startsWith("OPEN "));
      reload(site, Reloads::other);
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
        hand(site, Reloads::other);
        held.release();
      }
      assertEquals(Outcome.SERVED, site.await(ProbeResult.class).outcome());
      site.jump(1_000_000);
      assertEquals(7, site.await(Wake.class).token());
      assertFalse(any(heard.get(0), ProbeResult.class) || any(heard.get(0), Wake.class), heard::toString);
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
      reload(site, Reloads::other);
      ProxyTest.up(site, site.client(CHAT));
      assertEquals("ERR", site.client(FEED).line());
      assertTrue(logged.contains("lemondeal: the new settings take effect at the next start"), logged::toString);
    }
  }

  /** The order to stop, given and taken: nobody new is served any more. */
  private static Thread stop(Site site) throws Exception {
    Thread stop = new Thread(() -> {
      try {
        site.proxy.stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    AtomicBoolean ready = new AtomicBoolean();
    site.onThread(() -> ready.set(site.proxy.isReady()));
    assertTrue(ready.get(), "serving before the order");
    stop.start();
    while (ready.get()) {
      site.onThread(() -> ready.set(site.proxy.isReady()));
    }
    return stop;
  }

  /** SIGKILL comes so long after the longest deadline of the settings in force, which are shorter now. */
  @Test
  void aStopTakesTheTimeOfTheSettingsInForceThen() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      site.await(ServerList.class);
      Peer client = site.client(CHAT);
      ProxyTest.up(site, client).send("half a li");
      reload(site, given -> given.replace("5000000", "1000000"));
      Thread stop = stop(site);
      // The server hangs in its line; its client is moved half a second before the end, 1.5 s after the order.
      site.jump(1_010_000);
      assertTrue(any(site.events, Ended.class), site.events::toString);
      assertEquals("MOVE", client.line());
      site.jump(500_000);
      stop.join();
    }
  }

  /** The settings in force stay to the end: a generation begun now would have no client. */
  @Test
  void newSettingsDuringAStopBeginNothing() throws Exception {
    try (Site site = site(ProxyTest::sendOnce)) {
      new DiscoveryPeer(site).list(2, site.instance("in_service"));
      site.await(ServerList.class);
      Thread stop = stop(site);
      reload(site, Reloads::other);
      assertTrue(heard.isEmpty());
      assertEquals("BUSY 1000", site.client(CHAT).line(), "throttled, not unknown");
      site.jump(4_000_000);
      stop.join();
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
