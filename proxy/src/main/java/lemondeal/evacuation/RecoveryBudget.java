package lemondeal.evacuation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * This proxy's share of the rate that the fleet may send to a returning zone. The nth part of the initial rate is
 * always available to each of n proxies, so that proxies without contact to each other together stay within the initial
 * rate. Rates beyond that need a lease: recent confirmations by a majority. A proxy lends the part that it does not
 * need to proxies that want more.
 */
final class RecoveryBudget {
  /** Margin above its demand that a proxy keeps of its share, because demand is uneven. */
  private static final double DEMAND_HEADROOM = 1.25;
  private static final double MILLI_PER_UNIT = 1_000;

  private final ZoneMembership membership;
  private final EvacuationSettings settings;
  private final QuorumRules quorumRules;
  private final PeerReports peerReports;
  private final SlowStartRamp defaultRamp;
  private final Map<Integer, SlowStartRamp> ramps = new HashMap<>();
  private final Map<Integer, LoanLedger> loansByZone = new HashMap<>();
  private final Map<Integer, Double> demands = new HashMap<>();

  RecoveryBudget(ZoneMembership membership, EvacuationSettings settings, QuorumRules quorumRules,
      PeerReports peerReports, SlowStartRamp defaultRamp) {
    this.membership = membership;
    this.settings = settings;
    this.quorumRules = quorumRules;
    this.peerReports = peerReports;
    this.defaultRamp = defaultRamp;
  }

  void setRamp(int zone, SlowStartRamp ramp) {
    ramps.put(zone, ramp);
  }

  SlowStartRamp ramp(int zone) {
    return ramps.getOrDefault(zone, defaultRamp);
  }

  void setDemand(int zone, double perSecond) {
    demands.put(zone, perSecond);
  }

  /** The rate that this proxy may always use. */
  double baselineRate(int zone) {
    return ramp(zone).initialRate() / membership.size();
  }

  /**
   * Whether a majority knows the same epoch of the zone as this proxy, does not vote for another, and certainly said so
   * recently.
   *
   * @param hasFullHistory whether this proxy's own view counts
   */
  boolean hasLease(ZoneState state, boolean hasFullHistory, long now) {
    int supporters = hasFullHistory && !state.votesForNextEpoch ? 1 : 0;
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (isFresh(memberIndex, now)) {
        EvacuationReport.ZoneStatus status = peerReports.report(memberIndex).status(state.zone);
        supporters += peerReports.report(memberIndex).hasFullHistory() && status.epoch() == state.epoch
            && !status.votesForNextEpoch() ? 1 : 0;
      }
    }
    return quorumRules.leaseHolds(supporters, membership.size());
  }

  private boolean isFresh(int memberIndex, long now) {
    return memberIndex != membership.selfIndex() && peerReports.isFresh(memberIndex, settings.leaseTtl(), now);
  }

  /** Adds the time for which the zone's servers were healthy, as observed here or reported by peers. */
  void addHealthyTime(ZoneState state, boolean hasLease, long elapsed, long now) {
    boolean responding = state.reachability.isResponding();
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (isFresh(memberIndex, now)) {
        EvacuationReport.ZoneStatus status = peerReports.report(memberIndex).status(state.zone);
        state.fullyOpen |= status.fullyOpen() && status.epoch() == state.epoch;
        responding |= status.reachability().isResponding();
      }
    }
    if (state.reachability == Reachability.UNREACHED) {
      state.healthyMillis = 0;
    } else if (responding && state.reachability != Reachability.LATE && hasLease) {
      state.healthyMillis += elapsed * (1 - 2 * settings.maxClockDrift());
    }
    state.fullyOpen |= state.healthyMillis >= ramp(state.zone).durationMillis();
  }

  /** New connections a second to a recovering zone: this proxy's share, less the loans granted, plus those received. */
  double allowedRate(ZoneState state, long now) {
    double retained = ownShare(state)
        - quorumRules.reservedForLoans(ledger(state.zone).outstanding(now)) / MILLI_PER_UNIT;
    return Math.max(baselineRate(state.zone), retained) + borrowedRate(state, now);
  }

  private double ownShare(ZoneState state) {
    return ramp(state.zone).rateAt(state.healthyMillis) / membership.size();
  }

  private double borrowedRate(ZoneState state, long now) {
    double borrowed = 0;
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (isFresh(memberIndex, now) && peerReports.report(memberIndex).status(state.zone).epoch() == state.epoch) {
        for (EvacuationReport.Loan loan : peerReports.report(memberIndex).status(state.zone).loans()) {
          borrowed += loan.borrower() == membership.selfIndex() ? loan.milliRate() / MILLI_PER_UNIT : 0;
        }
      }
    }
    return borrowed;
  }

  private LoanLedger ledger(int zone) {
    return loansByZone.computeIfAbsent(zone, key -> new LoanLedger(settings.withClockDrift(settings.leaseTtl())));
  }

  /** Thousandths of connections a second that this proxy would use beyond its share. */
  int wantedMilliRate(ZoneState state, boolean recovering) {
    double missing = recovering ? demands.getOrDefault(state.zone, 0.0) * DEMAND_HEADROOM - ownShare(state) : 0;
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE / 4, missing * MILLI_PER_UNIT));
  }

  /** The loans of the zone's budget for the next report. */
  List<EvacuationReport.Loan> grantLoans(ZoneState state, boolean recovering, long now) {
    if (!recovering || !demands.containsKey(state.zone)) {
      return List.of();
    }
    double ownNeed = Math.max(baselineRate(state.zone), demands.get(state.zone) * DEMAND_HEADROOM);
    Map<Integer, Integer> wantedByMember = new TreeMap<>();
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (isFresh(memberIndex, now) && peerReports.report(memberIndex).status(state.zone).epoch() == state.epoch
          && peerReports.report(memberIndex).status(state.zone).wantedMilliRate() > 0) {
        wantedByMember.put(memberIndex, peerReports.report(memberIndex).status(state.zone).wantedMilliRate());
      }
    }
    long limit = (long) Math.max(0, (ownShare(state) - ownNeed) * MILLI_PER_UNIT);
    return ledger(state.zone).grant(limit, wantedByMember, now);
  }
}
