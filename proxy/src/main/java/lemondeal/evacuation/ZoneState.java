package lemondeal.evacuation;

/**
 * The evacuation state of one zone as this proxy knows it: the decided epoch, its own vote, and the progress of
 * recovery.
 */
final class ZoneState {
  private static final long NEVER = Long.MIN_VALUE / 4;

  final int zone;
  long epoch;
  long epochLearnedAt;
  int relapses;
  boolean votesForNextEpoch;
  long lastVotedAt = NEVER;
  Reachability reachability = Reachability.UNKNOWN;
  /** When the zone was last observed as failing or late, and when it was last observed as responding. */
  long lastUnhealthyAt = NEVER;
  long lastRespondedAt = NEVER;
  /**
   * Milliseconds of healthy operation since the return, and whether recovery is complete. A zone that was never
   * evacuated is fully open.
   */
  double healthyMillis;
  boolean fullyOpen;

  /** Restores a zone from saved state; {@code saved} is null for a zone that was never evacuated. */
  ZoneState(int zone, EvacuationState.ZoneEpoch saved, long now) {
    this.zone = zone;
    epoch = saved == null ? 0 : saved.epoch();
    relapses = saved == null ? 0 : saved.relapses();
    fullyOpen = epoch == 0;
    epochLearnedAt = now;
  }

  boolean isEvacuated() {
    return epoch % 2 == 1;
  }

  /**
   * Advances to a decided epoch. Its number defines its meaning: odd epochs evacuate the zone, even epochs return to
   * it.
   */
  void advanceTo(long newEpoch, int reportedRelapses, long now, long relapseWindow) {
    if (newEpoch % 2 == 1) {
      boolean relapsed = epoch > 0 && !isEvacuated() && now - epochLearnedAt < relapseWindow;
      relapses = Math.max(reportedRelapses, relapsed ? Math.min(EvacuationSettings.MAX_RELAPSES, relapses + 1) : 0);
    } else {
      relapses = Math.max(relapses, reportedRelapses);
      healthyMillis = 0;
      fullyOpen = false;
    }
    epoch = newEpoch;
    epochLearnedAt = now;
    votesForNextEpoch = false;
  }

  /** Records the current observation of the zone. */
  void observe(Reachability observed, long now) {
    reachability = observed;
    if (observed == Reachability.UNREACHED || observed == Reachability.LATE) {
      lastUnhealthyAt = now;
    } else if (observed.isResponding()) {
      lastRespondedAt = now;
    }
  }

  /** Discards observations after this process was paused: what it saw before says nothing about the time between. */
  void resetAfterPause(long now) {
    votesForNextEpoch = false;
    lastUnhealthyAt = now;
    reachability = Reachability.UNKNOWN;
  }

  void setVote(boolean vote, long now) {
    votesForNextEpoch = vote;
    lastVotedAt = vote ? now : lastVotedAt;
  }

  /** Milliseconds without a sign of failure since the last decision was learned. */
  long healthyFor(long now) {
    return now - Math.max(lastUnhealthyAt, epochLearnedAt);
  }
}
