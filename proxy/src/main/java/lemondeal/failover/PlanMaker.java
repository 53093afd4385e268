package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondeal.failover.Plan.Weight;
import lemondeal.failover.PolicyModel.Helper;

/**
 * Makes whole ten-thousandths of flows, so that a solver's last digits cannot show, and reckons anew with them whether
 * all bounds hold. Shares are rounded down; what is left of an origin goes one by one to where most was cut off and
 * there still is room. Where there is none anywhere (a third of a load of 1, three zones of a third) a unit stands
 * over: never more than a ten-thousandth of the demand of each origin that the zone shares with others.
 */
final class PlanMaker {
  /** Parts of a unit that are a solver's noise and no part. */
  private static final double SNAP = 1e-4;

  private final SolvedFlows flows;
  private final PolicyModel model;
  private final List<Plan.Zone> zones;

  private PlanMaker(SolvedFlows flows) {
    this.flows = flows;
    model = flows.model();
    zones = model.zones().stream().map(zone -> new Plan.Zone(zone.name(), zone.regionName(),
        Math.round(zone.demand() * 1000), Math.round(zone.capacity() * 1000))).toList();
  }

  static Plan make(SolvedFlows flows) {
    return new PlanMaker(flows).plan();
  }

  private Plan plan() {
    List<Plan.Case> cases = new ArrayList<>();
    for (int i = 0; i < flows.loads().size(); i++) {
      cases.add(planned(flows.cases().all().get(i), flows.loads().get(i)));
    }
    Plan plan = new Plan(model.fleet(), model.version(), model.headroom(), model.first(), zones, cases);
    PlanCheck.check(plan, model);
    return plan;
  }

  private Plan.Case planned(FailureCase failure, double[][] loads) {
    int[][] units = new int[model.size()][];
    double[] room = model.usable();
    for (int o = 0; o < units.length; o++) {
      units[o] = model.demand(o) > 0 ? floors(loads[o], model.demand(o)) : null;
      for (int z = 0; units[o] != null && z < units.length; z++) {
        room[z] -= units[o][z] * unit(o);
      }
    }
    List<List<Weight>> origins = new ArrayList<>();
    for (int o = 0; o < units.length; o++) {
      if (units[o] == null) {
        origins.add(idle(o, failure));
      } else {
        spread(o, units[o], loads[o], room);
        origins.add(weights(units[o]));
      }
    }
    return new Plan.Case(failure.failed(), origins);
  }

  private double unit(int origin) {
    return model.demand(origin) / Plan.WHOLE;
  }

  private static int[] floors(double[] loads, double demand) {
    return Arrays.stream(loads).mapToInt(load -> (int) Math.floor(exact(load, demand))).toArray();
  }

  private static double exact(double load, double demand) {
    double units = load / demand * Plan.WHOLE;
    return Math.abs(units - Math.rint(units)) < SNAP ? Math.rint(units) : units;
  }

  private void spread(int origin, int[] units, double[] loads, double[] room) {
    double demand = model.demand(origin);
    double[] cut = IntStream.range(0, units.length).mapToDouble(z -> exact(loads[z], demand) - units[z]).toArray();
    List<Integer> order = IntStream.range(0, units.length).filter(z -> exact(loads[z], demand) > 0).boxed()
        .sorted(Comparator.comparingDouble((Integer z) -> -Math.rint(cut[z] / SNAP))).toList();
    for (int left = Plan.WHOLE - Arrays.stream(units).sum(); left > 0; left--) {
      int to = order.stream().filter(z -> cut[z] > 0 && room[z] >= unit(origin) - model.noise()).findFirst()
          .orElse(order.stream().filter(z -> cut[z] > 0).findFirst().orElse(order.get(0)));
      units[to]++;
      room[to] -= unit(origin);
      cut[to] = 0;
    }
  }

  private static List<Weight> weights(int[] units) {
    return IntStream.range(0, units.length).filter(z -> units[z] > 0).mapToObj(z -> new Weight(z, units[z])).toList();
  }

  /** Nobody is there now, but someone may come: the first step that has a zone left, by its weights. */
  private List<Weight> idle(int origin, FailureCase failure) {
    List<Helper> live = model.zone(origin).helpers().stream()
        .filter(helper -> !failure.failed().contains(helper.zone()) && model.usable()[helper.zone()] > 0).toList();
    int step = live.stream().mapToInt(Helper::step).min().orElse(-1);
    List<Helper> taken = live.stream().filter(helper -> helper.step() == step).toList();
    if (taken.isEmpty()) {
      return List.of();
    }
    double sum = taken.stream().mapToDouble(Helper::weight).sum();
    int[] units = new int[model.size()];
    taken.forEach(helper -> units[helper.zone()] = (int) Math.floor(helper.weight() / sum * Plan.WHOLE));
    for (int i = 0; Arrays.stream(units).sum() < Plan.WHOLE; i++) {
      units[taken.get(i % taken.size()).zone()]++;
    }
    return weights(units);
  }
}
