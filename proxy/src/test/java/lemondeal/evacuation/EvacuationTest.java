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

/** The main path and each rule of it once, with five proxies whose rows go round at once. */
class EvacuationTest {
  private static final EvacuationSettings SETTINGS = EvacuationSettings.DEFAULT;
  private static final Opening OPENING = new Opening(5, 20, 9_000);
  /** Proxies 0 and 1 stand in zone 0, 2 and 3 in zone 1, 4 in zone 2. */
  private static final int[] ZONES = {0, 0, 1, 1, 2};

  private long now = 100_000;
  private final Evacuation[] fleet = new Evacuation[5];
  private final Map<String, Long> told = new HashMap<>();
  private IntPredicate up = proxy -> true;
  private BiPredicate<Integer, Integer> hears = (from, to) -> true;
  /** Whether a proxy reaches a zone. */
  private BiPredicate<Integer, Integer> reaches = (proxy, zone) -> true;

  EvacuationTest() {
    for (int i = 0; i < 5; i++) {
      start(i, Optional.of(EvacuationState.NONE));
    }
  }

  private void start(int i, Optional<EvacuationState> kept) {
    List<Named.Proxy> names = new ArrayList<>();
    for (int p = 0; p < 5; p++) {
      names.add(new Named.Proxy("p" + p, ZONES[p]));
    }
    fleet[i] = new Evacuation(Named.of(names, "p" + i), SETTINGS, OPENING, now, kept, now);
    for (int server = 0; server < 12; server++) {
      fleet[i].watch().ready("s" + server, server / 4);
    }
  }

  /** Plays so many milliseconds in steps of 50; rows each 200. */
  private void play(long millis) {
    for (long until = now + millis; now < until;) {
      now += 50;
      for (int i = 0; i < 5; i++) {
        if (up.test(i)) {
          step(i);
        }
      }
    }
  }

  private void step(int i) {
    fleet[i].watch().listed(now);
    for (int server = 0; server < 12; server++) {
      if (reaches.test(i, server / 4)) {
        fleet[i].watch().word("s" + server, now);
      } else if (now % 200 == 0) {
        fleet[i].watch().silent("s" + server, 150, now);
      }
    }
    for (Evacuation.Decided decided : fleet[i].tick(now)) {
      told.putIfAbsent(i + " " + decided.zone() + " " + decided.epoch(), now);
    }
    if (now % 200 == 0) {
      byte[] row = fleet[i].row(now);
      for (int to = 0; to < 5; to++) {
        if (hears.test(i, to)) {
          fleet[to].hear("p" + i, row);
        }
      }
    }
  }

  private ZoneStanding.State state(int proxy, int zone) {
    return fleet[proxy].standing(zone, now).state();
  }

  @Example
  void allLeaveWithinThreeSecondsAndAllReturn() {
    play(5_000);
    long failedAt = now;
    reaches = (proxy, zone) -> zone != 1;
    play(3_000);
    for (int i = 0; i < 5; i++) {
      assertEquals(ZoneStanding.State.CLOSED, state(i, 1));
      assertTrue(told.get(i + " 1 1") - failedAt <= 2_000, "decided and known " + (told.get(i + " 1 1") - failedAt));
      assertEquals(ZoneStanding.State.OPEN, state(i, 0));
    }
    reaches = (proxy, zone) -> true;
    play(SETTINGS.returnDwell() + 1_500);
    assertEquals(ZoneStanding.State.OPENING, state(0, 1));
    double sum = 0;
    for (int i = 0; i < 5; i++) {
      sum += fleet[i].standing(1, now).perSecond();
    }
    assertTrue(sum >= OPENING.first() && sum <= OPENING.first() * 1.6, "at the beginning " + sum);
    play(OPENING.warmMillis() + 1_000);
    assertEquals(ZoneStanding.State.OPEN, state(3, 1));
    reaches = (proxy, zone) -> zone != 1;
    play(3_000);
    assertEquals(ZoneStanding.State.CLOSED, state(0, 1), "relapsed");
    reaches = (proxy, zone) -> true;
    play(SETTINGS.returnDwell() + 2_000);
    assertEquals(ZoneStanding.State.CLOSED, state(0, 1), "waits twice as long");
    play(SETTINGS.returnDwell());
    assertEquals(ZoneStanding.State.OPENING, state(0, 1));
  }

  @Example
  void aMinorityDecidesNothingAndGoesCarefully() {
    play(5_000);
    hears = (from, to) -> from < 3 == to < 3;
    reaches = (proxy, zone) -> proxy < 3 || zone != 0;
    play(4_000);
    assertEquals(0, fleet[3].standing(0, now).epoch());
    assertEquals(ZoneStanding.State.CAREFUL, state(3, 2));
    assertEquals(OPENING.first() / 5, fleet[3].standing(2, now).perSecond());
    assertEquals(ZoneStanding.State.OPEN, state(0, 2));
    reaches = (proxy, zone) -> zone != 0;
    play(3_000);
    assertEquals(ZoneStanding.State.CLOSED, state(0, 0), "a majority from two vantages");
    hears = (from, to) -> true;
    play(400);
    assertEquals(ZoneStanding.State.CLOSED, state(3, 0), "hears of it at once");
  }

  @Example
  void oneVantageOrAllZonesMoveNobody() {
    play(5_000);
    reaches = (proxy, zone) -> proxy >= 2 || zone != 2;
    play(5_000);
    assertTrue(told.isEmpty(), "two of one zone alone");
    assertEquals(Verdict.MY_ZONE_CUT_OFF, fleet[0].pooled(2, now));
    reaches = (proxy, zone) -> false;
    play(5_000);
    assertTrue(told.isEmpty(), "everything fails");
  }

  @Example
  void aStartingProxyAsksFirstAndIsCarefulWhereNobodyAnswers() {
    play(5_000);
    reaches = (proxy, zone) -> zone != 1;
    play(3_000);
    hears = (from, to) -> from != 0 && to != 0;
    start(0, Optional.empty());
    assertEquals(ZoneStanding.State.ASKING, state(0, 1));
    play(SETTINGS.askFor());
    assertEquals(ZoneStanding.State.CAREFUL, state(0, 1));
    hears = (from, to) -> true;
    play(600);
    assertEquals(ZoneStanding.State.CLOSED, state(0, 1));
    EvacuationState kept = EvacuationState.decode(fleet[0].state().encode()).orElseThrow();
    hears = (from, to) -> from != 0 && to != 0;
    start(0, Optional.of(kept));
    play(2_000);
    assertEquals(ZoneStanding.State.CLOSED, state(0, 1), "as it was kept");
  }

  @Example
  void aProxyThatStoodStillWakesCareful() {
    play(5_000);
    up = proxy -> proxy != 0;
    play(10_000);
    assertEquals(ZoneStanding.State.CAREFUL, state(0, 1), "asked before anything else happens");
    up = proxy -> true;
    play(800);
    assertEquals(ZoneStanding.State.OPEN, state(0, 1));
  }

  /** A proxy that stood still as the return was decided was ahead of the budget by its stall: seed 382 of the model. */
  @Example
  void theTimeBeforeAReturnIsKnownProvesNothing() {
    play(5_000);
    reaches = (proxy, zone) -> zone != 1;
    play(4_000);
    reaches = (proxy, zone) -> true;
    while (fleet[1].standing(1, now).epoch() < 2) {
      up = proxy -> proxy != 0 || now % 600 == 0;
      play(50);
    }
    long returnedAt = now;
    up = proxy -> true;
    while (state(0, 1) != ZoneStanding.State.OPENING) {
      play(50);
      assertTrue(now - returnedAt < 3_000, "opens");
    }
    assertTrue(fleet[0].standing(1, now).perSecond() <= OPENING.perSecond(now - returnedAt) / 5,
        fleet[0].standing(1, now) + " after " + (now - returnedAt));
  }

  @Example
  void rowsThatCanNotBeUsedTellNothing() {
    Random random = new Random(3);
    byte[] row = fleet[1].row(now);
    for (int i = 0; i < 2_000; i++) {
      byte[] junk = i == 0 ? new byte[RowCodec.MOST_BYTES + 1] : row.clone();
      for (int flips = 0; flips < 3 && i > 0; flips++) {
        junk[random.nextInt(junk.length)] ^= (byte) (1 << random.nextInt(8));
      }
      fleet[0].hear(i % 2 == 0 ? "p2" : "stranger", junk);
    }
    assertTrue(fleet[0].ignoredRows() >= 1_000, "strangers and more: " + fleet[0].ignoredRows());
    Map<Integer, Row.Word> zones = new TreeMap<>(Map.of(7, new Row.Word(3, true, Seen.LATE, false, 2, 5,
        List.of(new Row.Loan(2, 70)))));
    Row back = RowCodec.read(RowCodec.write(new Row(9, 2, true, zones, new int[] {1, 0, -5}), 77), 77, 3).orElseThrow();
    assertEquals(zones, back.zones());
    assertArrayEquals(new int[] {1, 0, -5}, back.echo());
    assertFalse(RowCodec.read(RowCodec.write(back, 77), 78, 3).isPresent(), "of another fleet");
  }

  @Example
  void aKeptStateIsWholeOrPassedOver() {
    byte[] kept = new EvacuationState(Map.of(1, new EvacuationState.Zone(5, 2)), new byte[] {1, 2}).encode();
    assertEquals(5, EvacuationState.decode(kept).orElseThrow().zones().get(1).epoch());
    for (int i = 0; i < kept.length; i++) {
      byte[] damaged = kept.clone();
      damaged[i] ^= 4;
      assertTrue(EvacuationState.decode(damaged).isEmpty(), "byte " + i);
      assertTrue(EvacuationState.decode(java.util.Arrays.copyOf(kept, i)).isEmpty(), "cut at " + i);
    }
    assertThrows(IllegalArgumentException.class, () -> new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500,
        2_000, 3_000, 2_000, 3, 60_000, 1_000, 0.01), "a dwell shorter than shares live");
  }
}
