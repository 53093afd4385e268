package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.MessageDelay;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a LOAD line is taken for where servers tell both loads and delays. */
@Timeout(20)
class LoadLinesTest {
  private static final String BOTH = "\"tellsDelay\":true,\"tellsLoad\":true,";

  /** The delays of servers that tell loads too once all went for loads: no client was ever kept or moved away. */
  @Test
  void aFigureFarUnderTheUsualLoadIsADelay() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, BOTH)) {
      Peer server = ProxyTest.up(site, site.client(ProxyTest.OPEN + ",h=52000"));
      server.send("LOAD 1006.605\r\n");
      assertEquals(1006.605, site.await(MessageDelay.class).millis());
      server.send("LOAD 4564.61\r\n");
      assertEquals(4564.61, site.await(LoadChanged.class).load(), "an idle connection's load");
    }
  }

  @Test
  void withoutAHintAFigureIsALoad() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce, BOTH)) {
      ProxyTest.up(site, site.client(ProxyTest.OPEN)).send("LOAD 40\r\n");
      assertEquals(40, site.await(LoadChanged.class).load());
    }
  }
}
