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
    assertTrue(2 * config.limits().maxClients() < 1024, "client and server links fit the descriptors");
  }

  @Test
  void theEnvironmentOverridesTheFile() {
    Config config = Config.read(Map.of("GW_CONFIG", EXAMPLE.toString(), "GW_LISTEN", "127.0.0.1:99"));
    assertEquals(99, config.listen().getPort());
  }

  /** Every kind of invalid configuration is reported in one line. */
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

  /** The proxy is killed 0.7 s after the longest deadline, which counts as 3 s at most; a stop must end before. */
  @Test
  void aStopEndsInTimeAndMovesClientsLate() {
    for (long deadline : new long[] {1_000_000, 2_000_000, 3_000_000, 4_800_000}) {
      Limits limits = Limits.of(1024, 192, 150_000, 5_000_000, deadline);
      long moveEnd = limits.drainAcceptTime() + limits.drainHoldTime() + limits.drainMoveTime();
      assertTrue(moveEnd + limits.lingerTimeout() < limits.drainTimeout(), "last client moved after " + moveEnd);
      assertTrue(limits.drainTimeout() <= Math.min(deadline, 3_000_000) + 500_000);
    }
    assertTrue(Limits.of(1024, 192, 150_000, 5_000_000, 4_800_000).drainHoldTime() > 500_000, "served before the move");
  }

  /** Regular clients may hold a third of the descriptors, and each needs a second one for its server link. */
  @Test
  void aThirdOfTheDescriptorsCanHoldClientsWithinTheLimit() {
    for (int sockets : new int[] {256, 384, 612, 1024}) {
      Limits limits = Limits.of(sockets, 144, 150_000, 5_000_000, 2_000_000);
      assertTrue(limits.maxClients() >= sockets / 3, "clients " + limits.maxClients() + " of " + sockets);
      assertTrue(limits.maxAccepted() >= 2 * limits.maxClients() + limits.maxPending() + limits.maxLingering());
      assertTrue(limits.maxAccepted() <= sockets - 40, "descriptors are left for files, probes and discovery");
    }
  }

  /** Without common limits, two processes on one machine could use twice its descriptors. */
  @Test
  void twoProcessesTogetherFitOneMachine() {
    for (int sockets : new int[] {592, 716, 1024}) {
      Limits limits = Limits.of(sockets, 208, 150_000, 5_000_000, 2_000_000, true, Limits.DEFAULT_RINGS_MB);
      assertTrue(limits.maxClients() >= sockets / 3, "one process can hold all clients: " + limits.maxClients());
      int idle = 2 * (limits.maxPending(limits.maxClients() - sockets / 6) + limits.maxLingering());
      assertTrue(2 * sockets / 3 + idle + 2 * 48 <= sockets, idle + " connections without a request, of " + sockets);
    }
  }

  /**
   * Descriptors of a process that are not for clients, computed independently: 13 files and 3 in reserve; the admin
   * endpoint's listener, its connections and one more; a watch and a fetch of discovery, each with its replacement; two
   * that are being closed; and links for probes.
   */
  private static int fixedDescriptors(Limits limits) {
    return 13 + 3 + 1 + limits.maxAdminConnections() + 1 + 4 + 2 + limits.maxProbeLinks();
  }

  /** Maximum number of descriptors of clients with and without a request, while this many have a request. */
  private static int clientDescriptors(Limits limits, int activeClients) {
    int acceptSlack = 6;
    return 2 * activeClients + limits.maxPending(limits.maxClients() - activeClients) + limits.maxLingering()
        + acceptSlack;
  }

  /** Idle clients may use all remaining capacity without taking it from discovery, probes and the admin endpoint. */
  @Property(tries = 2000, seed = "41")
  void descriptorsSufficeForAnyNumberOfActiveClients(@ForAll @IntRange(min = 128, max = 20_000) int sockets,
      @ForAll @IntRange(min = 64, max = 4096) int memoryMb, @ForAll @IntRange(max = 100) int percentActive) {
    Limits limits = Limits.of(sockets, memoryMb, 150_000, 5_000_000, 2_000_000);
    int activeClients = limits.maxClients() * percentActive / 100;
    assertTrue(fixedDescriptors(limits) + clientDescriptors(limits, activeClients) <= sockets,
        fixedDescriptors(limits) + " and " + clientDescriptors(limits, activeClients) + " of " + sockets);
    assertTrue(fixedDescriptors(limits) + limits.maxAccepted() <= sockets, "accepted connections fit the descriptors");
  }

  /** Two processes whose clients together hold a third of the descriptors, split between them in any ratio. */
  @Property(tries = 2000, seed = "42")
  void twoProcessesFitForAnySplitOfClients(@ForAll @IntRange(min = 160, max = 20_000) int sockets,
      @ForAll @IntRange(min = 64, max = 4096) int memoryMb, @ForAll @IntRange(max = 100) int percentInFirst) {
    Limits limits = Limits.of(sockets, memoryMb, 150_000, 5_000_000, 2_000_000, true, Limits.DEFAULT_RINGS_MB);
    int allClients = Math.min(sockets / 3, limits.maxClients());
    int firstClients = allClients * percentInFirst / 100;
    int descriptors = 2 * fixedDescriptors(limits) + clientDescriptors(limits, firstClients)
        + clientDescriptors(limits, allClients - firstClients);
    assertTrue(descriptors <= sockets, descriptors + " of " + sockets);
  }

  /** The largest machine allows a probe link to each server of a fleet, the smallest only a few. */
  @Test
  void probeLinksGrowWithTheDescriptors() {
    assertEquals(16, Limits.of(128, 192, 150_000, 5_000_000, 2_000_000).maxProbeLinks());
    assertTrue(Limits.of(1024, 192, 150_000, 5_000_000, 2_000_000).maxProbeLinks() >= 90);
  }

  /**
   * Each client needs a ring buffer per direction. Where descriptors are plentiful, ring memory limits the clients: the
   * operator's limit or an eighth of the memory, whichever is less.
   */
  @Test
  void ringMemoryLimitsClients() {
    for (int ringsMb : new int[] {Limits.DEFAULT_RINGS_MB, 20, 64}) {
      for (int memoryMb : new int[] {96, 192, 1024}) {
        Limits limits = Limits.of(100_000, memoryMb, 150_000, 5_000_000, 2_000_000, false, ringsMb);
        long ringBytes = 2L * limits.maxClients() * limits.ringBytes();
        long allowedBytes = (long) Math.min(ringsMb, memoryMb / 8) << 20;
        assertTrue(ringBytes <= allowedBytes && ringBytes > allowedBytes - 2 * limits.ringBytes(),
            ringsMb + " MB of rings, " + memoryMb + " MB in all: " + limits.maxClients() + " clients");
      }
    }
  }
}
