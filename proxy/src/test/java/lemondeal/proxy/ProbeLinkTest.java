package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Wake;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The pool of links kept for probes: its limit, and races on a single link. */
@Timeout(60)
class ProbeLinkTest {
  private static final String REPORT = "PONG inflight=7\r\n";
  private static final long SECOND = 1_000_000;

  /** Probes the server whose index is the wake-up's token. */
  private static List<Action> probeOnWake(Event event) {
    return event instanceof Wake wake ? List.of(new Probe("s-" + (wake.token() + 1))) : ProxyTest.sendOnce(event);
  }

  private static ProxyFixture newFixture(int servers) throws Exception {
    return ProxyFixture.of(ProbeLinkTest::probeOnWake, options -> {
      options.maxSockets = 128;
      options.serverCount = servers;
    });
  }

  private static void probe(ProxyFixture fixture, int server) throws Exception {
    fixture.runOnEventLoop(() -> fixture.proxy.wake(server));
  }

  /** Probes this server; returns the link on which the probe arrives. */
  private static LineSocket probeAndAccept(ProxyFixture fixture, int server) throws Exception {
    probe(fixture, server);
    LineSocket link = fixture.acceptAtServer(server);
    assertEquals("STATS", link.readLine());
    return link;
  }

  private static void assertResult(ProxyFixture fixture, int server, Outcome outcome) throws Exception {
    ProbeResult result = fixture.awaitEvent(ProbeResult.class);
    assertEquals(fixture.serverId(server), result.server());
    assertEquals(outcome, result.outcome());
  }

  /** Guards against keeping a link for each server of the fleet regardless of the limit. */
  @Test
  void theLongestIdleLinkIsClosedBeyondTheLimit() throws Exception {
    try (ProxyFixture fixture = newFixture(18)) {
      int maxLinks = fixture.limits().maxProbeLinks();
      List<LineSocket> links = new ArrayList<>();
      for (int i = 0; i < maxLinks; i++) {
        links.add(probeAndAccept(fixture, i).send(REPORT));
        assertResult(fixture, i, Outcome.SERVED);
      }
      probe(fixture, 0);
      assertEquals("STATS", links.get(0).readLine());
      links.get(0).send(REPORT);
      assertResult(fixture, 0, Outcome.SERVED);
      probeAndAccept(fixture, maxLinks).send(REPORT);
      assertResult(fixture, maxLinks, Outcome.SERVED);
      assertNull(links.get(1).readLine(), "the link idle for the longest time");
      probe(fixture, 0);
      assertEquals("STATS", links.get(0).readLine(), "probed more recently");
    }
  }

  /** With a probe in progress on each link there is no room for another; this says nothing about the server. */
  @Test
  void aProbeWithoutAFreeLinkIsReportedAsNotSent() throws Exception {
    try (ProxyFixture fixture = newFixture(18)) {
      int maxLinks = fixture.limits().maxProbeLinks();
      List<LineSocket> links = new ArrayList<>();
      for (int i = 0; i < maxLinks; i++) {
        links.add(probeAndAccept(fixture, i));
      }
      probe(fixture, maxLinks);
      assertResult(fixture, maxLinks, Outcome.NOT_SENT);
      links.get(3).send(REPORT);
      assertResult(fixture, 3, Outcome.SERVED);
      probeAndAccept(fixture, maxLinks).send(REPORT);
      assertResult(fixture, maxLinks, Outcome.SERVED);
      assertNull(links.get(3).readLine());
    }
  }

  /** However a link ends, its place in the pool is free again. */
  @Test
  void failedLinksFreeTheirPlaces() throws Exception {
    try (ProxyFixture fixture = newFixture(18)) {
      for (int i = 0; i < 2 * fixture.limits().maxProbeLinks(); i++) {
        LineSocket link = probeAndAccept(fixture, i % 18);
        switch (i % 3) {
          case 0 -> link.close();
          case 1 -> link.reset();
          default -> link.send("no such answer\r\nPONG\r\n");
        }
        assertResult(fixture, i % 18, i % 3 == 2 ? Outcome.ERROR : Outcome.RESET);
      }
      fixture.stopServer(17);
      probe(fixture, 17);
      assertResult(fixture, 17, Outcome.NO_CONNECTION);
      for (int i = 0; i < fixture.limits().maxProbeLinks(); i++) {
        probeAndAccept(fixture, i);
      }
    }
  }

  /** Guards against excluding a server that closed its idle link just before a probe was sent on it. */
  @Test
  void aProbeThatRacesWithTheCloseOfAnIdleLinkIsRetried() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (ProxyFixture fixture = newFixture(1)) {
        LineSocket link = probeAndAccept(fixture, 0).send(REPORT);
        assertResult(fixture, 0, Outcome.SERVED);
        try (EventLoopPause pause = fixture.pauseEventLoop()) {
          fixture.proxy.executor().execute(() -> fixture.proxy.wake(0));
          closeLink(link, reset);
          pause.resume();
        }
        LineSocket newLink = fixture.acceptAtServer();
        assertEquals("STATS", newLink.readLine());
        newLink.send(REPORT);
        assertResult(fixture, 0, Outcome.SERVED);
      }
    }
  }

  /** The other order: the close is seen first. */
  @Test
  void aProbeAfterTheCloseOfAnIdleLinkOpensANewLink() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (ProxyFixture fixture = newFixture(1)) {
        LineSocket link = probeAndAccept(fixture, 0).send(REPORT);
        assertResult(fixture, 0, Outcome.SERVED);
        closeLink(link, reset);
        fixture.awaitQueuedWork();
        probeAndAccept(fixture, 0).send(REPORT);
        assertResult(fixture, 0, Outcome.SERVED);
      }
    }
  }

  /** Only a link that has answered before is retried after a close, and only once. */
  @Test
  void aServerThatClosesEachLinkDuringItsProbeIsReported() throws Exception {
    try (ProxyFixture fixture = newFixture(1)) {
      probeAndAccept(fixture, 0).close();
      assertResult(fixture, 0, Outcome.RESET);
      LineSocket link = probeAndAccept(fixture, 0).send(REPORT);
      assertResult(fixture, 0, Outcome.SERVED);
      probe(fixture, 0);
      assertEquals("STATS", link.readLine());
      link.close();
      LineSocket newLink = fixture.acceptAtServer();
      assertEquals("STATS", newLink.readLine());
      newLink.close();
      assertResult(fixture, 0, Outcome.RESET);
    }
  }

  private static void closeLink(LineSocket link, boolean reset) throws Exception {
    if (reset) {
      link.reset();
    } else {
      link.endSending();
    }
    link.awaitCloseReceived();
  }

  /** Guards against restarting the timeout with each further probe: a hanging server was then never reported. */
  @Test
  void aHangingServerIsReportedDespiteFurtherProbes() throws Exception {
    try (ProxyFixture fixture = newFixture(1)) {
      LineSocket link = probeAndAccept(fixture, 0);
      for (int i = 0; i < 3; i++) {
        fixture.advanceClock(3 * SECOND / 10);
        probe(fixture, 0);
        assertEquals("STATS", link.readLine());
      }
      fixture.advanceClock(2 * SECOND / 10);
      assertEquals(4, fixture.events.stream().filter(ProbeResult.class::isInstance).count(), "all reported by now");
      for (int i = 0; i < 4; i++) {
        assertResult(fixture, 0, Outcome.TIMED_OUT);
      }
    }
  }

  /** An answer in time does not shorten the next probe's timeout. */
  @Test
  void eachProbeHasItsOwnTimeout() throws Exception {
    try (ProxyFixture fixture = newFixture(1)) {
      LineSocket link = probeAndAccept(fixture, 0);
      fixture.advanceClock(6 * SECOND / 10);
      probe(fixture, 0);
      link.send(REPORT);
      assertResult(fixture, 0, Outcome.SERVED);
      fixture.advanceClock(6 * SECOND / 10);
      link.send(REPORT);
      assertResult(fixture, 0, Outcome.SERVED);
    }
  }
}
