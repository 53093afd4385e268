package lemondeal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Which bytes are a plan, which plan a proxy places by, and what holds of one once zones bear less. */
class PlanGuardTest {
  private static final Set<String> FIVE = Set.of("a", "b", "c", "d", "e");

  private static Plan plan(String fleet, long version, int split) {
    List<Plan.Zone> zones = List.of(new Plan.Zone("x", "r", 40_000, 60_000), new Plan.Zone("y", "r", 30_000, 100_000),
        new Plan.Zone("z", "s", 0, 100_000));
    List<List<Plan.Weight>> home = List.of(List.of(new Plan.Weight(0, 10_000)), List.of(new Plan.Weight(1, 10_000)),
        List.of());
    List<List<Plan.Weight>> away = List.of(List.of(new Plan.Weight(1, split), new Plan.Weight(2, 10_000 - split)),
        home.get(1), home.get(2));
    return new Plan(fleet, version, 0.1, List.of("order-sync"), zones,
        List.of(new Plan.Case(List.of(), home), new Plan.Case(List.of(0), away)));
  }

  private static PlanRefused.Why why(PlanGuard guard, byte[] bytes) {
    return assertThrows(PlanRefused.class, () -> guard.offered(bytes)).why();
  }

  @Example
  void cutOrChangedBytesAreNoPlan() {
    byte[] bytes = PlanCodec.encode(plan("f", 2, 5000));
    assertEquals(plan("f", 2, 5000), PlanCodec.decode(bytes));
    PlanGuard guard = PlanGuard.of("f", FIVE);
    for (int length = 0; length < bytes.length; length++) {
      byte[] cut = Arrays.copyOf(bytes, length);
      assertThrows(PlanRefused.class, () -> guard.offered(cut), "cut to " + length);
    }
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 4;
      assertThrows(PlanRefused.class, () -> guard.offered(changed), "changed at " + i);
    }
    bytes[bytes.length - 1] ^= 1;
    assertEquals(PlanRefused.Why.DIGEST, why(guard, bytes));
  }

  @Example
  void anotherFleetsOrAnOlderOneIsRefused() {
    PlanGuard guard = PlanGuard.of("f", FIVE).offered(PlanCodec.encode(plan("f", 2, 5000)));
    assertEquals(PlanRefused.Why.FLEET, why(guard, PlanCodec.encode(plan("g", 3, 5000))));
    assertEquals(PlanRefused.Why.OLDER, why(guard, PlanCodec.encode(plan("f", 1, 5000))));
    assertEquals(PlanRefused.Why.OLDER, why(guard, PlanCodec.encode(plan("f", 2, 6000))));
    assertEquals(guard, guard.offered(PlanCodec.encode(plan("f", 2, 5000))));
  }

  @Example
  void aMajorityOfAllTakesIt() {
    Plan old = plan("f", 1, 5000);
    Plan fresh = plan("f", 2, 6000);
    PlanGuard guard = new PlanGuard("f", FIVE, Optional.of(old), Optional.empty()).offered(PlanCodec.encode(fresh));
    String digest = PlanCodec.digest(fresh);
    assertEquals(Optional.of(digest), guard.digest());
    Map<String, String> held = new HashMap<>(Map.of("a", digest, "b", digest, "stranger", digest, "other", digest,
        "c", PlanCodec.digest(old), "d", PlanCodec.digest(plan("f", 2, 7000))));
    assertEquals(Optional.of(old), guard.heard(held).inForce());
    held.put("c", digest);
    assertEquals(Optional.of(fresh), guard.heard(held).inForce());
  }

  /**
   * Two plans of which each waits for a majority: never do two proxies that heard truly place by different new ones.
   */
  @Property(tries = 300, seed = "5")
  void noTwoNewPlansAtOnce(@ForAll long seed) {
    Random random = new Random(seed);
    Map<String, PlanGuard> fleet = new HashMap<>();
    Map<String, String> held = new HashMap<>();
    for (String member : FIVE) {
      PlanGuard guard = PlanGuard.of("f", FIVE).offered(PlanCodec.encode(plan("f", 2, random.nextBoolean() ? 1 : 2)));
      fleet.put(member, guard);
      held.put(member, guard.digest().orElseThrow());
    }
    long different = fleet.values().stream().map(guard -> {
      Map<String, String> heard = new HashMap<>(held);
      heard.keySet().removeIf(member -> random.nextInt(4) == 0);
      return guard.heard(heard).inForce();
    }).flatMap(Optional::stream).distinct().count();
    assertTrue(different <= 1);
  }

  @Example
  void lessCapacityIsToldBeforeTheCase() {
    Plan plan = plan("f", 1, 8000);
    assertEquals(List.of(), PlanStanding.broken(plan, Map.of("y", Double.NaN, "x", -3.0)));
    // 30 of its own and 32 of 40 from x come to 62; 60 less a tenth is 54.
    List<PlanStanding.Broken> broken = PlanStanding.broken(plan, Map.of("y", 60.0));
    assertEquals("if x fails, y bears 54 of 62", broken.get(0).told());
    assertEquals(1, broken.size());
    Plan.Case left = PlanStanding.stillHolds(plan, plan.cases().get(1), Map.of("y", 60.0));
    assertTrue(plan.loads(left)[1] <= 54L * 1000 * Plan.WHOLE && plan.loads(left)[1] > 53_900L * Plan.WHOLE);
    assertEquals(plan.weights(plan.cases().get(1), "x").get("z"), plan.weights(left, "x").get("z"));
  }
}
