package lemondeal.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import lemondeal.lab.LineConnection;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real proxy whose wall clock is stepped while it runs, as that of all machines is. */
@Timeout(120)
class ClockStepTest {
  private static final int REQUESTS = 60;
  /** Of two servers alike, one gets about half of the requests once it is warm. */
  private static final int MIN_SERVED = REQUESTS / 6;

  @TempDir
  Path folder;

  /** Slow start is a span of real time: a server that starts after a step is warm when that span is over. */
  @ParameterizedTest
  @ValueSource(longs = {0, 2, 3_600, -2, -3_600})
  void slowStartEndsOnTimeAfterAClockStep(long seconds) throws Exception {
    try (OneProxySite site = new OneProxySite(folder, 2)) {
      Duration step = Duration.ofSeconds(seconds);
      site.proxy.shim().stepWallClock(step);
      SoakServer restarted = site.servers.get(0);
      restarted.crash();
      restarted.restart();
      long startedAt = System.currentTimeMillis() + step.toMillis();
      site.listing.put(restarted, ServerListing.IN_SERVICE, startedAt);
      Threads.sleepMillis(SoakConfig.WARM_WITHIN_MILLIS + 500);
      assertTrue(servedBy(site, restarted) >= MIN_SERVED, () -> site.checker.summary());
      assertEquals(List.of(), site.checker.violations());
    }
  }

  /** How many of the clients that come and go one after another are served there. */
  private static int servedBy(OneProxySite site, SoakServer server) throws Exception {
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      try (LineConnection client = site.sendRequest(RequestClass.READ)) {
        served += client.readLine().startsWith("UP " + server.identity().id() + "-") ? 1 : 0;
      }
    }
    return served;
  }
}
