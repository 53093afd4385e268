package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondeal.failover.Plan.Weight;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Rounds flows to integer ten-thousandths, so that the last digits of the solver do not show in the plan, and verifies
 * the bounds again. Shares are rounded down; the remaining units of an origin go one by one to the zone with the
 * largest remainder that still has free capacity. Where no zone has any (a load of 1 over three zones of a third each),
 * a zone is overloaded by one unit: at most a ten-thousandth of the demand of each origin that it shares with others.
 */
final class PlanBuilder {
  /** Deviations from an integer number of units that are numerical noise of the solver. */
  private static final double SNAP_TOLERANCE = 1e-4;

  private final SolvedFlows flows;
  private final PolicyModel model;
  private final List<Plan.Zone> zones;

  private PlanBuilder(SolvedFlows flows) {
    this.flows = flows;
    model = flows.model();
    zones = model.zones().stream().map(zone -> new Plan.Zone(zone.name(), zone.regionName(),
        Math.round(zone.demand() * 1000), Math.round(zone.capacity() * 1000))).toList();
  }

  static Plan build(SolvedFlows flows) {
    return new PlanBuilder(flows).buildPlan();
  }

  private Plan buildPlan() {
    List<Plan.Case> cases = new ArrayList<>();
    for (int i = 0; i < flows.loads().size(); i++) {
      cases.add(buildCase(flows.cases().all().get(i), flows.loads().get(i)));
    }
    Plan plan = new Plan(model.fleet(), model.version(), model.headroom(), model.priorityClasses(), zones, cases);
    PlanVerifier.verify(plan, model);
    return plan;
  }

  private Plan.Case buildCase(FailureCase failure, double[][] loads) {
    int[][] units = new int[model.zoneCount()][];
    double[] freeCapacity = model.usableCapacity();
    for (int origin = 0; origin < units.length; origin++) {
      units[origin] = model.demand(origin) > 0 ? floorUnits(loads[origin], model.demand(origin)) : null;
      for (int zone = 0; units[origin] != null && zone < units.length; zone++) {
        freeCapacity[zone] -= units[origin][zone] * unitLoad(origin);
      }
    }
    List<List<Weight>> origins = new ArrayList<>();
    for (int origin = 0; origin < units.length; origin++) {
      if (units[origin] == null) {
        origins.add(defaultWeights(origin, failure));
      } else {
        distributeRemainder(origin, units[origin], loads[origin], freeCapacity);
        origins.add(weights(units[origin]));
      }
    }
    return new Plan.Case(failure.failed(), origins);
  }

  private double unitLoad(int origin) {
    return model.demand(origin) / Plan.FULL_WEIGHT;
  }

  private static int[] floorUnits(double[] loads, double demand) {
    return Arrays.stream(loads).mapToInt(load -> (int) Math.floor(exactUnits(load, demand))).toArray();
  }

  private static double exactUnits(double load, double demand) {
    double units = load / demand * Plan.FULL_WEIGHT;
    return Math.abs(units - Math.rint(units)) < SNAP_TOLERANCE ? Math.rint(units) : units;
  }

  private void distributeRemainder(int origin, int[] units, double[] loads, double[] freeCapacity) {
    double demand = model.demand(origin);
    double[] remainders =
        IntStream.range(0, units.length).mapToDouble(zone -> exactUnits(loads[zone], demand) - units[zone]).toArray();
    List<Integer> zonesByRemainder = IntStream.range(0, units.length)
        .filter(zone -> exactUnits(loads[zone], demand) > 0).boxed()
        .sorted(Comparator.comparingDouble((Integer zone) -> -Math.rint(remainders[zone] / SNAP_TOLERANCE))).toList();
    for (int unitsLeft = Plan.FULL_WEIGHT - Arrays.stream(units).sum(); unitsLeft > 0; unitsLeft--) {
      int target = zonesByRemainder.stream()
          .filter(zone -> remainders[zone] > 0 && freeCapacity[zone] >= unitLoad(origin) - model.tolerance())
          .findFirst().orElse(zonesByRemainder.stream().filter(zone -> remainders[zone] > 0).findFirst()
              .orElse(zonesByRemainder.get(0)));
      units[target]++;
      freeCapacity[target] -= unitLoad(origin);
      remainders[target] = 0;
    }
  }

  private static List<Weight> weights(int[] units) {
    return IntStream.range(0, units.length).filter(zone -> units[zone] > 0)
        .mapToObj(zone -> new Weight(zone, units[zone])).toList();
  }

  /** Weights for an origin without demand, which may get some later: the first step with an available zone. */
  private List<Weight> defaultWeights(int origin, FailureCase failure) {
    List<Helper> available = model.zone(origin).helpers().stream()
        .filter(helper -> !failure.failed().contains(helper.zone()) && model.usableCapacity()[helper.zone()] > 0)
        .toList();
    int step = available.stream().mapToInt(Helper::step).min().orElse(-1);
    List<Helper> firstStep = available.stream().filter(helper -> helper.step() == step).toList();
    if (firstStep.isEmpty()) {
      return List.of();
    }
    double totalWeight = firstStep.stream().mapToDouble(Helper::weight).sum();
    int[] units = new int[model.zoneCount()];
    firstStep.forEach(helper -> units[helper.zone()] =
        (int) Math.floor(helper.weight() / totalWeight * Plan.FULL_WEIGHT));
    for (int i = 0; Arrays.stream(units).sum() < Plan.FULL_WEIGHT; i++) {
      units[firstStep.get(i % firstStep.size()).zone()]++;
    }
    return weights(units);
  }
}
