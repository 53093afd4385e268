package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer.Ended;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A connection that brings nothing back is moved within 7 s of its falling silent, whenever the client's next line came. */
@Timeout(60)
class SilenceTest {
  private static final long SECOND = 1_000_000;
  private static final long CLIENTS_PACE = 2 * SECOND;
  private static final long LATEST = 7 * SECOND;
  /** A proxy on part of a core may stand still for so long. */
  private static final long STANDSTILL = SECOND / 2;

  @ParameterizedTest
  @ValueSource(strings = {"", "hal"})
  void aConnectionThatFellSilentBehindAnAnswerIsMovedInTime(String half) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client("c=chat,d=2000");
      Peer server = up(site, client);
      client.send("one\r\n");
      assertEquals("one", server.line());
      server.send("one\r\n" + half);
      assertEquals("one", client.line());
      // From here on it is silent, and nobody can know before the client's next line.
      site.jump(CLIENTS_PACE);
      client.send("two\r\n");
      assertEquals("two", server.line());
      for (long passed = CLIENTS_PACE; passed < LATEST - STANDSTILL; passed += SECOND / 10) {
        site.jump(SECOND / 10);
      }
      assertTrue(site.events.stream().anyMatch(Ended.class::isInstance), "it is still left waiting");
      assertEquals("MOVE", client.line());
    }
  }

  @Test
  void oneThatAnswersLateIsLeftAlone() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client("c=chat,d=2000");
      Peer server = up(site, client);
      client.send("one\r\n");
      assertEquals("one", server.line());
      for (int i = 0; i < 30; i++) {
        site.jump(SECOND / 10);
      }
      server.send("one\r\n");
      assertEquals("one", client.line());
      assertTrue(site.events.stream().noneMatch(Ended.class::isInstance));
    }
  }
}
