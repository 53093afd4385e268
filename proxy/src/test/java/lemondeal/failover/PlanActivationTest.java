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

/** Rejection of invalid plans, activation by a majority, and the check of a plan against measured capacity. */
class PlanActivationTest {
  private static final Set<String> MEMBERS = Set.of("a", "b", "c", "d", "e");

  private static Plan plan(String fleet, long version, int weightToY) {
    List<Plan.Zone> zones = List.of(new Plan.Zone("x", "r", 40_000, 60_000), new Plan.Zone("y", "r", 30_000, 100_000),
        new Plan.Zone("z", "s", 0, 100_000));
    List<List<Plan.Weight>> normalWeights =
        List.of(List.of(new Plan.Weight(0, 10_000)), List.of(new Plan.Weight(1, 10_000)), List.of());
    List<List<Plan.Weight>> weightsWithoutX =
        List.of(List.of(new Plan.Weight(1, weightToY), new Plan.Weight(2, 10_000 - weightToY)),
        normalWeights.get(1), normalWeights.get(2));
    return new Plan(fleet, version, 0.1, List.of("order-sync"), zones,
        List.of(new Plan.Case(List.of(), normalWeights), new Plan.Case(List.of(0), weightsWithoutX)));
  }

  private static PlanRejectedException.Reason rejectionReason(PlanActivation activation, byte[] bytes) {
    return assertThrows(PlanRejectedException.class, () -> activation.receive(bytes)).reason();
  }

  @Example
  void truncatedOrChangedBytesAreRejected() {
    byte[] bytes = PlanCodec.encode(plan("f", 2, 5000));
    assertEquals(plan("f", 2, 5000), PlanCodec.decode(bytes));
    PlanActivation activation = PlanActivation.initial("f", MEMBERS);
    for (int length = 0; length < bytes.length; length++) {
      byte[] truncated = Arrays.copyOf(bytes, length);
      assertThrows(PlanRejectedException.class, () -> activation.receive(truncated), "truncated to " + length);
    }
    for (int i = 0; i < bytes.length; i++) {
      byte[] changed = bytes.clone();
      changed[i] ^= 4;
      assertThrows(PlanRejectedException.class, () -> activation.receive(changed), "changed at " + i);
    }
    bytes[bytes.length - 1] ^= 1;
    assertEquals(PlanRejectedException.Reason.DIGEST, rejectionReason(activation, bytes));
  }

  @Example
  void planOfAnotherFleetOrOlderVersionIsRejected() {
    PlanActivation activation = PlanActivation.initial("f", MEMBERS).receive(PlanCodec.encode(plan("f", 2, 5000)));
    assertEquals(PlanRejectedException.Reason.FLEET, rejectionReason(activation, PlanCodec.encode(plan("g", 3, 5000))));
    assertEquals(PlanRejectedException.Reason.OLDER, rejectionReason(activation, PlanCodec.encode(plan("f", 1, 5000))));
    assertEquals(PlanRejectedException.Reason.OLDER, rejectionReason(activation, PlanCodec.encode(plan("f", 2, 6000))));
    assertEquals(activation, activation.receive(PlanCodec.encode(plan("f", 2, 5000))));
  }

  @Example
  void majorityOfAllMembersActivatesThePlan() {
    Plan oldPlan = plan("f", 1, 5000);
    Plan newPlan = plan("f", 2, 6000);
    PlanActivation activation =
        new PlanActivation("f", MEMBERS, Optional.of(oldPlan), Optional.empty()).receive(PlanCodec.encode(newPlan));
    String digest = PlanCodec.digest(newPlan);
    assertEquals(Optional.of(digest), activation.newestDigest());
    Map<String, String> digests = new HashMap<>(Map.of("a", digest, "b", digest, "stranger", digest, "other", digest,
        "c", PlanCodec.digest(oldPlan), "d", PlanCodec.digest(plan("f", 2, 7000))));
    assertEquals(Optional.of(oldPlan), activation.withReportedDigests(digests).active());
    digests.put("c", digest);
    assertEquals(Optional.of(newPlan), activation.withReportedDigests(digests).active());
  }

  /**
   * Members hold two different new plans. Whichever digests each of them receives, no two of them activate different
   * new plans.
   */
  @Property(tries = 300, seed = "5")
  void neverTwoDifferentNewPlansActive(@ForAll long seed) {
    Random random = new Random(seed);
    Map<String, PlanActivation> activationByMember = new HashMap<>();
    Map<String, String> digests = new HashMap<>();
    for (String member : MEMBERS) {
      PlanActivation activation =
          PlanActivation.initial("f", MEMBERS).receive(PlanCodec.encode(plan("f", 2, random.nextBoolean() ? 1 : 2)));
      activationByMember.put(member, activation);
      digests.put(member, activation.newestDigest().orElseThrow());
    }
    long activePlans = activationByMember.values().stream().map(activation -> {
      Map<String, String> receivedDigests = new HashMap<>(digests);
      receivedDigests.keySet().removeIf(member -> random.nextInt(4) == 0);
      return activation.withReportedDigests(receivedDigests).active();
    }).flatMap(Optional::stream).distinct().count();
    assertTrue(activePlans <= 1);
  }

  @Example
  void lowerCapacityIsReportedBeforeTheFailure() {
    Plan plan = plan("f", 1, 8000);
    assertEquals(List.of(), PlanCapacityCheck.overloadedCases(plan, Map.of("y", Double.NaN, "x", -3.0)));
    // Its own 30 plus 32 of the 40 from x are 62; a capacity of 60 less a tenth of headroom is 54.
    List<PlanCapacityCheck.OverloadedCase> overloaded = PlanCapacityCheck.overloadedCases(plan, Map.of("y", 60.0));
    assertEquals("if x fails, y can serve 54 of 62", overloaded.get(0).describe());
    assertEquals(1, overloaded.size());
    Plan.Case scaled = PlanCapacityCheck.scaledToCapacity(plan, plan.cases().get(1), Map.of("y", 60.0));
    assertTrue(plan.loads(scaled)[1] <= 54L * 1000 * Plan.FULL_WEIGHT
        && plan.loads(scaled)[1] > 53_900L * Plan.FULL_WEIGHT);
    assertEquals(plan.weights(plan.cases().get(1), "x").get("z"), plan.weights(scaled, "x").get("z"));
  }
}
