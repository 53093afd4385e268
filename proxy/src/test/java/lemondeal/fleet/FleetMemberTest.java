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

/**
 * Three members in one thread on a simulated network with delays and disconnections; rows have a TTL of 2 s and are
 * sent every 200 ms.
 */
class FleetMemberTest {
  private static final Set<String> ALL = Set.of("a", "b", "c");
  private final SimulatedFleet fleet = new SimulatedFleet("a", "b", "c");
  private FleetMember memberA;
  private FleetMember memberB;
  private FleetMember memberC;

  @BeforeEach
  void start() throws IOException {
    memberA = fleet.start("a", 1, 0);
    memberB = fleet.start("b", 1, 3_600_000);
    memberC = fleet.start("c", 1, -900_000);
  }

  private static byte[] section(FleetMember member, String owner) {
    return member.liveRows(member.now()).stream().filter(row -> row.row().owner().equals(owner))
        .findFirst().map(row -> Sections.decode(row.row().content()).get("s")).orElse(null);
  }

  @Test
  void membersSeeEachOtherSoonAndChangesAreSentAtOnce() {
    fleet.run(300);
    assertEquals(ALL, memberA.liveMembers());
    assertEquals(ALL, memberC.liveMembers());
    memberB.publish("s", new byte[] {42});
    fleet.run(60);
    assertArrayEquals(new byte[] {42}, section(memberA, "b"));
    assertArrayEquals(new byte[] {42}, section(memberB, "b"));
    for (TimedRow row : memberA.liveRows(memberA.now())) {
      assertTrue(row.ageMillis(memberA.now()) <= 500, row.toString());
    }
  }

  @Test
  void disconnectedMemberExpiresAndComesBack() {
    fleet.run(1000);
    fleet.disconnected.addAll(Set.of("a>c", "c>a", "b>c", "c>b"));
    fleet.run(1500);
    assertEquals(ALL, memberA.liveMembers());
    fleet.run(1000);
    assertEquals(Set.of("a", "b"), memberA.liveMembers());
    assertTrue(memberA.hasQuorum());
    assertEquals(Set.of("c"), memberC.liveMembers());
    assertFalse(memberC.hasQuorum());
    fleet.run(3000);
    assertTrue(fleet.reconnects.contains("c>a"), "a silent connection is replaced");
    fleet.disconnected.clear();
    fleet.run(700);
    assertEquals(ALL, memberA.liveMembers());
    assertEquals(ALL, memberC.liveMembers());
  }

  @Test
  void oneWayDisconnectionIsDetectedByBothSides() {
    fleet.run(1000);
    fleet.disconnected.add("a>c");
    fleet.run(3000);
    assertEquals(Set.of("a", "b"), memberA.liveMembers(),
        "c receives nothing from a, so nothing bounds the age of its rows");
    assertEquals(Set.of("b", "c"), memberC.liveMembers());
    assertEquals(ALL, memberB.liveMembers());
  }

  @Test
  void delayInTheNetworkCountsAsAge() {
    fleet.delayMillis.put("b>a", 2500L);
    fleet.run(8000);
    assertEquals(Set.of("a", "c"), memberA.liveMembers(), "its rows arrive every 200 ms, but are 2.5 s old");
    fleet.delayMillis.put("b>a", 700L);
    fleet.run(4000);
    assertEquals(ALL, memberA.liveMembers());
  }

  @Test
  void restartReplacesRowsAndSmallerIncarnationIsAcceptedAfterExpiry() throws IOException {
    fleet.run(1000);
    memberB.publish("s", new byte[] {1});
    fleet.run(300);
    memberB.close();
    memberB = fleet.start("b", 2, 0);
    fleet.run(600);
    assertEquals(ALL, memberA.liveMembers());
    assertNull(section(memberA, "b"), "no data from before the restart remains");
    assertTrue(fleet.log.stream().anyMatch(line -> line.startsWith("a fleet-restarted")), fleet.log.toString());
    memberB.close();
    memberB = fleet.start("b", 1, 0);
    fleet.run(10_000);
    assertEquals(Set.of("a", "c"), memberA.liveMembers());
    fleet.run(60_000);
    assertEquals(ALL, memberA.liveMembers());
  }

  @Test
  void contentSizeAndSendRateAreBounded() {
    assertThrows(IllegalArgumentException.class, () -> memberA.publish("s", new byte[MemberRow.MAX_CONTENT_BYTES]));
    fleet.run(1000);
    int sentBefore = fleet.sentMessages;
    for (int i = 0; i < 1000; i++) {
      memberA.publish("s", new byte[] {(byte) i});
      fleet.run(1);
    }
    // The two others send five rows a second to two peers each; this one changes its row every millisecond.
    assertTrue(fleet.sentMessages - sentBefore <= 2 * (20 + 1) + 2 * 2 * 6,
        fleet.sentMessages - sentBefore + " messages in a second");
    Map<String, Long> figures = new HashMap<>();
    memberA.addTo(figures);
    assertEquals(3, figures.get("fleet_in_sight"));
  }
}
