package lemondeal.lab.evacuation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.SlowStartRamp;

/**
 * The sum of the members' rate limits for a zone never exceeds the fleet's budget. The budget grows from the decision
 * to return, which is dated by the first member that knew of it. Once a majority knows of an evacuation and the leases
 * have expired, the budget is the initial rate again.
 */
public final class SharesWithinBudget extends InvariantChecker {
  private static final double ROUNDING = 1e-9;

  /** The decisions on one zone. */
  private static final class ZoneHistory {
    long epoch;
    long returnedAt;
    boolean returned;
    Set<Integer> evacuatedMembers = new HashSet<>();
    long majorityKnowsAt = Long.MAX_VALUE / 2;
  }

  private final Map<Integer, ZoneHistory> zones = new HashMap<>();
  private final SlowStartRamp slowStart;
  private final int members;
  private final long leaseTtl;
  private double peakBudgetUse;

  /** @param leaseTtl lifetime of a lease on a share of the budget in milliseconds, clock drift included */
  public SharesWithinBudget(SlowStartRamp slowStart, int members, long leaseTtl) {
    this.slowStart = slowStart;
    this.members = members;
    this.leaseTtl = leaseTtl;
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    ZoneHistory history = zones.computeIfAbsent(decision.zone(), newZone -> new ZoneHistory());
    if (decision.epoch() > history.epoch) {
      history.epoch = decision.epoch();
      history.evacuatedMembers.clear();
      history.majorityKnowsAt = Long.MAX_VALUE / 2;
      if (!decision.evacuates()) {
        history.returned = true;
        history.returnedAt = trueTime;
      }
    }
    if (decision.evacuates() && decision.epoch() == history.epoch) {
      history.evacuatedMembers.add(member);
      if (history.evacuatedMembers.size() * 2 > members) {
        history.majorityKnowsAt = Math.min(history.majorityKnowsAt, trueTime);
      }
    }
  }

  private double budget(ZoneHistory history, long trueTime) {
    if (history.epoch % 2 == 1 && trueTime > history.majorityKnowsAt + leaseTtl) {
      return slowStart.initialRate();
    }
    return history.returned ? slowStart.rateAt(trueTime - history.returnedAt) : Double.POSITIVE_INFINITY;
  }

  @Override
  public void onRateLimits(long trueTime, int zone, double[] rates) {
    ZoneHistory history = zones.get(zone);
    if (history == null) {
      return;
    }
    double sum = Arrays.stream(rates).sum();
    double budget = budget(history, trueTime);
    peakBudgetUse = Double.isInfinite(budget) ? peakBudgetUse : Math.max(peakBudgetUse, sum / budget);
    if (sum > budget + ROUNDING) {
      reportBreach(trueTime + " ms: rate limits of zone " + zone + " are " + Arrays.toString(rates)
          + ", more than " + budget
          + " in epoch " + history.epoch);
    }
  }

  /** Returns the largest fraction of a budget that was allocated at one moment. */
  public double peakBudgetUse() {
    return peakBudgetUse;
  }
}
