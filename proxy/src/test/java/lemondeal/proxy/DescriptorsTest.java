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
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Links that are kept for probes: bounded together, and what may cross on one of them. */
@Timeout(60)
class DescriptorsTest {
  private static final String REPORT = "PONG inflight=7\r\n";
  private static final long SECOND = 1_000_000;

  /** A wake with a server's number probes that server. */
  private static List<Action> probeWoken(Event event) {
    return event instanceof Wake wake ? List.of(new Probe("s-" + (wake.token() + 1))) : ProxyTest.sendOnce(event);
  }

  private static Site site(int servers) throws Exception {
    return Site.of(DescriptorsTest::probeWoken, setup -> {
      setup.sockets = 128;
      setup.servers = servers;
    });
  }

  private static void probe(Site site, int server) throws Exception {
    site.onThread(() -> site.proxy.wake(server));
  }

  /** The link on which a probe of this server has come. */
  private static Peer probed(Site site, int server) throws Exception {
    probe(site, server);
    Peer link = site.atServer(server);
    assertEquals("STATS", link.line());
    return link;
  }

  private static void assertResult(Site site, int server, Outcome outcome) throws Exception {
    ProbeResult result = site.await(ProbeResult.class);
    assertEquals(site.server(server), result.server());
    assertEquals(outcome, result.outcome());
  }

  /** One was kept for each server of the fleet, whatever was set aside for them. */
  @Test
  void beyondTheBoundTheLinkIdleForTheLongestCloses() throws Exception {
    try (Site site = site(18)) {
      int most = site.limits().maxProbeLinks();
      List<Peer> links = new ArrayList<>();
      for (int i = 0; i < most; i++) {
        links.add(probed(site, i).send(REPORT));
        assertResult(site, i, Outcome.SERVED);
      }
      probe(site, 0);
      assertEquals("STATS", links.get(0).line());
      links.get(0).send(REPORT);
      assertResult(site, 0, Outcome.SERVED);
      probed(site, most).send(REPORT);
      assertResult(site, most, Outcome.SERVED);
      assertNull(links.get(1).line(), "idle for the longest");
      probe(site, 0);
      assertEquals("STATS", links.get(0).line(), "asked since");
    }
  }

  /** With a probe out on each link there is no place: that says nothing of the server. */
  @Test
  void aProbeWithoutAPlaceIsToldAsNotSent() throws Exception {
    try (Site site = site(18)) {
      int most = site.limits().maxProbeLinks();
      List<Peer> links = new ArrayList<>();
      for (int i = 0; i < most; i++) {
        links.add(probed(site, i));
      }
      probe(site, most);
      assertResult(site, most, Outcome.NOT_SENT);
      links.get(3).send(REPORT);
      assertResult(site, 3, Outcome.SERVED);
      probed(site, most).send(REPORT);
      assertResult(site, most, Outcome.SERVED);
      assertNull(links.get(3).line());
    }
  }

  /** Whatever ends a link, its place is free again. */
  @Test
  void linksThatFailGiveTheirPlacesBack() throws Exception {
    try (Site site = site(18)) {
      for (int i = 0; i < 2 * site.limits().maxProbeLinks(); i++) {
        Peer link = probed(site, i % 18);
        switch (i % 3) {
          case 0 -> link.close();
          case 1 -> link.reset();
          default -> link.send("no such answer\r\nPONG\r\n");
        }
        assertResult(site, i % 18, i % 3 == 2 ? Outcome.ERROR : Outcome.RESET);
      }
      site.stopServer(17);
      probe(site, 17);
      assertResult(site, 17, Outcome.NO_CONNECTION);
      for (int i = 0; i < site.limits().maxProbeLinks(); i++) {
        probed(site, i);
      }
    }
  }

  /** The server closes the idle link, and a probe goes out before that is seen: the server was passed over for it. */
  @Test
  void aProbeThatCrossesWithTheEndOfAnIdleLinkIsMadeAnew() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (Site site = site(1)) {
        Peer link = probed(site, 0).send(REPORT);
        assertResult(site, 0, Outcome.SERVED);
        try (Held held = site.hold()) {
          site.proxy.executor().execute(() -> site.proxy.wake(0));
          end(link, reset);
          held.release();
        }
        Peer fresh = site.atServer();
        assertEquals("STATS", fresh.line());
        fresh.send(REPORT);
        assertResult(site, 0, Outcome.SERVED);
      }
    }
  }

  /** The other order: the end is seen first. */
  @Test
  void aProbeAfterTheEndOfAnIdleLinkHasALinkOfItsOwn() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (Site site = site(1)) {
        Peer link = probed(site, 0).send(REPORT);
        assertResult(site, 0, Outcome.SERVED);
        end(link, reset);
        site.settle();
        probed(site, 0).send(REPORT);
        assertResult(site, 0, Outcome.SERVED);
      }
    }
  }

  /** A link that has brought no answer yet is no idle one; and it is made anew once, not for ever. */
  @Test
  void aServerThatEndsEachLinkUnderItsProbeIsTold() throws Exception {
    try (Site site = site(1)) {
      probed(site, 0).close();
      assertResult(site, 0, Outcome.RESET);
      Peer link = probed(site, 0).send(REPORT);
      assertResult(site, 0, Outcome.SERVED);
      probe(site, 0);
      assertEquals("STATS", link.line());
      link.close();
      Peer fresh = site.atServer();
      assertEquals("STATS", fresh.line());
      fresh.close();
      assertResult(site, 0, Outcome.RESET);
    }
  }

  private static void end(Peer link, boolean reset) throws Exception {
    if (reset) {
      link.reset();
    } else {
      link.endSending();
    }
    link.awaitEndQueued();
  }

  /** Each further probe once began the time anew, and a server that hangs under traffic was never told. */
  @Test
  void aServerThatHangsIsToldThoughItIsAskedAgain() throws Exception {
    try (Site site = site(1)) {
      Peer link = probed(site, 0);
      for (int i = 0; i < 3; i++) {
        site.jump(3 * SECOND / 10);
        probe(site, 0);
        assertEquals("STATS", link.line());
      }
      site.jump(2 * SECOND / 10);
      assertEquals(4, site.events.stream().filter(ProbeResult.class::isInstance).count(), "told by now");
      for (int i = 0; i < 4; i++) {
        assertResult(site, 0, Outcome.TIMED_OUT);
      }
    }
  }

  /** An answer in time leaves the next one its own time. */
  @Test
  void eachProbeHasItsOwnTime() throws Exception {
    try (Site site = site(1)) {
      Peer link = probed(site, 0);
      site.jump(6 * SECOND / 10);
      probe(site, 0);
      link.send(REPORT);
      assertResult(site, 0, Outcome.SERVED);
      site.jump(6 * SECOND / 10);
      link.send(REPORT);
      assertResult(site, 0, Outcome.SERVED);
    }
  }
}
