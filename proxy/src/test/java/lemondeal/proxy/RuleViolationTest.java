package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whatever a module decides, no rule of the protocol is violated, and each decision that would have is counted. */
class RuleViolationTest {
  private static final String OPEN_FIELDS = "c=chat,d=3000";
  private static final long REPEAT_DELAY = 300_000;

  private static ProxyFixture newFixture(Function<Event, List<Action>> script, String semantics) throws Exception {
    return ProxyFixture.of(script, options -> options.editConfig = text -> ProxyFixture.withDefaultRules(
        text.replace("\"semantics\":\"idempotent\"",
            "\"semantics\":\"" + semantics + "\",\"group\":\"all\",\"dedupWindow\":200000")));
  }

  /** Sends, sends again to the same server some time after the attempt has ended, and fails what cannot be sent. */
  private static List<Action> sendAgainLater(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return e.attempt() == 0 ? List.of(new WakeAfter(REPEAT_DELAY, Long.parseLong(e.id(), 16)))
          : List.of(new Fail(e.id()));
    }
    if (event instanceof Wake e) {
      return List.of(new Send(Long.toHexString(e.token()), ProxyFixture.SERVER, 0));
    }
    return List.of();
  }

  private static List<Action> refuseAfterAttempt(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
    }
    return event instanceof Ended e && !e.requestFinished() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  private static void assertRunsOnce(String semantics, String violation) throws Exception {
    try (ProxyFixture fixture = newFixture(RuleViolationTest::sendAgainLater, semantics)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.reset();
      assertEquals(Outcome.RESET, fixture.awaitEvent(Ended.class).outcome());
      fixture.advanceClock(REPEAT_DELAY + 10_000);
      assertEquals("ERR", client.readLine());
      assertEquals(1, fixture.metric("attempts"), "it may have run once");
      assertEquals(1, fixture.metric("violations." + violation));
    }
  }

  @Test
  void anAtMostOnceRequestThatMayHaveRunIsNotSentAgain() throws Exception {
    assertRunsOnce("at_most_once", "repeated");
  }

  @Test
  void aRequestThatMayHaveRunIsNotSentAgainAfterItsWindow() throws Exception {
    assertRunsOnce("deduplicated", "repeated-late");
  }

  @Test
  void aRequestThatMayHaveRunIsNotRefused() throws Exception {
    try (ProxyFixture fixture = newFixture(RuleViolationTest::refuseAfterAttempt, "at_most_once")) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.reset();
      assertEquals("ERR", client.readLine());
      assertNull(client.readLine());
      assertEquals(1, fixture.metric("violations.refused-after-running"));
    }
  }

  @Test
  void nothingIsSentToADrainingServerAfterTheGrace() throws Exception {
    try (ProxyFixture fixture = newFixture(RuleViolationTest::sendAgainLater, "idempotent")) {
      LineSocket watch = DiscoveryWatchTest.answerOk(fixture.acceptAtDiscovery());
      DiscoveryWatchTest.sendChunk(watch, DiscoveryWatchTest.listJson(fixture, 2, false, "in_service"));
      fixture.awaitEvent(ServerList.class);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      fixture.acceptAtServer().send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      DiscoveryWatchTest.sendChunk(watch, DiscoveryWatchTest.listJson(fixture, 3, false, "terminating"));
      fixture.awaitEvent(ServerList.class);
      fixture.advanceClock(2_000_000);
      assertEquals("ERR", client.readLine());
      assertEquals(1, fixture.metric("attempts"));
      assertEquals(1, fixture.metric("violations.sent-to-draining"));
    }
  }

  private static List<Action> sendOnceOrFail(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
    }
    return event instanceof Ended e && !e.requestFinished() ? List.of(new Fail(e.id())) : List.of();
  }

  /**
   * A proxy may pause for 0.15 s before it reads that the server drains, and for 0.15 s between its last reading of the
   * clock and the write: the grace has to cover both.
   */
  @ParameterizedTest
  @CsvSource({"0, 1", "30000000, 1", "59750000, 0"})
  void aSendToADrainingServerLeavesTimeForProcessPauses(long elapsed, long attempts) throws Exception {
    // A grace of one minute, so that the duration of the test itself does not matter.
    try (ProxyFixture fixture = ProxyFixture.of(RuleViolationTest::sendOnceOrFail, options ->
        options.editConfig = text ->
        ProxyFixture.withDefaultRules(text).replace("\"drainGrace\":1000000", "\"drainGrace\":60000000"))) {
      LineSocket watch = DiscoveryWatchTest.answerOk(fixture.acceptAtDiscovery());
      DiscoveryWatchTest.sendChunk(watch, DiscoveryWatchTest.listJson(fixture, 2, false, "terminating"));
      fixture.awaitEvent(ServerList.class);
      fixture.advanceClock(elapsed);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      if (attempts > 0) {
        fixture.acceptAtServer().send("ERR\r\n");
      }
      assertEquals("ERR", client.readLine());
      assertEquals(attempts, fixture.metric("attempts"));
    }
  }

  @Test
  void aStoppingProcessAnswersBusy() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      ProxyTest.establish(fixture, fixture.newClient("c=chat,d=3000"));
      LineSocket pendingClient = fixture.newClient().send("PING\r\n");
      assertEquals("PONG", pendingClient.readLine());
      EventLoopTasks.queueStop(fixture);
      fixture.awaitQueuedWork();
      pendingClient.send("PING\r\n");
      assertEquals("BUSY", pendingClient.readLine());
      assertNull(pendingClient.readLine());
    }
  }

  @Test
  void anOrdinaryRequestCountsNoViolation() throws Exception {
    try (ProxyFixture fixture = newFixture(RuleViolationTest::sendAgainLater, "idempotent")) {
      ProxyTest.establish(fixture, fixture.newClient(OPEN_FIELDS));
      for (String violation : List.of("repeated", "repeated-late", "refused-after-running", "sent-to-draining",
          "parallel-attempt", "sent-after-answer", "ended-without-answer")) {
        assertEquals(0, fixture.metric("violations." + violation));
      }
    }
  }
}
