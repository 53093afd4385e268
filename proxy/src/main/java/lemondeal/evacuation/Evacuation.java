package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One proxy's part in evacuating zones and returning to them. Reports of the other proxies, observations and the time
 * go in; this proxy's own report and its access to each zone come out. Does no I/O, has no clock, and must be called by
 * one thread at a time. Times are milliseconds of the local monotonic clock.
 *
 * <p>An epoch's number defines its meaning, so two majorities cannot decide differently on the same epoch. A proxy
 * votes for the next epoch once enough peers have answered after its start, and adopts the highest epoch in any report.
 * Rates beyond the baseline rate need a lease: recent reports of a majority that knows the same epoch and does not vote
 * against it.
 */
public final class Evacuation {
  /** Maximum number of zones tracked; reports about further zones are ignored. */
  private static final int MAX_ZONES = 64;

  private final ZoneMembership membership;
  private final EvacuationSettings settings;
  private final QuorumRules quorumRules;
  private final RecoveryBudget recoveryBudget;
  private final ZoneHealthTracker healthTracker;
  private final PeerReports peerReports;
  private final Map<Integer, ZoneState> zoneStates = new TreeMap<>();
  private final Set<Integer> readyZones = new TreeSet<>();
  private final EvacuationState savedState;
  private final int requiredAnswers;
  private final long incarnation;
  private final long startedAt;
  private long reportSequence;
  private long lastTickAt;
  /** Whether enough peers have answered since the start. */
  private boolean startupQuorumReached;
  /**
   * Whether this proxy knows every decision that it ever knew: its saved state was intact, or enough peers have
   * answered since.
   */
  private boolean hasFullHistory;
  private boolean reportDue;
  private byte[] planDigest;

  /**
   * A decision as this proxy learned of it.
   *
   * @param countedHere whether this proxy counted the votes itself; otherwise it adopted the epoch from a report
   */
  public record Decision(int zone, long epoch, boolean countedHere) {
    public boolean evacuates() {
      return epoch % 2 == 1;
    }
  }

  /**
   * @param defaultRamp slow-start ramp of zones for which none was set
   * @param incarnation of this start; must be greater than that of all earlier starts
   * @param restored the state saved on disk, {@link EvacuationState#NONE} on the very first start; empty if it is
   *     damaged or lost, in which case this proxy may have belonged to a majority that it no longer remembers
   */
  public Evacuation(ZoneMembership membership, EvacuationSettings settings, SlowStartRamp defaultRamp, long incarnation,
      Optional<EvacuationState> restored, long now) {
    this(membership, settings, defaultRamp, incarnation, restored, now, new QuorumRules());
  }

  Evacuation(ZoneMembership membership, EvacuationSettings settings, SlowStartRamp defaultRamp, long incarnation,
      Optional<EvacuationState> restored, long now, QuorumRules quorumRules) {
    this.membership = membership;
    this.settings = settings;
    this.quorumRules = quorumRules;
    savedState = restored.orElse(EvacuationState.NONE);
    hasFullHistory = restored.isPresent();
    requiredAnswers = requiredAnswers(membership.size(), hasFullHistory);
    this.incarnation = incarnation;
    planDigest = savedState.planDigest();
    startedAt = now;
    lastTickAt = now;
    healthTracker = new ZoneHealthTracker(settings.evidence());
    peerReports = new PeerReports(membership);
    recoveryBudget = new RecoveryBudget(membership, settings, quorumRules, peerReports, defaultRamp);
    savedState.zones().keySet().stream().limit(MAX_ZONES).forEach(this::zoneState);
  }

  /**
   * Number of peers that must answer a starting proxy. With its history intact, it and those peers must form a
   * majority. Without it, this proxy may have been one of the majority that made a decision, so the peers must
   * intersect the rest of any such majority.
   */
  private static int requiredAnswers(int members, boolean hasFullHistory) {
    int majority = members / 2 + 1;
    return Math.min(members - 1, hasFullHistory ? majority - 1 : members - majority + 1);
  }

  /** The tracker that receives this proxy's observations. */
  public ZoneHealthTracker healthTracker() {
    return healthTracker;
  }

  /**
   * Sets the zone's slow-start ramp. All proxies of the fleet must use the same ramp, derived from settings alone. A
   * proxy that knows of less capacity may lower its own with {@link SlowStartRamp#cappedAt}, as a lower rate is always
   * safe.
   */
  public void setRamp(int zone, SlowStartRamp ramp) {
    recoveryBudget.setRamp(zone, ramp);
  }

  /**
   * Sets the rate that this proxy would send to the zone if it were open. The part of its share beyond that is lent to
   * proxies that need more; without a known demand, nothing is lent.
   *
   * @param perSecond new connections a second
   */
  public void setDemand(int zone, double perSecond) {
    recoveryBudget.setDemand(zone, perSecond);
  }

  /** Receives the newest report of a proxy; an invalid one is counted and otherwise ignored. */
  public void receiveReport(String owner, byte[] content) {
    peerReports.receive(owner, content);
  }

  /** Number of invalid reports so far. */
  public long rejectedReports() {
    return peerReports.rejectedReports();
  }

  /**
   * Updates observations and votes, and counts votes. Must be called several times in each report interval.
   *
   * @return decisions that became known, in order
   */
  public List<Decision> tick(long now) {
    long elapsed = now - lastTickAt;
    lastTickAt = now;
    if (elapsed * 2 > settings.evidence().minOutage()) {
      healthTracker.clearFailures();
      zoneStates.values().forEach(state -> state.resetAfterPause(now));
    }
    updateObservations(now);
    startupQuorumReached |= peerReports.countFreshPeers(settings.voteTtl(), now) >= requiredAnswers;
    hasFullHistory |= startupQuorumReached;
    List<Decision> decisions = new ArrayList<>();
    for (ZoneState state : zoneStates.values()) {
      adoptNewerEpoch(state, now, decisions);
    }
    Map<Integer, ZoneDiagnosis> diagnoses = localDiagnoses(now);
    for (ZoneState state : zoneStates.values()) {
      updateVote(state, diagnoses.getOrDefault(state.zone, ZoneDiagnosis.UNKNOWN), now);
      countVotes(state, now, decisions);
      // The time before this proxy learned of the return does not count as healthy.
      updateRecovery(state, Math.min(Math.min(elapsed, 2 * settings.reportInterval()), now - state.epochLearnedAt),
          now);
    }
    return decisions;
  }

  private void updateObservations(long now) {
    readyZones.clear();
    healthTracker.evidenceByZone(now).forEach((zone, evidence) -> {
      readyZones.add(zone);
      if (zoneStates.containsKey(zone) || zoneStates.size() < MAX_ZONES) {
        zoneState(zone).observe(evidence.reachability(settings.evidence()), now);
      }
    });
    zoneStates.values().stream().filter(state -> !readyZones.contains(state.zone))
        .forEach(state -> state.observe(Reachability.UNKNOWN, now));
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (peerReports.report(memberIndex) != null) {
        peerReports.report(memberIndex).zones().keySet().stream().filter(zone -> zoneStates.size() < MAX_ZONES)
            .forEach(this::zoneState);
      }
    }
  }

  private ZoneState zoneState(int zone) {
    return zoneStates.computeIfAbsent(zone, key -> new ZoneState(zone, savedState.zones().get(zone), startedAt));
  }

  /** This proxy's own diagnosis of each zone. */
  public Map<Integer, ZoneDiagnosis> localDiagnoses(long now) {
    return ZoneClassifier.classifyLocally(membership.zone(), healthTracker.evidenceByZone(now),
        healthTracker.listAge(now), settings.evidence());
  }

  /**
   * Whether so many servers of the zone fail that the zone itself may have failed; more frequent probes are then
   * worthwhile.
   */
  public boolean suspectsFailure(int zone, long now) {
    ZoneEvidence evidence = healthTracker.evidenceByZone(now).get(zone);
    return evidence != null && evidence.failing() >= ZoneEvidence.requiredFailing(evidence.readyServers());
  }

  /** The diagnosis of a zone, including the peers' observations. */
  public ZoneDiagnosis diagnosisWithPeers(int zone, long now) {
    List<ZoneClassifier.PeerObservation> observations = new ArrayList<>();
    Set<Integer> liveMembers = liveMembers(now);
    liveMembers.stream().filter(memberIndex -> memberIndex != membership.selfIndex()).forEach(memberIndex ->
        observations.add(new ZoneClassifier.PeerObservation(membership.zone(memberIndex),
            peerReports.report(memberIndex).status(zone).reachability())));
    return ZoneClassifier.classifyWithPeers(localDiagnoses(now).getOrDefault(zone, ZoneDiagnosis.UNKNOWN),
        membership.zone(), observations, membership.size(),
        QuorumRules.requiredVantages(liveMembers, membership, zone));
  }

  /** Indexes of the members with a report that is certainly recent, this proxy included. */
  private Set<Integer> liveMembers(long now) {
    Set<Integer> members = new TreeSet<>();
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (memberIndex == membership.selfIndex() || peerReports.isFresh(memberIndex, settings.voteTtl(), now)) {
        members.add(memberIndex);
      }
    }
    return members;
  }

  // ---- Decisions -----------------------------------------------------------------------------

  /** Adopts the highest epoch in any report. An epoch is decided for good, so the report may be of any age. */
  private void adoptNewerEpoch(ZoneState state, long now, List<Decision> decisions) {
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      EvacuationReport report = peerReports.report(memberIndex);
      if (report != null && quorumRules.isNewerEpoch(report.status(state.zone).epoch(), state.epoch)) {
        advance(state, report.status(state.zone).epoch(), report.status(state.zone).relapses(), false, now, decisions);
      }
    }
  }

  private void advance(ZoneState state, long epoch, int relapses, boolean countedHere, long now,
      List<Decision> decisions) {
    state.advanceTo(epoch, relapses, now, settings.relapseWindow());
    decisions.add(new Decision(state.zone, epoch, countedHere));
    reportDue = true;
  }

  private void updateVote(ZoneState state, ZoneDiagnosis diagnosis, long now) {
    boolean vote = startupQuorumReached
        && (state.isEvacuated() ? canReturn(state, now) : shouldEvacuate(state, diagnosis, now));
    reportDue |= vote != state.votesForNextEpoch;
    state.setVote(vote, now);
  }

  private boolean shouldEvacuate(ZoneState state, ZoneDiagnosis diagnosis, long now) {
    return diagnosis.supportsEvacuation() && now - state.epochLearnedAt >= settings.evacuateDwell()
        && zoneStates.values().stream().anyMatch(other -> other != state && canTakeOver(other, now));
  }

  /** Whether the zone can take over while another is evacuated; the last zone must not be evacuated. */
  private boolean canTakeOver(ZoneState other, long now) {
    return !other.isEvacuated() && other.reachability.isResponding()
        && now - other.lastVotedAt > 2 * settings.withClockDrift(settings.voteTtl());
  }

  private boolean canReturn(ZoneState state, long now) {
    long dwell = settings.returnDwell(state.relapses);
    boolean responding = now - state.lastRespondedAt <= settings.evidence().observationTtl();
    return readyZones.contains(state.zone)
        && state.healthyFor(now) >= (responding ? dwell : dwell * settings.unobservedDwells());
  }

  private void countVotes(ZoneState state, long now, List<Decision> decisions) {
    Set<Integer> liveMembers = liveMembers(now);
    Set<Integer> voters = new TreeSet<>();
    for (int memberIndex : liveMembers) {
      boolean voted = memberIndex == membership.selfIndex() ? state.votesForNextEpoch
          : votesForNextEpoch(peerReports.report(memberIndex).status(state.zone), state);
      if (voted) {
        voters.add(memberIndex);
      }
    }
    if (!voters.isEmpty() && quorumRules.hasQuorum(voters, liveMembers, membership, state.zone)) {
      advance(state, state.epoch + 1, 0, true, now, decisions);
    }
  }

  private static boolean votesForNextEpoch(EvacuationReport.ZoneStatus status, ZoneState state) {
    return status.votesForNextEpoch() && status.epoch() == state.epoch;
  }

  // ---- Recovery ------------------------------------------------------------------------------

  private void updateRecovery(ZoneState state, long elapsed, long now) {
    // Loans that an earlier process of this proxy granted must have expired first.
    if (!state.isEvacuated() && !state.fullyOpen && now - startedAt >= settings.withClockDrift(settings.leaseTtl())) {
      recoveryBudget.addHealthyTime(state, recoveryBudget.hasLease(state, hasFullHistory, now), elapsed, now);
    }
    // A zone that was never evacuated needs no recovery, once a majority confirms that it never was.
    state.fullyOpen |= state.epoch == 0 && recoveryBudget.hasLease(state, hasFullHistory, now);
  }

  // ---- Access and reports --------------------------------------------------------------------

  /**
   * What this proxy may send to a zone now. Must be evaluated before each send, because a lease may have expired since.
   */
  public ZoneAccess access(int zone, long now) {
    ZoneState state = zoneState(zone);
    if (!startupQuorumReached && now - startedAt < settings.startupQueryTimeout()) {
      return ZoneAccess.blocked(zone, ZoneAccess.State.ASKING, state.epoch);
    }
    if (state.isEvacuated() && !allEvacuated()) {
      return ZoneAccess.blocked(zone, ZoneAccess.State.CLOSED, state.epoch);
    }
    SlowStartRamp ramp = recoveryBudget.ramp(zone);
    if (state.isEvacuated() || !recoveryBudget.hasLease(state, hasFullHistory, now)) {
      return new ZoneAccess(zone, ZoneAccess.State.CAREFUL, ramp.openShare(0), recoveryBudget.baselineRate(zone),
          state.epoch);
    }
    if (state.fullyOpen) {
      return new ZoneAccess(zone, ZoneAccess.State.OPEN, 1, Double.POSITIVE_INFINITY, state.epoch);
    }
    if (state.reachability == Reachability.UNREACHED) {
      return ZoneAccess.blocked(zone, ZoneAccess.State.RELAPSING, state.epoch);
    }
    return new ZoneAccess(zone, ZoneAccess.State.OPENING, ramp.openShare(state.healthyMillis),
        recoveryBudget.allowedRate(state, now), state.epoch);
  }

  /**
   * Whether every zone is evacuated. In that case the failure is not one of a zone, and the evacuations are not
   * applied.
   */
  private boolean allEvacuated() {
    return readyZones.stream().allMatch(zone -> zoneState(zone).isEvacuated());
  }

  /** The access to all known zones, ordered by zone. */
  public List<ZoneAccess> accesses(long now) {
    return List.copyOf(zoneStates.keySet()).stream().map(zone -> access(zone, now)).toList();
  }

  /** Whether a change should be reported to the peers before the next report is due. */
  public boolean reportDue() {
    return reportDue;
  }

  /** This proxy's next report, encoded. */
  public byte[] nextReport(long now) {
    reportDue = false;
    Map<Integer, EvacuationReport.ZoneStatus> statuses = new TreeMap<>();
    zoneStates.forEach((zone, state) -> statuses.put(zone, status(state, now)));
    return peerReports.encodeOwn(incarnation, ++reportSequence, hasFullHistory, statuses, now);
  }

  private EvacuationReport.ZoneStatus status(ZoneState state, long now) {
    boolean recovering = access(state.zone, now).state() == ZoneAccess.State.OPENING;
    return new EvacuationReport.ZoneStatus(state.epoch, state.votesForNextEpoch, state.reachability,
        state.fullyOpen && !state.isEvacuated(), state.relapses, recoveryBudget.wantedMilliRate(state, recovering),
        recoveryBudget.grantLoans(state, recovering, now));
  }

  /** Records the digest of the plan that is in force from now on. */
  public void setPlanDigest(byte[] digest) {
    planDigest = digest.clone();
  }

  /** Whether this proxy votes for the zone's next epoch. */
  public boolean votesForNextEpoch(int zone) {
    return zoneState(zone).votesForNextEpoch;
  }

  /** The state to save on disk whenever a decision has become known. */
  public EvacuationState state() {
    Map<Integer, EvacuationState.ZoneEpoch> zones = new TreeMap<>();
    zoneStates.values().stream().filter(state -> state.epoch > 0).forEach(state ->
        zones.put(state.zone, new EvacuationState.ZoneEpoch(state.epoch, state.relapses)));
    return new EvacuationState(zones, planDigest);
  }
}
