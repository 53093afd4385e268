package lemondeal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigTest {
  private static final Path EXAMPLE = Path.of("../example/config.json");

  @TempDir
  Path folder;

  private Config read(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    return Config.read(Map.of("GW_CONFIG", file.toString()));
  }

  @Test
  void theExampleIsValid() throws IOException {
    Config config = read(Files.readString(EXAMPLE));
    assertEquals(8443, config.listen().getPort());
    assertEquals(List.of("chat"), config.names().classes());
    assertEquals(150_000, config.limits().connectTimeout());
    assertEquals(Config.LoadLineMeaning.DELAYS, config.loadLineMeaning());
    assertTrue(2 * config.limits().maxClients() < 1024, "clients and servers fit the descriptors");
  }

  @Test
  void theEnvironmentOverridesTheFile() {
    Config config = Config.read(Map.of("GW_CONFIG", EXAMPLE.toString(), "GW_LISTEN", "127.0.0.1:99"));
    assertEquals(99, config.listen().getPort());
  }

  /** Each kind of bad configuration is told in one plain line. */
  @Test
  void badConfigurationIsReportedInOneLine() throws IOException {
    String good = Files.readString(EXAMPLE);
    for (String bad : List.of("", "[]", good.substring(0, 80), good.replace("127.0.0.1:8443", "localhost:1"),
        good.replace("8c1f30d27a5be964", "none"), good.replace("\"sockets\": 1024", "\"sockets\": 9"),
        good.replace("\"sockets\": 1024", "\"sockets\": true"), good.replace("idempotent", "maybe"))) {
      ConfigException e = assertThrows(ConfigException.class, () -> read(bad));
      assertFalse(e.getMessage().contains("\n"), e.getMessage());
    }
    assertThrows(ConfigException.class, () -> Config.read(Map.of()));
  }

  /** A stop must be over before the proxy is killed: 0.7 s after the longest deadline, counted as 3 s at most. */
  @Test
  void aStopEndsInTimeAndMovesClientsLate() {
    for (long deadline : new long[] {1_000_000, 2_000_000, 3_000_000, 4_800_000}) {
      Limits limits = Limits.of(1024, 192, 150_000, 5_000_000, deadline);
      long moveEnd = limits.drainAcceptTime() + limits.drainHoldTime() + limits.drainMoveTime();
      assertTrue(moveEnd + limits.lingerTimeout() < limits.drainTimeout(), "moved after " + moveEnd);
      assertTrue(limits.drainTimeout() <= Math.min(deadline, 3_000_000) + 500_000);
    }
    assertTrue(Limits.of(1024, 192, 150_000, 5_000_000, 4_800_000).drainHoldTime() > 500_000, "served meanwhile");
  }

  /** Usual clients may hold a third of the descriptors, and every one of theirs needs another to its server. */
  @Test
  void aThirdOfTheDescriptorsCanHoldClientsWithinTheLimit() {
    for (int sockets : new int[] {256, 384, 612, 1024}) {
      Limits limits = Limits.of(sockets, 144, 150_000, 5_000_000, 2_000_000);
      assertTrue(limits.maxClients() >= sockets / 3, "clients " + limits.maxClients() + " of " + sockets);
      assertTrue(limits.maxAccepted() >= 2 * limits.maxClients() + limits.maxPending() + limits.maxLingering());
      assertTrue(limits.maxAccepted() <= sockets - 40, "room for files, probes and lists");
    }
  }

  /** Two processes side by side once could hold twice the descriptors of one machine. */
  @Test
  void twoProcessesTogetherFitOneMachine() {
    for (int sockets : new int[] {592, 716, 1024}) {
      Limits limits = Limits.of(sockets, 208, 150_000, 5_000_000, 2_000_000, true, Limits.DEFAULT_RINGS_MB);
      assertTrue(limits.maxClients() >= sockets / 3, "either may have them all: " + limits.maxClients());
      int idle = 2 * (limits.maxPending(limits.maxClients() - sockets / 6) + limits.maxLingering());
      assertTrue(2 * sockets / 3 + idle + 2 * 48 <= sockets, idle + " without a request, of " + sockets);
    }
  }

  /**
   * What a process holds beside clients, counted anew: 13 files and 3 to spare; the second address's listener, its
   * callers and one more; a watch and a fetch, each beside the one that it replaces; two that are being closed.
   */
  private static int fixedDescriptors(Limits limits) {
    return 13 + 3 + 1 + limits.maxAdminConnections() + 1 + 4 + 2 + limits.maxProbeLinks();
  }

  /** Descriptors of clients with a request and without one, at the worst, while so many have a request. */
  private static int clientDescriptors(Limits limits, int activeClients) {
    int acceptSlack = 6;
    return 2 * activeClients + limits.maxPending(limits.maxClients() - activeClients) + limits.maxLingering() + acceptSlack;
  }

  /** Idle clients may fill all that is left, and there is still room for discovery, probes and the second address. */
  @Property(tries = 2000, seed = "41")
  void descriptorsSufficeForAnyNumberOfActiveClients(@ForAll @IntRange(min = 128, max = 20_000) int sockets,
      @ForAll @IntRange(min = 64, max = 4096) int memoryMb, @ForAll @IntRange(max = 100) int percentActive) {
    Limits limits = Limits.of(sockets, memoryMb, 150_000, 5_000_000, 2_000_000);
    int activeClients = limits.maxClients() * percentActive / 100;
    assertTrue(fixedDescriptors(limits) + clientDescriptors(limits, activeClients) <= sockets,
        fixedDescriptors(limits) + " and " + clientDescriptors(limits, activeClients) + " of " + sockets);
    assertTrue(fixedDescriptors(limits) + limits.maxAccepted() <= sockets, "no more are accepted than there is room for");
  }

  /** Two processes, whose clients together hold a third of the descriptors, however they are dealt out. */
  @Property(tries = 2000, seed = "42")
  void twoProcessesFitForAnySplitOfClients(@ForAll @IntRange(min = 160, max = 20_000) int sockets,
      @ForAll @IntRange(min = 64, max = 4096) int memoryMb, @ForAll @IntRange(max = 100) int percentInFirst) {
    Limits limits = Limits.of(sockets, memoryMb, 150_000, 5_000_000, 2_000_000, true, Limits.DEFAULT_RINGS_MB);
    int allClients = Math.min(sockets / 3, limits.maxClients());
    int firstClients = allClients * percentInFirst / 100;
    int descriptors = 2 * fixedDescriptors(limits) + clientDescriptors(limits, firstClients) + clientDescriptors(limits, allClients - firstClients);
    assertTrue(descriptors <= sockets, descriptors + " of " + sockets);
  }

  /** Each server of a fleet may have its probe link on the largest machine, and a few of them on the smallest. */
  @Test
  void probeLinksGrowWithTheDescriptors() {
    assertEquals(16, Limits.of(128, 192, 150_000, 5_000_000, 2_000_000).maxProbeLinks());
    assertTrue(Limits.of(1024, 192, 150_000, 5_000_000, 2_000_000).maxProbeLinks() >= 90);
  }

  /**
   * Each client holds a ring a direction: rings bound clients where descriptors don't, by the operator's bound or by an
   * eighth of the memory, whichever is less.
   */
  @Test
  void ringMemoryLimitsClients() {
    for (int ringsMb : new int[] {Limits.DEFAULT_RINGS_MB, 20, 64}) {
      for (int memoryMb : new int[] {96, 192, 1024}) {
        Limits limits = Limits.of(100_000, memoryMb, 150_000, 5_000_000, 2_000_000, false, ringsMb);
        long ringBytes = 2L * limits.maxClients() * limits.ringBytes();
        long allowedBytes = (long) Math.min(ringsMb, memoryMb / 8) << 20;
        assertTrue(ringBytes <= allowedBytes && ringBytes > allowedBytes - 2 * limits.ringBytes(), ringsMb + " MB of rings, " + memoryMb
            + " MB in all: " + limits.maxClients() + " clients");
      }
    }
  }
}
