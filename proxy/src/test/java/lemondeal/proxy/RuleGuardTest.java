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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whatever a module orders, no rule of the protocol is broken, and each order that would have is counted. */
class RuleGuardTest {
  private static final String OPEN = "c=chat,d=3000";
  private static final long LATER = 300_000;

  private static Site site(Function<Event, List<Action>> script, String semantics) throws Exception {
    return Site.of(script, setup -> setup.config = text -> Site.withRules(text.replace("\"semantics\":\"idempotent\"",
        "\"semantics\":\"" + semantics + "\",\"group\":\"all\",\"dedupWindow\":200000")));
  }

  /** Sends, and sends again to the same server a while after the attempt has ended; fails what can't be sent then. */
  private static List<Action> sendsAgain(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), Site.SERVER, 0));
    }
    if (event instanceof Ended e && !e.requestFinished()) {
      return e.attempt() == 0 ? List.of(new WakeAfter(LATER, Long.parseLong(e.id(), 16))) : List.of(new Fail(e.id()));
    }
    if (event instanceof Wake e) {
      return List.of(new Send(Long.toHexString(e.token()), Site.SERVER, 0));
    }
    return List.of();
  }

  private static List<Action> refusesAfterwards(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), Site.SERVER, 0));
    }
    return event instanceof Ended e && !e.requestFinished() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  private static void runsOnceAlone(String semantics, String breach) throws Exception {
    try (Site site = site(RuleGuardTest::sendsAgain, semantics)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      server.reset();
      assertEquals(Outcome.RESET, site.await(Ended.class).outcome());
      site.jump(LATER + 10_000);
      assertEquals("ERR", client.line());
      assertEquals(1, site.figure("attempts"), "it may have run once");
      assertEquals(1, site.figure("violations." + breach));
    }
  }

  @Test
  void whatMayHaveRunAndMustNotTwiceIsNotSentAgain() throws Exception {
    runsOnceAlone("at_most_once", "repeated");
  }

  @Test
  void whatMayHaveRunIsNotSentAgainAfterItsWindow() throws Exception {
    runsOnceAlone("deduplicated", "repeated-late");
  }

  @Test
  void whatMayHaveRunIsNotRefused() throws Exception {
    try (Site site = site(RuleGuardTest::refusesAfterwards, "at_most_once")) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      server.reset();
      assertEquals("ERR", client.line());
      assertNull(client.line());
      assertEquals(1, site.figure("violations.refused-after-running"));
    }
  }

  @Test
  void aServerThatDrainsIsNotSentToAfterTheGrace() throws Exception {
    try (Site site = site(RuleGuardTest::sendsAgain, "idempotent")) {
      Peer watch = DiscoveryClockTest.open(site.atDiscovery());
      DiscoveryClockTest.write(watch, DiscoveryClockTest.list(site, 2, false, "in_service"));
      site.await(ServerList.class);
      Peer client = site.client(OPEN);
      site.atServer().send("BUSY\r\n");
      site.await(Ended.class);
      DiscoveryClockTest.write(watch, DiscoveryClockTest.list(site, 3, false, "terminating"));
      site.await(ServerList.class);
      site.jump(2_000_000);
      assertEquals("ERR", client.line());
      assertEquals(1, site.figure("attempts"));
      assertEquals(1, site.figure("violations.sent-to-draining"));
    }
  }

  private static List<Action> sendsOnceOrFails(Event event) {
    if (event instanceof Arrived e) {
      return List.of(new Send(e.request().id(), Site.SERVER, 0));
    }
    return event instanceof Ended e && !e.requestFinished() ? List.of(new Fail(e.id())) : List.of();
  }

  /**
   * A proxy may be held up for 0.15 s before it reads that the server drains, and for 0.15 s between its last look at the
   * clock and the write: the grace has to cover both.
   */
  @ParameterizedTest
  @CsvSource({"0, 1", "30000000, 1", "59750000, 0"})
  void aSendToADrainingServerLeavesTimeForBeingHeldUp(long after, long attempts) throws Exception {
    // A minute's grace, so that it does not matter how long the test itself takes.
    try (Site site = Site.of(RuleGuardTest::sendsOnceOrFails, setup -> setup.config = text ->
        Site.withRules(text).replace("\"drainGrace\":1000000", "\"drainGrace\":60000000"))) {
      Peer watch = DiscoveryClockTest.open(site.atDiscovery());
      DiscoveryClockTest.write(watch, DiscoveryClockTest.list(site, 2, false, "terminating"));
      site.await(ServerList.class);
      site.jump(after);
      Peer client = site.client(OPEN);
      if (attempts > 0) {
        site.atServer().send("ERR\r\n");
      }
      assertEquals("ERR", client.line());
      assertEquals(attempts, site.figure("attempts"));
    }
  }

  @Test
  void aProcessThatStopsIsNotReady() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      ProxyTest.up(site, site.client("c=chat,d=3000"));
      Peer asker = site.client().send("PING\r\n");
      assertEquals("PONG", asker.line());
      Orders.stop(site);
      site.settle();
      asker.send("PING\r\n");
      assertEquals("BUSY", asker.line());
      assertNull(asker.line());
    }
  }

  @Test
  void anOrdinaryRequestCountsNothing() throws Exception {
    try (Site site = site(RuleGuardTest::sendsAgain, "idempotent")) {
      ProxyTest.up(site, site.client(OPEN));
      for (String breach : List.of("repeated", "repeated-late", "refused-after-running", "sent-to-draining",
          "parallel-attempt", "sent-after-answer", "ended-without-answer")) {
        assertEquals(0, site.figure("violations." + breach));
      }
    }
  }
}
