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

/** The compiler against brute force: what holds, what moves least, and the least change of what does not hold. */
class BruteForceTest {
  private static final int[] CAPACITIES = {0, 1, 3};

  private static int[][] cost(Instance instance, ToIntBiFunction<Integer, Integer> of) {
    int size = instance.demand().length;
    int[][] cost = new int[size][size];
    for (int o = 0; o < size; o++) {
      for (int z = 0; z < size; z++) {
        cost[o][z] = of.applyAsInt(o, z);
      }
    }
    return cost;
  }

  private static List<FailureCase> broken(Instance instance, Cases cases) {
    return cases.all().stream().filter(failure -> !instance.gale(failure.failed())).toList();
  }

  /** Solves, and holds verdict, plan and moves to brute force; returns whether it holds. */
  private static boolean agrees(Instance instance, List<FailureCase> broken) {
    PolicyModel model = instance.model();
    Cases cases = instance.anyZone();
    if (!broken.isEmpty()) {
      assertEquals(broken, PolicyCompiler.attempt(model, cases).broken(), instance::toString);
      return false;
    }
    SolvedFlows flows = PolicyCompiler.solve(model, cases);
    Plan plan = PlanMaker.make(flows);
    assertEquals(plan, PlanCodec.decode(PlanCodec.encode(plan)));
    return true;
  }

  /** In the normal case of these instances all stay at home or move; in a failure they move from there. */
  private static void movesLeast(Instance instance) {
    PolicyModel model = instance.model();
    Cases cases = instance.anyZone();
    SolvedFlows flows = PolicyCompiler.solve(model, cases);
    double[][] home = PolicyCompiler.wished(model);
    int[][] away = cost(instance, (o, z) -> o.equals(z) ? 0 : 1);
    boolean atHome = instance.cheapest(List.of(), away) == 0;
    for (int i = 0; i < (atHome ? cases.all().size() : 1); i++) {
      int least = instance.cheapest(cases.all().get(i).failed(), away);
      double moved = 0;
      for (int o = 0; o < home.length; o++) {
        moved += instance.demand()[o] - flows.loads().get(i)[o][o];
      }
      assertEquals(least, moved, 1e-5, instance + " case " + i);
    }
  }

  /**
   * Every instance of up to three zones with demands to 2 and capacities 0, 1, 3, once of those that differ by names.
   */
  @Example
  void everySmallInstance() {
    int held = 0;
    int all = 0;
    for (int size = 1; size <= 3; size++) {
      int zones = (int) Math.pow(9, size);
      for (int code = 0; code < zones; code++) {
        int[] demand = new int[size];
        int[] capacity = new int[size];
        int rest = code;
        int last = -1;
        boolean sorted = true;
        for (int z = 0; z < size; z++, rest /= 9) {
          sorted &= rest % 9 >= last;
          last = rest % 9;
          demand[z] = last % 3;
          capacity[z] = CAPACITIES[last / 3];
        }
        for (int graph = 0; sorted && graph < 1 << size * (size - 1); graph++) {
          Instance instance = new Instance(demand, capacity, helps(size, graph));
          all++;
          if (agrees(instance, broken(instance, instance.anyZone()))) {
            held++;
            movesLeast(instance);
          }
        }
      }
    }
    assertTrue(held > 100 && all > 10 * held / 9, held + " of " + all);
  }

  /**
   * Every way to fill three regions, each helped by its own and the next one, with zones of demand 0 or 1 and capacity
   * 0 to 2, once of those that differ by order: up to four zones, or -Dfailover.zones=8 (docs/FAILOVER-DESIGN.md).
   */
  @Example
  void everyRegionalInstance() {
    int held = fill(new ArrayList<>(), 0, Integer.getInteger("failover.zones", 4));
    assertTrue(held > 100, held + " hold");
  }

  /** A kind is a region times the four kinds of zones in it; kinds only grow. */
  private static int fill(List<Integer> kinds, int least, int most) {
    int held = 0;
    if (!kinds.isEmpty()) {
      int[] regions = kinds.stream().mapToInt(kind -> kind / 4).toArray();
      int[] helps = new int[regions.length];
      for (int o = 0; o < regions.length; o++) {
        for (int z = 0; z < regions.length; z++) {
          helps[o] |= regions[z] == regions[o] || regions[z] == (regions[o] + 1) % 3 ? 1 << z : 0;
        }
      }
      Instance instance = new Instance(kinds.stream().mapToInt(kind -> kind % 4 == 0 ? 0 : 1).toArray(),
          kinds.stream().mapToInt(kind -> new int[] {1, 0, 1, 2}[kind % 4]).toArray(), regions, helps, 1, 1);
      held += agrees(instance, broken(instance, instance.anyZone())) ? 1 : 0;
    }
    for (int kind = least; kind < 12 && kinds.size() < most; kind++) {
      kinds.add(kind);
      held += fill(kinds, kind, most);
      kinds.remove(kinds.size() - 1);
    }
    return held;
  }

  private static int[] helps(int size, int graph) {
    int[] helps = new int[size];
    int bits = graph;
    for (int o = 0; o < size; o++) {
      for (int z = 0; z < size; z++) {
        if (z != o) {
          helps[o] |= (bits & 1) << z;
          bits >>= 1;
        }
      }
    }
    return helps;
  }

  private static Instance random(Random random, int most, double zoneShare, double regionShare) {
    int size = 2 + random.nextInt(most - 1);
    int spare = 1 + random.nextInt(6);
    return new Instance(random.ints(size, 0, 4).toArray(),
        random.ints(size, 0, 4 + spare).toArray(), random.ints(size, 0, 3).toArray(),
        random.ints(size, 0, 1 << size).map(bits -> bits | random.nextInt(1 << size)).toArray(), zoneShare,
        regionShare);
  }

  @Property(tries = 250, seed = "1")
  void randomOnesOfEightZones(@ForAll long seed) {
    Instance instance = random(new Random(seed), 8, 1, 1);
    if (agrees(instance, broken(instance, instance.anyZone())) && instance.demand().length <= 5) {
      movesLeast(instance);
    }
  }

  /** With a bound on crossings of zones or of regions, held to the whole flow that crosses least. */
  @Property(tries = 300, seed = "2")
  void boundsOnCrossings(@ForAll long seed) {
    Random random = new Random(seed);
    boolean zones = random.nextBoolean();
    Instance drawn = random(random, 5, 1, 1);
    int whole = Arrays.stream(drawn.demand()).sum();
    int may = whole == 0 ? 0 : random.nextInt(whole + 1);
    double share = whole == 0 ? 1 : (double) may / whole;
    Instance instance = new Instance(drawn.demand(), drawn.capacity(), drawn.region(), drawn.helps(),
        zones ? share : 1, zones ? 1 : share);
    int[][] cost = cost(instance, (o, z) -> zones ? o.equals(z) ? 0 : 1
        : instance.region()[o] == instance.region()[z] ? 0 : 1);
    List<FailureCase> broken = new ArrayList<>();
    for (FailureCase failure : instance.anyZone().all()) {
      int crosses = instance.cheapest(failure.failed(), cost);
      if (crosses < 0 || crosses > may) {
        broken.add(failure);
      }
    }
    agrees(instance, broken);
  }

  /** The least change makes all cases hold, and a little less of it does not. */
  @Property(tries = 150, seed = "3")
  void leastChangeIsTheLeast(@ForAll long seed) {
    Random random = new Random(seed);
    double headroom = random.nextInt(3) * 0.2;
    Instance instance = random(random, 6, 1 - random.nextInt(3) * 0.3, 1 - random.nextInt(3) * 0.3);
    PolicyModel model = changed(instance.model(), new LeastChange.Change(new double[instance.demand().length], headroom,
        instance.zoneShare(), instance.regionShare()));
    Cases cases = instance.anyZone();
    LeastChange least = new LeastChange(model, cases.all());
    if (holds(model, cases)) {
      return;
    }
    LeastChange.Change nothing = new LeastChange.Change(new double[instance.demand().length], headroom,
        model.zoneShare(), model.regionShare());
    int found = 0;
    for (var change : List.of(least.capacity(), least.headroom(), least.crossing(), least.both())) {
      if (change.isPresent()) {
        found++;
        assertTrue(holds(changed(model, change.get()), cases), () -> instance + " " + change);
        LeastChange.Change less = less(change.get(), nothing, 2 * least.grain());
        assertFalse(holds(changed(model, less), cases), () -> instance + " " + change);
      }
    }
    boolean alone = cases.all().stream().anyMatch(failure -> failure.failed().stream()
        .anyMatch(zone -> instance.demand()[zone] > 0 && (instance.helps()[zone] & ~(1 << zone)) == 0));
    assertTrue(alone || found > 0, () -> "no change for " + instance);
  }

  private static LeastChange.Change less(LeastChange.Change change, LeastChange.Change nothing, double grain) {
    double[] capacity = Arrays.stream(change.capacity()).map(more -> Math.max(0, more - grain)).toArray();
    return new LeastChange.Change(capacity, Math.min(nothing.headroom(), change.headroom() + 2e-4),
        Math.max(nothing.zoneShare(), change.zoneShare() - 2e-4),
        Math.max(nothing.regionShare(), change.regionShare() - 2e-4));
  }

  private static PolicyModel changed(PolicyModel model, LeastChange.Change change) {
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (int i = 0; i < model.size(); i++) {
      PolicyModel.Zone zone = model.zone(i);
      zones.add(new PolicyModel.Zone(zone.name(), zone.regionName(), zone.region(), zone.demand(),
          zone.capacity() + change.capacity()[i], zone.helpers(), zone.place(), zone.capacityPlace()));
    }
    return new PolicyModel(model.fleet(), model.version(), change.headroom(), change.zoneShare(), change.regionShare(),
        model.places(), model.first(), zones);
  }

  private static boolean holds(PolicyModel model, Cases cases) {
    PolicyCompiler.Attempt attempt = PolicyCompiler.attempt(model, cases);
    if (attempt.broken().isEmpty()) {
      PlanMaker.make(new SolvedFlows(model, cases, attempt.loads()));
    }
    return attempt.broken().isEmpty();
  }
}
