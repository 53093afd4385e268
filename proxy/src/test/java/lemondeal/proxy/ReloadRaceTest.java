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
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Settings replaced in a running proxy: earlier requests end under the old settings, later ones use the new. */
@Timeout(30)
class ReloadRaceTest extends ReloadTestBase {
  /** The UP is in the kernel when the new settings come: its request stays with the module that sent it. */
  @Test
  void anActiveRequestEndsUnderItsOriginalSettings() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(CHAT_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      assertTrue(server.readLine().startsWith("OPEN "));
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        server.send("UP r1\r\n").awaitUnread(7);
        reconfigure(fixture, ReloadTestBase::withOtherSettings);
        pause.resume();
      }
      assertEquals("UP r1", client.readLine());
      fixture.awaitEvent(Established.class);
      client.send("hello\r\n");
      assertEquals("hello", server.readLine());
      server.send("BYE\r\n").close();
      assertEquals("BYE", client.readLine());
      assertEquals(Outcome.SERVED, fixture.awaitEvent(Ended.class).outcome());
      fixture.awaitQueuedWork();
      assertFalse(contains(eventsByModule.get(0), Established.class) || contains(eventsByModule.get(0), Ended.class),
          eventsByModule::toString);
    }
  }

  /** The server's answer is read before the new settings come. */
  @Test
  void aRequestThatEndedBeforeTheReloadLeavesNothing() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(CHAT_FIELDS);
      fixture.acceptAtServer().send("BUSY\r\n");
      assertEquals("BUSY 250", client.readLine());
      fixture.awaitEvent(Ended.class);
      clearEvents(fixture);
      reload(fixture, ReloadTestBase::withOtherSettings);
      fixture.advanceClock(2_000_000);
      assertTrue(fixture.events.isEmpty(), fixture.events::toString);
    }
  }

  @Test
  void laterRequestsUseTheNewSettingsOnly() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      reload(fixture, ReloadTestBase::withOtherSettings);
      clearEvents(fixture);
      assertEquals("ERR", fixture.newClient(CHAT_FIELDS).readLine(), "a class that the new settings lack");
      ProxyTest.establish(fixture, fixture.newClient(FEED_FIELDS));
      Start start = nextEvent(0, Start.class);
      assertEquals(3_000_000, start.settings().classes().get(0).deadline());
      assertEquals(0, nextEvent(0, Arrived.class).request().requestClass());
      nextEvent(0, Established.class);
      assertFalse(contains(fixture.events, Arrived.class), fixture.events::toString);
      assertEquals(1, fixture.metric("served.feed"));
      assertEquals(2, fixture.metric("in_flight"));
      assertThrows(AssertionError.class, () -> fixture.metric("served.chat"), "the removed class is not reported");
    }
  }

  /** The metrics of a class in both settings continue, and its earlier requests still count for it. */
  @Test
  void metricsOfAClassThatStaysContinue() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      LineSocket waiting = fixture.newClient(CHAT_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      reload(fixture, original -> original.replace("\"profiles\":[",
          "\"profiles\":[{\"name\":\"feed\",\"hardLimit\":1000000},"));
      server.send("UP r2\r\n");
      assertEquals("UP r2", waiting.readLine());
      ProxyTest.establish(fixture, fixture.newClient(FEED_FIELDS));
      assertEquals(2, fixture.metric("served.chat"));
      assertEquals(1, fixture.metric("served.feed"));
      assertEquals(3, fixture.metric("attempts"));
    }
  }

  /** The connection was accepted before the reload, and its first line is read afterwards. */
  @Test
  void aFirstLineReadAfterTheReloadUsesTheNewSettings() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      assertEquals("PONG", fixture.newClient().send("PING\r\n").readLine());
      LineSocket old = fixture.newClient();
      LineSocket fresh = fixture.newClient();
      assertEquals("PONG", old.send("PING\r\n").readLine());
      assertEquals("PONG", fresh.send("PING\r\n").readLine());
      String line = "OPEN %s 7f3a9c21e0b4d655 %s\r\n";
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        old.send(line.formatted("000000000000000a", CHAT_FIELDS)).awaitUnread(40);
        fresh.send(line.formatted("000000000000000b", FEED_FIELDS)).awaitUnread(40);
        reconfigure(fixture, ReloadTestBase::withOtherSettings);
        pause.resume();
      }
      assertEquals("ERR", old.readLine());
      ProxyTest.establish(fixture, fresh);
      nextEvent(0, Established.class);
      assertFalse(contains(fixture.events, Arrived.class), fixture.events::toString);
    }
  }

  /** The line is read before the reload: the old module has the request, and its old deadline applies. */
  @Test
  void aFirstLineReadBeforeTheReloadUsesTheOldSettings() throws Exception {
    try (ProxyFixture fixture = newFixture(event -> List.of())) {
      LineSocket client = fixture.newClient(CHAT_FIELDS);
      fixture.awaitEvent(Arrived.class);
      reload(fixture, ReloadTestBase::withOtherSettings);
      fixture.advanceClock(5_000_000);
      assertEquals("ERR", client.readLine(), "answered at its original deadline");
      assertFalse(contains(eventsByModule.get(0), Arrived.class), eventsByModule::toString);
    }
  }

  /** With the real module: a request that may be repeated is safe to retry even if the new settings forbid it. */
  @Test
  void theOriginalSettingsDecideWhatMayBeRepeated() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(event -> List.of(), options -> {
      options.module = new DecisionModule();
      options.editConfig = original ->
          initialConfig = original.replace("\"cancelling\":true", "\"cancelling\":true,\"tryLimit\":3");
    })) {
      fixture.proxy.setModuleFactory(DecisionModule::new);
      new DiscoveryWatch(fixture).sendList(2, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      LineSocket old = fixture.newClient(CHAT_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      assertTrue(server.readLine().startsWith("OPEN "));
      reload(fixture, ReloadTestBase::withOtherSettings);
      LineSocket fresh = fixture.newClient(FEED_FIELDS);
      LineSocket secondServer = fixture.acceptAtServer();
      assertTrue(secondServer.readLine().startsWith("OPEN "));
      server.reset();
      secondServer.reset();
      assertEquals("BUSY", old.readLine());
      assertEquals("ERR", fresh.readLine());
    }
  }

  private static List<Action> probeAndWake(Event event) {
    if (event instanceof Arrived) {
      return List.of(new Probe(ProxyFixture.SERVER), new WakeAfter(1_000_000, 7));
    }
    return List.of();
  }

  /** The old module requested both, and they come when the new settings are in force. */
  @Test
  void aProbeResultAndAWakeUpGoToTheModuleThatRequestedThem() throws Exception {
    try (ProxyFixture fixture = newFixture(ReloadRaceTest::probeAndWake)) {
      fixture.newClient(CHAT_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      assertEquals("STATS", server.readLine());
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        server.send("PONG\r\n").awaitUnread(6);
        reconfigure(fixture, ReloadTestBase::withOtherSettings);
        pause.resume();
      }
      assertEquals(Outcome.SERVED, fixture.awaitEvent(ProbeResult.class).outcome());
      fixture.advanceClock(1_000_000);
      assertEquals(7, fixture.awaitEvent(Wake.class).token());
      assertFalse(contains(eventsByModule.get(0), ProbeResult.class) || contains(eventsByModule.get(0), Wake.class),
          eventsByModule::toString);
    }
  }

  /** Neither an unchanged file nor changes that need a restart create a new module. */
  @Test
  void unchangedSettingsCreateNoNewModule() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      reload(fixture, original -> original.replace("\"seed\":\"1\"", "\"seed\":\"2\"")
          .replace("\"name\":\"n0\"", "\"name\":\"n1\""));
      assertTrue(eventsByModule.isEmpty());
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      fixture.awaitEvent(Arrived.class);
    }
  }

  /** Without a module factory, as with an operator's own file, the proxy logs this and keeps all old settings. */
  @Test
  void withoutAModuleFactorySettingsWaitForTheNextStart() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(ProxyTest::sendOnce, options -> {
      options.log = log;
      options.editConfig = original -> initialConfig = original;
    })) {
      reload(fixture, ReloadTestBase::withOtherSettings);
      ProxyTest.establish(fixture, fixture.newClient(CHAT_FIELDS));
      assertEquals("ERR", fixture.newClient(FEED_FIELDS).readLine());
      assertTrue(logLines.contains("lemondeal: the new settings take effect at the next start"), logLines::toString);
    }
  }

  /** Requests a stop and waits until it is in effect: no new client is served from then on. */
  private static Thread startStop(ProxyFixture fixture) throws Exception {
    Thread stop = new Thread(() -> {
      try {
        fixture.proxy.stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    AtomicBoolean ready = new AtomicBoolean();
    fixture.runOnEventLoop(() -> ready.set(fixture.proxy.isReady()));
    assertTrue(ready.get(), "serving before the stop");
    stop.start();
    while (ready.get()) {
      fixture.runOnEventLoop(() -> ready.set(fixture.proxy.isReady()));
    }
    return stop;
  }

  /** SIGKILL follows a fixed time after the longest deadline of the current settings, which is shorter now. */
  @Test
  void aStopUsesTheTimesOfTheCurrentSettings() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      new DiscoveryWatch(fixture).sendList(2, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      LineSocket client = fixture.newClient(CHAT_FIELDS);
      ProxyTest.establish(fixture, client).send("half a li");
      reload(fixture, original -> original.replace("5000000", "1000000"));
      Thread stop = startStop(fixture);
      // The server hangs mid-line; its client is moved half a second before the end, which is 1.5 s after the stop.
      fixture.advanceClock(1_010_000);
      assertTrue(contains(fixture.events, Ended.class), fixture.events::toString);
      assertEquals("MOVE", client.readLine());
      fixture.advanceClock(500_000);
      stop.join();
    }
  }

  /** The current settings stay to the end: a new generation would never get a client. */
  @Test
  void aReloadDuringAStopCreatesNoModule() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      new DiscoveryWatch(fixture).sendList(2, fixture.instanceJson("in_service"));
      fixture.awaitEvent(ServerList.class);
      Thread stop = startStop(fixture);
      reload(fixture, ReloadTestBase::withOtherSettings);
      assertTrue(eventsByModule.isEmpty());
      assertEquals("BUSY 1000", fixture.newClient(CHAT_FIELDS).readLine(), "throttled, not unknown");
      fixture.advanceClock(4_000_000);
      stop.join();
    }
  }

  /** Several reloads one after another, each with an active request. */
  @Test
  void eachReloadHasItsOwnRequests() throws Exception {
    try (ProxyFixture fixture = newFixture(ProxyTest::sendOnce)) {
      List<LineSocket> clients = new ArrayList<>();
      List<LineSocket> servers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        String name = "class" + i;
        if (i > 0) {
          reload(fixture, original -> original.replace("chat", name));
        }
        clients.add(fixture.newClient("c=" + (i == 0 ? "chat" : name) + ",d=5000"));
        servers.add(fixture.acceptAtServer());
        servers.get(i).readLine();
      }
      for (int i = 3; i >= 0; i--) {
        servers.get(i).send("UP r" + i + "\r\n");
        assertEquals("UP r" + i, clients.get(i).readLine());
      }
      fixture.awaitEvent(Established.class);
      for (int i = 0; i < 3; i++) {
        nextEvent(i, Established.class);
        assertFalse(contains(eventsByModule.get(i), Established.class), "one for each module");
      }
    }
  }
}
