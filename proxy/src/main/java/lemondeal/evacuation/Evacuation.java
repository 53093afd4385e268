package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One proxy's part in leaving zones together and coming back. Rows of others, observations and the time go in; the own
 * row and the zones' standings come out. Pure: no clock, no I/O, one caller at a time. Times are milliseconds of the
 * local monotonic clock.
 *
 * <p>An epoch's content is fixed by its number, so two majorities can't decide differently on one. A proxy votes for
 * the next epoch once it has asked a majority, and follows the highest that any row tells. Whatever a proxy sends
 * beyond its careful share needs fresh words of a majority that knows the same epoch and does not vote against it.
 */
public final class Evacuation {
  /** Zones held at most; what rows tell of others is left. */
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
  /** Whether enough others have answered since the start. */
  private boolean startupQuorumReached;
  /** Whether it knows all that it ever knew: what was kept was whole, or the others have told it. */
  private boolean hasFullHistory;
  private boolean reportDue;
  private byte[] planDigest;

  /**
   * A decision as this proxy came to know it.
   *
   * @param here whether it counted the votes itself
   */
  public record Decision(int zone, long epoch, boolean countedHere) {
    public boolean evacuates() {
      return epoch % 2 == 1;
    }
  }

  /**
   * @param usual how zones open of which nothing else is told
   * @param incarnation of this start, above those of all earlier ones
   * @param kept what was kept on disk, {@link EvacuationState#NONE} on the first start ever; empty where it is
   *     damaged or lost: the proxy may then have been one of a majority that it does not remember
   */
  public Evacuation(ZoneMembership membership, EvacuationSettings settings, SlowStartRamp defaultRamp, long incarnation,
      Optional<EvacuationState> restored, long now) {
    this(membership, settings, defaultRamp, incarnation, restored, now, new QuorumRules());
  }

  Evacuation(ZoneMembership membership, EvacuationSettings settings, SlowStartRamp defaultRamp, long incarnation, Optional<EvacuationState> restored,
      long now, QuorumRules quorumRules) {
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
   * Others that a starting proxy must hear: with it they are a majority if it remembers what it knew. If not, it may
   * have been one of the majority that decided, and must meet that majority's others.
   */
  private static int requiredAnswers(int members, boolean hasFullHistory) {
    int majority = members / 2 + 1;
    return Math.min(members - 1, hasFullHistory ? majority - 1 : members - majority + 1);
  }

  /** Where this proxy's observations go. */
  public ZoneHealthTracker healthTracker() {
    return healthTracker;
  }

  /**
   * From now on the zone opens like this. Every proxy of the fleet must be told the same, from settings alone; one that
   * knows of less room may hold its own down with {@link Opening#within}, as less is always safe.
   */
  public void setRamp(int zone, SlowStartRamp ramp) {
    recoveryBudget.ramp(zone, ramp);
  }

  /**
   * What this proxy would send into the zone if it were open. What its share has beyond that is lent to proxies that
   * have too little; while nothing is told, nothing is.
   *
   * @param perSecond new connections a second
   */
  public void setDemand(int zone, double perSecond) {
    recoveryBudget.setDemand(zone, perSecond);
  }

  /** Takes the newest content of a proxy's row; one that is not usable is counted and changes nothing. */
  public void receiveReport(String owner, byte[] content) {
    peerReports.receive(owner, content);
  }

  /** Rows that were not usable so far. */
  public long ignoredReports() {
    return peerReports.ignoredReports();
  }

  /**
   * Judges, votes and counts. To be called a few times in each interval between rows.
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
    startupQuorumReached |= peerReports.answeredPeers(settings.voteTtl(), now) >= requiredAnswers;
    hasFullHistory |= startupQuorumReached;
    List<Decision> decisions = new ArrayList<>();
    for (ZoneState state : zoneStates.values()) {
      adoptNewerEpoch(state, now, decisions);
    }
    Map<Integer, ZoneDiagnosis> diagnoses = localDiagnoses(now);
    for (ZoneState state : zoneStates.values()) {
      updateVote(state, diagnoses.getOrDefault(state.zone, ZoneDiagnosis.UNKNOWN), now);
      countVotes(state, now, decisions);
      // What passed before this proxy learnt of the return proves nothing.
      updateRecovery(state, Math.min(Math.min(elapsed, 2 * settings.reportInterval()), now - state.epochLearnedAt), now);
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

  /** What this proxy takes the zones' failures for, by itself. */
  public Map<Integer, ZoneDiagnosis> localDiagnoses(long now) {
    return ZoneClassifier.classifyLocally(membership.zone(), healthTracker.evidenceByZone(now), healthTracker.listAge(now), settings.evidence());
  }

  /** Whether enough servers of the zone fail for asking them more often to be worth it: it may be the zone. */
  public boolean suspectsFailure(int zone, long now) {
    ZoneEvidence evidence = healthTracker.evidenceByZone(now).get(zone);
    return evidence != null && evidence.failing() >= ZoneEvidence.requiredFailing(evidence.readyServers());
  }

  /** The verdict on a zone with what the others see. */
  public ZoneDiagnosis diagnosisWithPeers(int zone, long now) {
    List<ZoneClassifier.PeerObservation> observations = new ArrayList<>();
    Set<Integer> liveMembers = liveMembers(now);
    liveMembers.stream().filter(memberIndex -> memberIndex != membership.selfIndex()).forEach(memberIndex ->
        observations.add(new ZoneClassifier.PeerObservation(membership.zone(memberIndex), peerReports.report(memberIndex).status(zone).reachability())));
    return ZoneClassifier.classifyWithPeers(localDiagnoses(now).getOrDefault(zone, ZoneDiagnosis.UNKNOWN), membership.zone(), observations, membership.size(),
        QuorumRules.requiredVantages(liveMembers, membership, zone));
  }

  /** Places of the proxies heard of for certain, this one included. */
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

  /** The highest epoch that anybody knows is the fleet's, however old the row is. */
  private void adoptNewerEpoch(ZoneState state, long now, List<Decision> decisions) {
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      EvacuationReport report = peerReports.report(memberIndex);
      if (report != null && quorumRules.isNewerEpoch(report.status(state.zone).epoch(), state.epoch)) {
        advance(state, report.status(state.zone).epoch(), report.status(state.zone).relapses(), false, now, decisions);
      }
    }
  }

  private void advance(ZoneState state, long epoch, int relapses, boolean countedHere, long now, List<Decision> decisions) {
    state.advanceTo(epoch, relapses, now, settings.relapseWindow());
    decisions.add(new Decision(state.zone, epoch, countedHere));
    reportDue = true;
  }

  private void updateVote(ZoneState state, ZoneDiagnosis diagnosis, long now) {
    boolean vote = startupQuorumReached && (state.isEvacuated() ? canReturn(state, now) : shouldEvacuate(state, diagnosis, now));
    reportDue |= vote != state.votesForNextEpoch;
    state.setVote(vote, now);
  }

  private boolean shouldEvacuate(ZoneState state, ZoneDiagnosis diagnosis, long now) {
    return diagnosis.supportsEvacuation() && now - state.epochLearnedAt >= settings.evacuateDwell()
        && zoneStates.values().stream().anyMatch(other -> other != state && canTakeOver(other, now));
  }

  /** Whether the zone can be counted on while another is left: nobody may leave the last one. */
  private boolean canTakeOver(ZoneState other, long now) {
    return !other.isEvacuated() && other.reachability.isResponding() && now - other.lastVotedAt > 2 * settings.withClockDrift(settings.voteTtl());
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
      boolean voted = memberIndex == membership.selfIndex() ? state.votesForNextEpoch : votesForNextEpoch(peerReports.report(memberIndex).status(state.zone), state);
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

  // ---- Return --------------------------------------------------------------------------------

  private void updateRecovery(ZoneState state, long elapsed, long now) {
    // What an earlier start of this proxy lent out must have run out first.
    if (!state.isEvacuated() && !state.fullyOpen && now - startedAt >= settings.withClockDrift(settings.leaseTtl())) {
      recoveryBudget.addHealthyTime(state, recoveryBudget.hasLease(state, hasFullHistory, now), elapsed, now);
    }
    // A zone that was never left has nothing to prove, once a majority says so.
    state.fullyOpen |= state.epoch == 0 && recoveryBudget.hasLease(state, hasFullHistory, now);
  }

  // ---- What comes out ------------------------------------------------------------------------

  /** How this proxy stands to a zone at this moment: asked anew before each send, as a share may have run out since. */
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
      return new ZoneAccess(zone, ZoneAccess.State.CAREFUL, ramp.openShare(0), recoveryBudget.baselineRate(zone), state.epoch);
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

  /** With every zone left, none of them is: then it is no zone's failure. */
  private boolean allEvacuated() {
    return readyZones.stream().allMatch(zone -> zoneState(zone).isEvacuated());
  }

  /** Standings of all known zones, by zone. */
  public List<ZoneAccess> accesses(long now) {
    return List.copyOf(zoneStates.keySet()).stream().map(zone -> access(zone, now)).toList();
  }

  /** Whether something changed that the others should hear before the next row is due. */
  public boolean reportDue() {
    return reportDue;
  }

  /** The content of the own next row. */
  public byte[] nextReport(long now) {
    reportDue = false;
    Map<Integer, EvacuationReport.ZoneStatus> statuses = new TreeMap<>();
    zoneStates.forEach((zone, state) -> statuses.put(zone, status(state, now)));
    return peerReports.encodeOwn(incarnation, ++reportSequence, hasFullHistory, statuses, now);
  }

  private EvacuationReport.ZoneStatus status(ZoneState state, long now) {
    boolean recovering = access(state.zone, now).state() == ZoneAccess.State.OPENING;
    return new EvacuationReport.ZoneStatus(state.epoch, state.votesForNextEpoch, state.reachability, state.fullyOpen && !state.isEvacuated(), state.relapses,
        recoveryBudget.wantedMilliRate(state, recovering), recoveryBudget.grantLoans(state, recovering, now));
  }

  /** The plan that is in force from now on, by its digest. */
  public void setPlanDigest(byte[] digest) {
    planDigest = digest.clone();
  }

  /** Whether this proxy votes for the zone's next epoch. */
  public boolean votesForNextEpoch(int zone) {
    return zoneState(zone).votesForNextEpoch;
  }

  /** What is to be kept on disk whenever a decision became known. */
  public EvacuationState state() {
    Map<Integer, EvacuationState.ZoneEpoch> zones = new TreeMap<>();
    zoneStates.values().stream().filter(state -> state.epoch > 0).forEach(state ->
        zones.put(state.zone, new EvacuationState.ZoneEpoch(state.epoch, state.relapses)));
    return new EvacuationState(zones, planDigest);
  }
}
