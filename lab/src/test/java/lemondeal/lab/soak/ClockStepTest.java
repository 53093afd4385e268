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

/** A real proxy whose wall clock is stepped while it runs, as clock synchronization does on any machine. */
@Timeout(120)
class ClockStepTest {
  private static final int REQUESTS = 60;
  /** Each of two equal servers gets about half of the requests once its slow start is over. */
  private static final int MIN_SERVED = REQUESTS / 6;

  @TempDir
  Path folder;

  /** Slow start must take real time: a server that starts after a clock step is warm once that time has passed. */
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

  /** Connects clients one after another and returns how many of them this server serves. */
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
