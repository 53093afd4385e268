package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Settings;
import lemondeal.config.Limits;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a LOAD line is interpreted where servers report both loads and delays. */
@Timeout(20)
class LoadLinesTest {
  private static final String LOADS_AND_DELAYS = "\"tellsDelay\":true,\"tellsLoad\":true,";

  /** Guards against taking all delays for loads where servers report both: no client was kept or moved then. */
  @Test
  void aValueFarBelowTheUsualLoadIsADelay() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, LOADS_AND_DELAYS)) {
      LineSocket server = ProxyTest.establish(fixture, fixture.newClient(ProxyTest.OPEN_FIELDS + ",h=52000"));
      server.send("LOAD 1006.605\r\n");
      assertEquals(1006.605, fixture.awaitEvent(MessageDelay.class).millis());
      server.send("LOAD 4564.61\r\n");
      assertEquals(4564.61, fixture.awaitEvent(LoadChanged.class).load(), "the load of an idle connection");
    }
  }

  /** A long delay on a lightly loaded connection looks like a load; that it continues the last delay shows it. */
  @Test
  void aValueThatContinuesTheDelaySeriesIsADelay() {
    Settings settings = new Settings(0, 1, 0, List.of(), List.of(), null, null, null, null, false, false, false, false,
        false, 0);
    DelayMeter delayMeter = new DelayMeter(settings, Limits.of(1024, 192, 150_000, 5_000_000, 3_000_000), event -> { });
    delayMeter.recordServerReported(5_000_000, "s", 1106.7);
    assertTrue(delayMeter.continuesDelaySeries(6_010_000, "s", 1840.7));
    assertFalse(delayMeter.continuesDelaySeries(6_010_000, "s", 5178.7), "too far from the last delay");
    assertFalse(delayMeter.continuesDelaySeries(5_600_000, "s", 1840.7), "less than a second later");
    assertFalse(delayMeter.continuesDelaySeries(6_010_000, "other", 1840.7));
  }

  @Test
  void withoutAHintAValueIsALoad() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, LOADS_AND_DELAYS)) {
      ProxyTest.establish(fixture, fixture.newClient(ProxyTest.OPEN_FIELDS)).send("LOAD 40\r\n");
      assertEquals(40, fixture.awaitEvent(LoadChanged.class).load());
    }
  }
}
