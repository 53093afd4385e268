package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Whether a plan in force still holds for what its zones are measured to bear: asked before a case happens, so that it
 * is told in time. Pure; a zone that nothing is known of bears what the plan was compiled with.
 */
public final class PlanStanding {
  /**
   * A case that no longer holds.
   *
   * @param failed the names of the zones that would be down
   * @param zone the zone that would bear too much
   * @param load what the plan puts on it, in the policy's unit
   * @param bears what it bears, less the plan's headroom
   */
  public record Broken(List<String> failed, String zone, double load, double bears) {
    /** As the log tells it. */
    public String told() {
      return (failed.isEmpty() ? "in the normal case" : "if " + Words.list(failed) + (failed.size() == 1 ? " fails"
          : " fail")) + ", " + zone + " bears " + Words.number(bears) + " of " + Words.number(load);
    }
  }

  private PlanStanding() {}

  /**
   * The cases that no longer hold, in the plan's order; each with the zone that lacks most.
   *
   * @param capacity what zones were measured to bear in all, in the policy's unit; values that are no number or
   *     negative are passed over
   */
  public static List<Broken> broken(Plan plan, Map<String, Double> capacity) {
    List<Broken> broken = new ArrayList<>();
    for (Plan.Case planned : plan.cases()) {
      Broken worst = null;
      long[] loads = plan.loads(planned);
      long[] rounding = plan.rounding(planned);
      for (int z = 0; z < loads.length; z++) {
        double bears = bears(plan, z, capacity);
        double load = loads[z] / (1000.0 * Plan.WHOLE);
        boolean over = load > bears + rounding[z] / (1000.0 * Plan.WHOLE) + 1e-6 * Math.max(1, load);
        if (over && (worst == null || load - bears > worst.load() - worst.bears())) {
          worst = new Broken(names(plan, planned), plan.zones().get(z).name(), load, bears);
        }
      }
      if (worst != null) {
        broken.add(worst);
      }
    }
    return broken;
  }

  /**
   * What still holds of a case: each origin's weights, cut down alike where a zone is to bear more than it can. What
   * the weights lack of {@link Plan#WHOLE} has no place and is to be turned away.
   */
  public static Plan.Case stillHolds(Plan plan, Plan.Case planned, Map<String, Double> capacity) {
    long[] loads = plan.loads(planned);
    double[] part = new double[loads.length];
    for (int z = 0; z < part.length; z++) {
      double load = loads[z] / (1000.0 * Plan.WHOLE);
      part[z] = load <= 0 ? 1 : Math.min(1, bears(plan, z, capacity) / load);
    }
    List<List<Plan.Weight>> origins = new ArrayList<>();
    for (List<Plan.Weight> weights : planned.origins()) {
      origins.add(weights.stream()
          .map(weight -> new Plan.Weight(weight.zone(), (int) Math.floor(weight.weight() * part[weight.zone()] + 1e-9)))
          .filter(weight -> weight.weight() > 0).toList());
    }
    return new Plan.Case(planned.failed(), origins);
  }

  private static double bears(Plan plan, int zone, Map<String, Double> capacity) {
    Double measured = capacity.get(plan.zones().get(zone).name());
    boolean known = measured != null && Double.isFinite(measured) && measured >= 0;
    return (known ? measured : plan.zones().get(zone).capacityMilli() / 1000.0) * (1 - plan.headroom());
  }

  private static List<String> names(Plan plan, Plan.Case planned) {
    return planned.failed().stream().map(zone -> plan.zones().get(zone).name()).toList();
  }
}
