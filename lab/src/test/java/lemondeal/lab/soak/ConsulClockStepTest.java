package lemondeal.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemondeal.lab.consul.ConsulTestCluster;
import lemondeal.lab.consul.ShortConnectionClients;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A real proxy with Consul discovery, whose wall clock is stepped while a server is held back after a failure. */
@Timeout(120)
class ConsulClockStepTest {
  private static final long QUIET_SECONDS = 2;
  private static final long TIMEOUT_SECONDS = 20;

  @TempDir
  Path folder;

  private static void awaitRequest(ConsulTestCluster site, String server, long sinceNanos) throws InterruptedException {
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (site.server(server).lastOpenNanos() < sinceNanos) {
      assertTrue(System.nanoTime() < giveUpAt, () -> server + " received no request; the proxy's log:\n"
          + String.join("\n", site.proxies().get(0).log()));
      Threads.sleepMillis(20);
    }
  }

  /** The quiet period must be real time: a clock step forward must not shorten it, and a step back not extend it. */
  @ParameterizedTest
  @ValueSource(longs = {-3_600, 3_600})
  void aFailedServerReturnsAfterItsQuietPeriodDespiteAClockStep(long seconds) throws Exception {
    FaultShim shim = FaultShim.create(FaultShim.compile(folder), folder.resolve("shim"));
    String damping = "damping: {quiet: " + QUIET_SECONDS + "s, most: 8s, forget: 60s}";
    try (ConsulTestCluster site = new ConsulTestCluster(1, 2, damping, shim.environment());
        ShortConnectionClients clients = new ShortConnectionClients(site::nextProxyAddress, 6,
            ConsulTestCluster.CHAT_CLASS)) {
      awaitRequest(site, "s-1", System.nanoTime());
      site.consul().catalogue().setStatus(site.consulKey("s-1"), "critical");
      // The proxy learns of the failure within a second and sends the server no new requests from then on.
      Threads.sleepMillis(1_500);
      long failedAt = System.nanoTime();
      shim.stepWallClock(Duration.ofSeconds(seconds));
      site.consul().catalogue().setStatus(site.consulKey("s-1"), "passing");
      awaitRequest(site, "s-1", failedAt);
      long quietMillis = TimeUnit.NANOSECONDS.toMillis(site.server("s-1").lastOpenNanos() - failedAt);
      // The proxy last saw the server fail at most 1.5 s earlier.
      assertTrue(quietMillis > QUIET_SECONDS * 1_000 - 1_500,
          "the server received requests again after only " + quietMillis + " ms");
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }
}
