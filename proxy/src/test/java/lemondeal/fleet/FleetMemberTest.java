package lemondeal.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three members in one thread, on a network that delays and cuts; life 2 s, told each 200 ms. */
class FleetMemberTest {
  private static final Set<String> ALL = Set.of("a", "b", "c");
  private final MemoryFleet fleet = new MemoryFleet("a", "b", "c");
  private FleetMember a;
  private FleetMember b;
  private FleetMember c;

  @BeforeEach
  void start() throws IOException {
    a = fleet.start("a", 1, 0);
    b = fleet.start("b", 1, 3_600_000);
    c = fleet.start("c", 1, -900_000);
  }

  private static byte[] section(FleetMember of, String owner) {
    return of.rows(of.now()).stream().filter(row -> row.row().owner().equals(owner))
        .findFirst().map(row -> Sections.of(row.row().content()).get("s")).orElse(null);
  }

  @Test
  void allSeeAllSoonAndWhatChangesGoesOutAtOnce() {
    fleet.run(300);
    assertEquals(ALL, a.inSight());
    assertEquals(ALL, c.inSight());
    b.publish("s", new byte[] {42});
    fleet.run(60);
    assertArrayEquals(new byte[] {42}, section(a, "b"));
    assertArrayEquals(new byte[] {42}, section(b, "b"));
    for (HeldRow row : a.rows(a.now())) {
      assertTrue(row.ageMillis(a.now()) <= 500, row.toString());
    }
  }

  @Test
  void whoIsCutOffIsAbsentAfterItsLifeAndComesBack() {
    fleet.run(1000);
    fleet.cut.addAll(Set.of("a>c", "c>a", "b>c", "c>b"));
    fleet.run(1500);
    assertEquals(ALL, a.inSight());
    fleet.run(1000);
    assertEquals(Set.of("a", "b"), a.inSight());
    assertTrue(a.isInMajority());
    assertEquals(Set.of("c"), c.inSight());
    assertFalse(c.isInMajority());
    fleet.run(3000);
    assertTrue(fleet.redialled.contains("c>a"), "what is stuck is dialled anew");
    fleet.cut.clear();
    fleet.run(700);
    assertEquals(ALL, a.inSight());
    assertEquals(ALL, c.inSight());
  }

  @Test
  void aCutInOneDirectionIsSeenFromBothSides() {
    fleet.run(1000);
    fleet.cut.add("a>c");
    fleet.run(3000);
    assertEquals(Set.of("a", "b"), a.inSight(), "c does not hear a: nothing proves its rows young");
    assertEquals(Set.of("b", "c"), c.inSight());
    assertEquals(ALL, b.inSight());
  }

  @Test
  void aRowThatWasUnderWayForLongIsOld() {
    fleet.delayMillis.put("b>a", 2500L);
    fleet.run(8000);
    assertEquals(Set.of("a", "c"), a.inSight(), "its rows come each 200 ms, and are 2.5 s old");
    fleet.delayMillis.put("b>a", 700L);
    fleet.run(4000);
    assertEquals(ALL, a.inSight());
  }

  @Test
  void aRestartIsANewIncarnationAndAClockSetBackIsHeardInTheEnd() throws IOException {
    fleet.run(1000);
    b.publish("s", new byte[] {1});
    fleet.run(300);
    b.close();
    b = fleet.start("b", 2, 0);
    fleet.run(600);
    assertEquals(ALL, a.inSight());
    assertNull(section(a, "b"), "nothing of before the restart is left");
    assertTrue(fleet.log.stream().anyMatch(line -> line.startsWith("a fleet-restarted")), fleet.log.toString());
    b.close();
    b = fleet.start("b", 1, 0);
    fleet.run(10_000);
    assertEquals(Set.of("a", "c"), a.inSight());
    fleet.run(60_000);
    assertEquals(ALL, a.inSight());
  }

  @Test
  void contentAndLettersAreBounded() {
    assertThrows(IllegalArgumentException.class, () -> a.publish("s", new byte[Row.MOST_CONTENT]));
    fleet.run(1000);
    int before = fleet.letters;
    for (int i = 0; i < 1000; i++) {
      a.publish("s", new byte[] {(byte) i});
      fleet.run(1);
    }
    // Two others tell five rows a second to two peers each; this one changes at each millisecond.
    assertTrue(fleet.letters - before <= 2 * (20 + 1) + 2 * 2 * 6, fleet.letters - before + " letters in a second");
    Map<String, Long> figures = new HashMap<>();
    a.addTo(figures);
    assertEquals(3, figures.get("fleet_in_sight"));
  }
}
