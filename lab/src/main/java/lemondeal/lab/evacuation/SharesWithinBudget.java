package lemondeal.lab.evacuation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.SlowStartRamp;

/**
 * The sum of what all members may send into a zone never exceeds the fleet's budget, which grows from the moment of the
 * return's decision. Once a majority knows that the zone is left and shares have had time to run out, it is the
 * budget of the beginning; no decision is older than the first member that knew it.
 */
public final class SharesWithinBudget extends Checker {
  private static final double ROUNDING = 1e-9;

  /** What has been decided of one zone. */
  private static final class Decisions {
    long epoch;
    long returnedAt;
    boolean returned;
    Set<Integer> knowLeft = new HashSet<>();
    long majorityKnowsAt = Long.MAX_VALUE / 2;
  }

  private final Map<Integer, Decisions> zones = new HashMap<>();
  private final SlowStartRamp opening;
  private final int members;
  private final long life;
  private double closest;

  /** @param life milliseconds that a share lasts, clocks' drift included */
  public SharesWithinBudget(SlowStartRamp opening, int members, long life) {
    this.opening = opening;
    this.members = members;
    this.life = life;
  }

  @Override
  public void decided(long at, int member, Evacuation.Decision decided) {
    Decisions zone = zones.computeIfAbsent(decided.zone(), fresh -> new Decisions());
    if (decided.epoch() > zone.epoch) {
      zone.epoch = decided.epoch();
      zone.knowLeft.clear();
      zone.majorityKnowsAt = Long.MAX_VALUE / 2;
      if (!decided.evacuates()) {
        zone.returned = true;
        zone.returnedAt = at;
      }
    }
    if (decided.evacuates() && decided.epoch() == zone.epoch) {
      zone.knowLeft.add(member);
      if (zone.knowLeft.size() * 2 > members) {
        zone.majorityKnowsAt = Math.min(zone.majorityKnowsAt, at);
      }
    }
  }

  private double budget(Decisions zone, long at) {
    if (zone.epoch % 2 == 1 && at > zone.majorityKnowsAt + life) {
      return opening.initialRate();
    }
    return zone.returned ? opening.rateAt(at - zone.returnedAt) : Double.POSITIVE_INFINITY;
  }

  @Override
  public void shares(long at, int zone, double[] perSecond) {
    Decisions decisions = zones.get(zone);
    if (decisions == null) {
      return;
    }
    double sum = Arrays.stream(perSecond).sum();
    double budget = budget(decisions, at);
    closest = Double.isInfinite(budget) ? closest : Math.max(closest, sum / budget);
    if (sum > budget + ROUNDING) {
      breach(at + " ms: shares of zone " + zone + " are " + Arrays.toString(perSecond) + ", more than " + budget
          + " in epoch " + decisions.epoch);
    }
  }

  /** The largest part of a budget that was in use at once. */
  public double closest() {
    return closest;
  }
}
