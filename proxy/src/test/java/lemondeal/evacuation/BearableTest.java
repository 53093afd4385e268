package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.Balancer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** How much leaves, at what pace it moves, and how a zone opens. */
class BearableTest {
  private static Bearable.Room room(double perSecond) {
    return new Bearable.Room(0, perSecond, Double.NaN);
  }

  private static final List<Bearable.Coming> COMING = List.of(new Bearable.Coming(0, 1, 40),
      new Bearable.Coming(1, 5, 10), new Bearable.Coming(2, 1, 20));

  @Example
  void whatIsWorthMostLeavesFirst() {
    Bearable.Answer all = Bearable.of(List.of(room(50), room(50)), COMING, 5_000);
    assertEquals(Map.of(0, 1.0, 1, 1.0, 2, 1.0), all.leaves());
    assertEquals(0, all.busyMillis());
    Bearable.Answer part = Bearable.of(List.of(room(20), room(400.0 / 18)), COMING, 5_000);
    assertEquals(1.0, part.leaves().get(1));
    assertEquals(28 / 60.0, part.leaves().get(0), 1e-9);
    assertEquals(part.leaves().get(0), part.leaves().get(2));
    assertEquals(1_843, part.busyMillis(), "70 come for 38 places a second");
    Bearable.Answer none = Bearable.of(List.of(room(0)), COMING, 5_000);
    assertEquals(Map.of(0, 0.0, 1, 0.0, 2, 0.0), none.leaves());
    assertEquals(5_000, none.busyMillis());
  }

  @Example
  void whatIsNotKnownHoldsNothingBackAndAPlanGoesByZone() {
    assertEquals(0, Bearable.of(List.of(room(Double.NaN), room(Double.NaN)), COMING, 5_000).busyMillis());
    List<Bearable.Room> plan = List.of(new Bearable.Room(0, 1_000, 0.5), new Bearable.Room(2, 10, 0.5));
    Bearable.Answer planned = Bearable.of(plan, COMING, 5_000);
    assertEquals(8 / 60.0, planned.leaves().get(0), 1e-9, "18 in all, or zone 2 is pushed over");
  }

  @Property(seed = "11", tries = 500)
  void noMoreLeavesThanTheOthersBear(@ForAll long seed) {
    Random random = new Random(seed);
    List<Bearable.Room> rooms = new ArrayList<>();
    List<Bearable.Coming> coming = new ArrayList<>();
    double room = 0;
    for (int i = 0; i <= random.nextInt(4); i++) {
      rooms.add(room(random.nextInt(60)));
      room += rooms.get(i).perSecond();
    }
    for (int i = 0; i <= random.nextInt(5); i++) {
      coming.add(new Bearable.Coming(i, random.nextInt(3), random.nextInt(40)));
    }
    Bearable.Answer answer = Bearable.of(rooms, coming, 5_000);
    double leaves = 0;
    for (Bearable.Coming one : coming) {
      leaves += one.perSecond() * answer.leaves().get(one.requestClass());
      coming.stream().filter(other -> other.worth() > one.worth() && answer.leaves().get(one.requestClass()) > 0
          && one.perSecond() > 0).forEach(other -> assertEquals(1.0, answer.leaves().get(other.requestClass())));
    }
    assertTrue(leaves <= room, leaves + " leave for " + room);
  }

  @Example
  void movesAreSplitAndAMinorityKeepsToItsPart() {
    assertEquals(25, MovePace.perSecond(100, 4, 5));
    assertEquals(20, MovePace.perSecond(100, 2, 5));
  }

  @Example
  void aZoneOpensFromTheColdBudgetOfTheSettings() {
    Balancer.Rules rules = new Balancer.Rules(0, 0, 4, 2_000_000, 0.35, 9_000_000, 0);
    Opening opening = Opening.of(rules, 900);
    assertEquals(70, opening.first(), 1e-9, "half of 4 times 0.35 of 900 in 9 s");
    assertEquals(200, opening.full(), 1e-9);
    assertEquals(135, opening.perSecond(4_500), 1e-9);
    assertEquals(Double.POSITIVE_INFINITY, opening.perSecond(9_000));
    assertEquals(100, opening.within(100).perSecond(8_999.999), 1e-3);
    assertEquals(opening, opening.within(Double.NaN));
  }

  /** Whatever is asked when: a proxy never sends more than its rate lets it, and one connection that it had kept. */
  @Property(seed = "12", tries = 200)
  void sendsStayWithinTheShare(@ForAll long seed) {
    Random random = new Random(seed);
    double rate = 0.05 + random.nextDouble() * 20;
    int members = 1 + random.nextInt(20);
    List<Named.Proxy> names = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      names.add(new Named.Proxy("p" + i, 0));
    }
    int sent = 0;
    for (int i = 0; i < members; i++) {
      ZoneGate gate = new ZoneGate(Named.of(names, "p" + i), 0);
      for (long now = 500; now <= 20_500; now += 1 + random.nextInt(30)) {
        sent += gate.admits(new ZoneStanding(1, ZoneStanding.State.OPENING, 0.5, rate / members, 2), now) ? 1 : 0;
      }
    }
    assertTrue(sent <= rate * 20 + members / 2.0, sent + " for " + rate + " a second by " + members);
    assertTrue(sent >= rate * 17 - 2 * members, "and most of it: " + sent);
  }
}
