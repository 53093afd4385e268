package lemondeal.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import lemondeal.lab.ServeProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three real proxies that tell each other rows, with faults between them. Times are waited for, not held to. */
@Timeout(240)
class FleetSiteTest {
  private static final String ALL = "n0 n1 n2";
  private static final long PATIENCE = 60;

  private FleetSite site;

  @BeforeEach
  void start() throws Exception {
    site = new FleetSite(3, 24, "life: 2s\ntell: 200ms", new InetSocketAddress("127.0.0.1", 9));
    for (int i = 0; i < 3; i++) {
      site.start(i);
    }
    awaitAll();
  }

  @AfterEach
  void close() {
    site.close();
  }

  private void awaitAll() throws Exception {
    for (int i = 0; i < 3; i++) {
      site.awaitSight(i, ALL, PATIENCE);
    }
  }

  /** Cut off with its connections reset, then with its connections held and nothing said. */
  @Test
  void whoIsCutOffIsAbsentAfterItsLifeAndComesBack() throws Exception {
    for (Passage passage : new Passage[] {Passage.CUT, Passage.STALLED}) {
      site.let(2, passage);
      site.awaitSight(0, "n0 n1", PATIENCE);
      site.awaitSight(1, "n0 n1", PATIENCE);
      site.awaitSight(2, "n2", PATIENCE);
      assertTrue(site.proxy(2).log().stream().anyMatch(line ->
          line.contains("\"not_in_sight\":\"n0 n1\",\"majority\":false")));
      site.let(2, Passage.OPEN);
      awaitAll();
    }
  }

  /** A cut in one direction parts the pair, and nobody else. */
  @Test
  void aCutInOneDirectionPartsThePairAlone() throws Exception {
    site.relay(0, 2).let(Passage.STALLED);
    site.awaitSight(0, "n0 n1", PATIENCE);
    site.awaitSight(2, "n1 n2", PATIENCE);
    assertEquals(ALL, site.sight(1));
    site.relay(0, 2).let(Passage.OPEN);
    awaitAll();
  }

  /** Rows that come each 200 ms and were made three lives ago are no news. */
  @Test
  void whatARelayHeldForLongIsOld() throws Exception {
    site.relay(1, 0).let(Passage.delayed(6_000, 0));
    site.awaitSight(0, "n0 n2", PATIENCE);
    assertEquals(ALL, site.sight(2));
    site.relay(1, 0).let(Passage.delayed(300, 50));
    awaitAll();
  }

  /** A stalled proxy is absent, and when it wakes finds that its own rows have aged, too. */
  @Test
  void aStalledProxyIsAbsentAndComesBack() throws Exception {
    site.signal(1, "STOP");
    site.awaitSight(0, "n0 n2", PATIENCE);
    site.awaitSight(2, "n0 n2", PATIENCE);
    site.signal(1, "CONT");
    awaitAll();
  }

  @Test
  void aKilledProxyComesBackAsANewIncarnation() throws Exception {
    site.proxy(1).kill();
    site.awaitSight(0, "n0 n2", PATIENCE);
    site.start(1);
    awaitAll();
    assertTrue(site.proxy(0).log().stream().anyMatch(line -> line.contains("\"event\":\"fleet-restarted\"")
        && line.contains("\"member\":\"n1\"")), site.proxy(0).log().toString());
  }

  @Test
  void garbageOnThePortHarmsNobody() throws Exception {
    Random random = new Random(24);
    for (int i = 0; i < 60; i++) {
      byte[] noise = new byte[random.nextInt(5000)];
      random.nextBytes(noise);
      try (Socket socket = new Socket()) {
        socket.connect(site.listen(0), 5000);
        if (i % 2 == 0) {
          socket.getOutputStream().write("bela".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
        socket.getOutputStream().write(noise);
      } catch (IOException e) {
        // Closed on it: so it should be.
      }
    }
    site.let(1, Passage.CUT);
    site.awaitSight(0, "n0 n2", PATIENCE);
    site.let(1, Passage.OPEN);
    awaitAll();
    assertTrue(site.proxy(0).isAlive());
  }

  /** Faults of all kinds at once, drawn from a seed: when they are over, all see all. */
  @Test
  void allSeeAllWhenADrawnDayOfFaultsIsOver() throws Exception {
    SiteScript.drawn(24, 3, 24, 12_000).play(site);
    awaitAll();
    assertEquals(SiteScript.drawn(7, 3, 9, 5_000), SiteScript.drawn(7, 3, 9, 5_000));
  }

  /** Proxies that stand still, die, are parted and slow at once, as a script says. */
  @Test
  void allSeeAllWhenAScriptIsOver() throws Exception {
    SiteScript.read("""
        at 0s stall n0 from n1,n2 for 3s
        at 1s stop n1 for 4s
        at 2s kill n2 for 2s
        at 5s delay all by 50ms spread 100ms for 3s
        at 6s lose n1 to n0 by 0.5 for 1s
        """).play(site);
    awaitAll();
    assertThrows(IllegalArgumentException.class, () -> SiteScript.read("at 3 cut n0"));
  }

  /** Where the platform's settings forbid it, the section is refused: file, line, why, exit 2. */
  @Test
  void theSectionIsRefusedWhereProxiesMayNotTell() throws Exception {
    ProcessBuilder builder = new ProcessBuilder(ServeProcess.command("serve")).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.keySet().removeIf(name -> name.startsWith("GW_"));
    environment.put("GW_CONFIG", site.config(0, false).toString());
    environment.put("GW_OPERATOR_CONFIG", site.operatorFile(0).toString());
    Process refused = builder.start();
    String said = new String(refused.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    assertEquals(2, refused.waitFor(), said);
    assertTrue(said.contains("operator-0.yaml:3:1: fleet: the platform's settings forbid"), said);
    assertEquals(1, said.lines().count(), said);
  }
}
