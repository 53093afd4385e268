package lemondeal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.ToIntBiFunction;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Compares the compiler with brute force: feasibility, the minimal moved load, and the least change if infeasible. */
class BruteForceTest {
  private static final int[] CAPACITIES = {0, 1, 3};

  private static int[][] costMatrix(SmallInstance instance, ToIntBiFunction<Integer, Integer> costOf) {
    int zoneCount = instance.demand().length;
    int[][] cost = new int[zoneCount][zoneCount];
    for (int origin = 0; origin < zoneCount; origin++) {
      for (int zone = 0; zone < zoneCount; zone++) {
        cost[origin][zone] = costOf.applyAsInt(origin, zone);
      }
    }
    return cost;
  }

  private static List<FailureCase> infeasibleCases(SmallInstance instance, FailureCases cases) {
    return cases.all().stream().filter(failure -> !instance.satisfiesGaleCondition(failure.failed())).toList();
  }

  /**
   * Asserts that the compiler finds the same cases infeasible, and that a feasible plan can be encoded and decoded;
   * returns whether the instance is feasible.
   */
  private static boolean assertAgrees(SmallInstance instance, List<FailureCase> infeasible) {
    PolicyModel model = instance.model();
    FailureCases cases = instance.singleZoneCases();
    if (!infeasible.isEmpty()) {
      assertEquals(infeasible, PolicyCompiler.trySolve(model, cases).infeasible(), instance::toString);
      return false;
    }
    SolvedFlows flows = PolicyCompiler.solve(model, cases);
    Plan plan = PlanBuilder.build(flows);
    assertEquals(plan, PlanCodec.decode(PlanCodec.encode(plan)));
    return true;
  }

  /**
   * Asserts that the load outside its own zone is minimal: in the normal case, and if all load is in its own zone
   * there, also in each failure case.
   */
  private static void assertMovesLeast(SmallInstance instance) {
    PolicyModel model = instance.model();
    FailureCases cases = instance.singleZoneCases();
    SolvedFlows flows = PolicyCompiler.solve(model, cases);
    double[][] preferred = PolicyCompiler.preferredFlows(model);
    int[][] cost = costMatrix(instance, (origin, zone) -> origin.equals(zone) ? 0 : 1);
    boolean preferredFits = instance.minimumCost(List.of(), cost) == 0;
    for (int i = 0; i < (preferredFits ? cases.all().size() : 1); i++) {
      int least = instance.minimumCost(cases.all().get(i).failed(), cost);
      double moved = 0;
      for (int origin = 0; origin < preferred.length; origin++) {
        moved += instance.demand()[origin] - flows.loads().get(i)[origin][origin];
      }
      assertEquals(least, moved, 1e-5, instance + " case " + i);
    }
  }

  /**
   * Every instance of up to three zones with demands up to 2 and capacities 0, 1 or 3; of instances that differ only
   * by the order of the zones, one.
   */
  @Example
  void everySmallInstance() {
    int feasible = 0;
    int total = 0;
    for (int size = 1; size <= 3; size++) {
      int codes = (int) Math.pow(9, size);
      for (int code = 0; code < codes; code++) {
        int[] demand = new int[size];
        int[] capacity = new int[size];
        int digits = code;
        int previous = -1;
        boolean sorted = true;
        for (int zone = 0; zone < size; zone++, digits /= 9) {
          sorted &= digits % 9 >= previous;
          previous = digits % 9;
          demand[zone] = previous % 3;
          capacity[zone] = CAPACITIES[previous / 3];
        }
        for (int graph = 0; sorted && graph < 1 << size * (size - 1); graph++) {
          SmallInstance instance = new SmallInstance(demand, capacity, helperMasks(size, graph));
          total++;
          if (assertAgrees(instance, infeasibleCases(instance, instance.singleZoneCases()))) {
            feasible++;
            assertMovesLeast(instance);
          }
        }
      }
    }
    assertTrue(feasible > 100 && total > 10 * feasible / 9, feasible + " of " + total);
  }

  /**
   * Every way to fill three regions, each helped by its own zones and the next region, with zones of demand 0 or 1 and
   * capacity 0 to 2; of those that differ only by order, one. Up to four zones, or -Dfailover.zones=8
   * (docs/FAILOVER-DESIGN.md).
   */
  @Example
  void everyRegionalInstance() {
    int feasible = countFeasible(new ArrayList<>(), 0, Integer.getInteger("failover.zones", 4));
    assertTrue(feasible > 100, feasible + " feasible");
  }

  /** A kind encodes one of three regions and one of four pairs of demand and capacity; kinds ascend in an instance. */
  private static int countFeasible(List<Integer> kinds, int minKind, int maxZones) {
    int feasible = 0;
    if (!kinds.isEmpty()) {
      int[] regions = kinds.stream().mapToInt(kind -> kind / 4).toArray();
      int[] helperMasks = new int[regions.length];
      for (int origin = 0; origin < regions.length; origin++) {
        for (int zone = 0; zone < regions.length; zone++) {
          helperMasks[origin] |= regions[zone] == regions[origin] || regions[zone] == (regions[origin] + 1) % 3
              ? 1 << zone : 0;
        }
      }
      SmallInstance instance = new SmallInstance(kinds.stream().mapToInt(kind -> kind % 4 == 0 ? 0 : 1).toArray(),
          kinds.stream().mapToInt(kind -> new int[] {1, 0, 1, 2}[kind % 4]).toArray(), regions, helperMasks, 1, 1);
      feasible += assertAgrees(instance, infeasibleCases(instance, instance.singleZoneCases())) ? 1 : 0;
    }
    for (int kind = minKind; kind < 12 && kinds.size() < maxZones; kind++) {
      kinds.add(kind);
      feasible += countFeasible(kinds, kind, maxZones);
      kinds.remove(kinds.size() - 1);
    }
    return feasible;
  }

  private static int[] helperMasks(int zoneCount, int graph) {
    int[] masks = new int[zoneCount];
    int bits = graph;
    for (int origin = 0; origin < zoneCount; origin++) {
      for (int zone = 0; zone < zoneCount; zone++) {
        if (zone != origin) {
          masks[origin] |= (bits & 1) << zone;
          bits >>= 1;
        }
      }
    }
    return masks;
  }

  private static SmallInstance randomInstance(Random random, int maxZones, double zoneShare, double regionShare) {
    int zoneCount = 2 + random.nextInt(maxZones - 1);
    int extraCapacity = 1 + random.nextInt(6);
    return new SmallInstance(random.ints(zoneCount, 0, 4).toArray(),
        random.ints(zoneCount, 0, 4 + extraCapacity).toArray(), random.ints(zoneCount, 0, 3).toArray(),
        random.ints(zoneCount, 0, 1 << zoneCount).map(bits -> bits | random.nextInt(1 << zoneCount)).toArray(),
        zoneShare, regionShare);
  }

  @Property(tries = 250, seed = "1")
  void randomInstancesOfUpToEightZones(@ForAll long seed) {
    SmallInstance instance = randomInstance(new Random(seed), 8, 1, 1);
    if (assertAgrees(instance, infeasibleCases(instance, instance.singleZoneCases()))
        && instance.demand().length <= 5) {
      assertMovesLeast(instance);
    }
  }

  /** With a limit on zone or region crossings, compared with the integer flow that crosses least. */
  @Property(tries = 300, seed = "2")
  void crossingBoundsAgreeWithBruteForce(@ForAll long seed) {
    Random random = new Random(seed);
    boolean boundZones = random.nextBoolean();
    SmallInstance unbounded = randomInstance(random, 5, 1, 1);
    int totalDemand = Arrays.stream(unbounded.demand()).sum();
    int maxCrossing = totalDemand == 0 ? 0 : random.nextInt(totalDemand + 1);
    double share = totalDemand == 0 ? 1 : (double) maxCrossing / totalDemand;
    SmallInstance instance =
        new SmallInstance(unbounded.demand(), unbounded.capacity(), unbounded.region(), unbounded.helperMasks(),
        boundZones ? share : 1, boundZones ? 1 : share);
    int[][] cost = costMatrix(instance, (origin, zone) -> boundZones ? origin.equals(zone) ? 0 : 1
        : instance.region()[origin] == instance.region()[zone] ? 0 : 1);
    List<FailureCase> infeasible = new ArrayList<>();
    for (FailureCase failure : instance.singleZoneCases().all()) {
      int minCrossing = instance.minimumCost(failure.failed(), cost);
      if (minCrossing < 0 || minCrossing > maxCrossing) {
        infeasible.add(failure);
      }
    }
    assertAgrees(instance, infeasible);
  }

  /** The least change makes all cases feasible, and a slightly smaller one does not. */
  @Property(tries = 150, seed = "3")
  void leastChangeIsSufficientAndMinimal(@ForAll long seed) {
    Random random = new Random(seed);
    double headroom = random.nextInt(3) * 0.2;
    SmallInstance instance = randomInstance(random, 6, 1 - random.nextInt(3) * 0.3, 1 - random.nextInt(3) * 0.3);
    PolicyModel model = withChange(instance.model(),
        new LeastChange.Change(new double[instance.demand().length], headroom,
        instance.maxCrossZoneShare(), instance.maxCrossRegionShare()));
    FailureCases cases = instance.singleZoneCases();
    LeastChange leastChange = new LeastChange(model, cases.all());
    if (isFeasible(model, cases)) {
      return;
    }
    LeastChange.Change unchanged = new LeastChange.Change(new double[instance.demand().length], headroom,
        model.maxCrossZoneShare(), model.maxCrossRegionShare());
    int found = 0;
    for (var change : List.of(leastChange.moreCapacity(), leastChange.lessHeadroom(), leastChange.moreCrossing(),
        leastChange.moreCapacityAndCrossing())) {
      if (change.isPresent()) {
        found++;
        assertTrue(isFeasible(withChange(model, change.get()), cases), () -> instance + " " + change);
        LeastChange.Change smaller = smallerChange(change.get(), unchanged, 2 * leastChange.capacityStep());
        assertFalse(isFeasible(withChange(model, smaller), cases), () -> instance + " " + change);
      }
    }
    boolean hasOriginWithoutHelpers = cases.all().stream().anyMatch(failure -> failure.failed().stream()
        .anyMatch(zone -> instance.demand()[zone] > 0 && (instance.helperMasks()[zone] & ~(1 << zone)) == 0));
    assertTrue(hasOriginWithoutHelpers || found > 0, () -> "no change for " + instance);
  }

  private static LeastChange.Change smallerChange(LeastChange.Change change, LeastChange.Change unchanged,
      double capacityMargin) {
    double[] capacity = Arrays.stream(change.addedCapacity()).map(added -> Math.max(0, added - capacityMargin))
        .toArray();
    return new LeastChange.Change(capacity, Math.min(unchanged.headroom(), change.headroom() + 2e-4),
        Math.max(unchanged.maxCrossZoneShare(), change.maxCrossZoneShare() - 2e-4),
        Math.max(unchanged.maxCrossRegionShare(), change.maxCrossRegionShare() - 2e-4));
  }

  private static PolicyModel withChange(PolicyModel model, LeastChange.Change change) {
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (int i = 0; i < model.zoneCount(); i++) {
      PolicyModel.Zone zone = model.zone(i);
      zones.add(new PolicyModel.Zone(zone.name(), zone.regionName(), zone.regionIndex(), zone.demand(),
          zone.capacity() + change.addedCapacity()[i], zone.helpers(), zone.location(), zone.capacityLocation()));
    }
    return new PolicyModel(model.fleet(), model.version(), change.headroom(), change.maxCrossZoneShare(),
        change.maxCrossRegionShare(), model.boundLocations(), model.priorityClasses(), zones);
  }

  private static boolean isFeasible(PolicyModel model, FailureCases cases) {
    PolicyCompiler.SolveResult result = PolicyCompiler.trySolve(model, cases);
    if (result.infeasible().isEmpty()) {
      PlanBuilder.build(new SolvedFlows(model, cases, result.loads()));
    }
    return result.infeasible().isEmpty();
  }
}
