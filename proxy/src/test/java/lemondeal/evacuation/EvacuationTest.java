package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.IntPredicate;
import net.jqwik.api.Example;

/** The normal course of an evacuation and each of its rules, with five proxies whose reports arrive without delay. */
class EvacuationTest {
  private static final EvacuationSettings SETTINGS = EvacuationSettings.DEFAULT;
  private static final SlowStartRamp RAMP = new SlowStartRamp(5, 20, 9_000);
  /** Proxies 0 and 1 run in zone 0, 2 and 3 in zone 1, 4 in zone 2. */
  private static final int[] ZONES = {0, 0, 1, 1, 2};

  private long now = 100_000;
  private final Evacuation[] fleet = new Evacuation[5];
  private final Map<String, Long> decisionTimes = new HashMap<>();
  private IntPredicate running = proxy -> true;
  private BiPredicate<Integer, Integer> connected = (from, to) -> true;
  /** Whether a proxy can reach a zone. */
  private BiPredicate<Integer, Integer> reaches = (proxy, zone) -> true;

  EvacuationTest() {
    for (int i = 0; i < 5; i++) {
      start(i, Optional.of(EvacuationState.NONE));
    }
  }

  private void start(int memberIndex, Optional<EvacuationState> restored) {
    List<ZoneMembership.Member> members = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      members.add(new ZoneMembership.Member("p" + index, ZONES[index]));
    }
    fleet[memberIndex] = new Evacuation(ZoneMembership.of(members, "p" + memberIndex), SETTINGS, RAMP, now, restored,
        now);
    for (int server = 0; server < 12; server++) {
      fleet[memberIndex].healthTracker().serverReady("s" + server, server / 4);
    }
  }

  /** Runs the fleet for this many milliseconds in steps of 50, with a report every 200. */
  private void run(long millis) {
    for (long end = now + millis; now < end;) {
      now += 50;
      for (int memberIndex = 0; memberIndex < 5; memberIndex++) {
        if (running.test(memberIndex)) {
          step(memberIndex);
        }
      }
    }
  }

  private void step(int memberIndex) {
    fleet[memberIndex].healthTracker().listConfirmed(now);
    for (int server = 0; server < 12; server++) {
      if (reaches.test(memberIndex, server / 4)) {
        fleet[memberIndex].healthTracker().recordResponse("s" + server, now);
      } else if (now % 200 == 0) {
        fleet[memberIndex].healthTracker().recordTimeout("s" + server, 150, now);
      }
    }
    for (Evacuation.Decision decision : fleet[memberIndex].tick(now)) {
      decisionTimes.putIfAbsent(memberIndex + " " + decision.zone() + " " + decision.epoch(), now);
    }
    if (now % 200 == 0) {
      byte[] report = fleet[memberIndex].nextReport(now);
      for (int to = 0; to < 5; to++) {
        if (connected.test(memberIndex, to)) {
          fleet[to].receiveReport("p" + memberIndex, report);
        }
      }
    }
  }

  private ZoneAccess.State state(int proxy, int zone) {
    return fleet[proxy].access(zone, now).state();
  }

  @Example
  void allMembersEvacuateWithinThreeSecondsAndReturn() {
    run(5_000);
    long failedAt = now;
    reaches = (proxy, zone) -> zone != 1;
    run(3_000);
    for (int i = 0; i < 5; i++) {
      assertEquals(ZoneAccess.State.CLOSED, state(i, 1));
      assertTrue(decisionTimes.get(i + " 1 1") - failedAt <= 2_000,
          "milliseconds until the decision was known: " + (decisionTimes.get(i + " 1 1") - failedAt));
      assertEquals(ZoneAccess.State.OPEN, state(i, 0));
    }
    reaches = (proxy, zone) -> true;
    run(SETTINGS.returnDwell() + 1_500);
    assertEquals(ZoneAccess.State.OPENING, state(0, 1));
    double sum = 0;
    for (int i = 0; i < 5; i++) {
      sum += fleet[i].access(1, now).maxPerSecond();
    }
    assertTrue(sum >= RAMP.initialRate() && sum <= RAMP.initialRate() * 1.6, "total rate at the start: " + sum);
    run(RAMP.durationMillis() + 1_000);
    assertEquals(ZoneAccess.State.OPEN, state(3, 1));
    reaches = (proxy, zone) -> zone != 1;
    run(3_000);
    assertEquals(ZoneAccess.State.CLOSED, state(0, 1), "relapsed");
    reaches = (proxy, zone) -> true;
    run(SETTINGS.returnDwell() + 2_000);
    assertEquals(ZoneAccess.State.CLOSED, state(0, 1), "the dwell doubles after a relapse");
    run(SETTINGS.returnDwell());
    assertEquals(ZoneAccess.State.OPENING, state(0, 1));
  }

  @Example
  void minorityDecidesNothingAndUsesBaselineRate() {
    run(5_000);
    connected = (from, to) -> from < 3 == to < 3;
    reaches = (proxy, zone) -> proxy < 3 || zone != 0;
    run(4_000);
    assertEquals(0, fleet[3].access(0, now).epoch());
    assertEquals(ZoneAccess.State.CAREFUL, state(3, 2));
    assertEquals(RAMP.initialRate() / 5, fleet[3].access(2, now).maxPerSecond());
    assertEquals(ZoneAccess.State.OPEN, state(0, 2));
    reaches = (proxy, zone) -> zone != 0;
    run(3_000);
    assertEquals(ZoneAccess.State.CLOSED, state(0, 0), "a majority from two vantages");
    connected = (from, to) -> true;
    run(400);
    assertEquals(ZoneAccess.State.CLOSED, state(3, 0), "adopts the decision at once");
  }

  @Example
  void neitherOneVantageNorAllZonesFailingEvacuates() {
    run(5_000);
    reaches = (proxy, zone) -> proxy >= 2 || zone != 2;
    run(5_000);
    assertTrue(decisionTimes.isEmpty(), "observers in a single zone do not decide");
    assertEquals(ZoneDiagnosis.MY_ZONE_CUT_OFF, fleet[0].diagnosisWithPeers(2, now));
    reaches = (proxy, zone) -> false;
    run(5_000);
    assertTrue(decisionTimes.isEmpty(), "failure of all zones evacuates none");
  }

  @Example
  void startingProxyQueriesPeersAndFallsBackToBaselineRate() {
    run(5_000);
    reaches = (proxy, zone) -> zone != 1;
    run(3_000);
    connected = (from, to) -> from != 0 && to != 0;
    start(0, Optional.empty());
    assertEquals(ZoneAccess.State.ASKING, state(0, 1));
    run(SETTINGS.startupQueryTimeout());
    assertEquals(ZoneAccess.State.CAREFUL, state(0, 1));
    connected = (from, to) -> true;
    run(600);
    assertEquals(ZoneAccess.State.CLOSED, state(0, 1));
    EvacuationState saved = EvacuationState.decode(fleet[0].state().encode()).orElseThrow();
    connected = (from, to) -> from != 0 && to != 0;
    start(0, Optional.of(saved));
    run(2_000);
    assertEquals(ZoneAccess.State.CLOSED, state(0, 1), "restored from the saved state");
  }

  @Example
  void pausedProxyResumesAtBaselineRate() {
    run(5_000);
    running = proxy -> proxy != 0;
    run(10_000);
    assertEquals(ZoneAccess.State.CAREFUL, state(0, 1), "evaluated before the next tick");
    running = proxy -> true;
    run(800);
    assertEquals(ZoneAccess.State.OPEN, state(0, 1));
  }

  /**
   * A proxy that was paused while the return was decided counted its pause as healthy time and exceeded the budget;
   * found with seed 382 of the fleet model.
   */
  @Example
  void timeBeforeLearningOfTheReturnDoesNotCountAsHealthy() {
    run(5_000);
    reaches = (proxy, zone) -> zone != 1;
    run(4_000);
    reaches = (proxy, zone) -> true;
    while (fleet[1].access(1, now).epoch() < 2) {
      running = proxy -> proxy != 0 || now % 600 == 0;
      run(50);
    }
    long returnedAt = now;
    running = proxy -> true;
    while (state(0, 1) != ZoneAccess.State.OPENING) {
      run(50);
      assertTrue(now - returnedAt < 3_000, "opens");
    }
    assertTrue(fleet[0].access(1, now).maxPerSecond() <= RAMP.rateAt(now - returnedAt) / 5,
        fleet[0].access(1, now) + " after " + (now - returnedAt));
  }

  @Example
  void ignoresInvalidReports() {
    Random random = new Random(3);
    byte[] report = fleet[1].nextReport(now);
    for (int i = 0; i < 2_000; i++) {
      byte[] corrupted = i == 0 ? new byte[EvacuationReportCodec.MAX_BYTES + 1] : report.clone();
      for (int flips = 0; flips < 3 && i > 0; flips++) {
        corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
      }
      fleet[0].receiveReport(i % 2 == 0 ? "p2" : "stranger", corrupted);
    }
    assertTrue(fleet[0].rejectedReports() >= 1_000,
        "unknown senders and corrupted reports: " + fleet[0].rejectedReports());
    Map<Integer, EvacuationReport.ZoneStatus> zones = new TreeMap<>(Map.of(7, new EvacuationReport.ZoneStatus(3, true,
        Reachability.LATE, false, 2, 5, List.of(new EvacuationReport.Loan(2, 70)))));
    EvacuationReport decoded = EvacuationReportCodec.decode(EvacuationReportCodec.encode(
        new EvacuationReport(9, 2, true, zones, new int[] {1, 0, -5}), 77), 77, 3).orElseThrow();
    assertEquals(zones, decoded.zones());
    assertArrayEquals(new int[] {1, 0, -5}, decoded.echoes());
    assertFalse(EvacuationReportCodec.decode(EvacuationReportCodec.encode(decoded, 77), 78, 3).isPresent(),
        "of another fleet");
  }

  @Example
  void damagedStateIsIgnoredAsAWhole() {
    byte[] encoded = new EvacuationState(Map.of(1, new EvacuationState.ZoneEpoch(5, 2)), new byte[] {1, 2}).encode();
    assertEquals(5, EvacuationState.decode(encoded).orElseThrow().zones().get(1).epoch());
    for (int i = 0; i < encoded.length; i++) {
      byte[] damaged = encoded.clone();
      damaged[i] ^= 4;
      assertTrue(EvacuationState.decode(damaged).isEmpty(), "byte " + i);
      assertTrue(EvacuationState.decode(java.util.Arrays.copyOf(encoded, i)).isEmpty(), "truncated at " + i);
    }
    assertThrows(IllegalArgumentException.class, () -> new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500,
        2_000, 3_000, 2_000, 3, 60_000, 1_000, 0.01), "a dwell shorter than a lease");
  }
}
