package lemondeal.evacuation;

/** Where one zone stands by what this proxy knows: the epoch, its vote, and how far a return has come. */
final class ZoneState {
  private static final long NEVER = Long.MIN_VALUE / 4;

  final int zone;
  long epoch;
  long epochLearnedAt;
  int relapses;
  boolean votesForNextEpoch;
  long lastVotedAt = NEVER;
  Reachability reachability = Reachability.UNKNOWN;
  /** When it was last seen failing or late, and last seen answering. */
  long lastUnhealthyAt = NEVER;
  long lastRespondedAt = NEVER;
  /** Milliseconds of proof since the return, and whether it is through: a zone never left is. */
  double healthyMillis;
  boolean fullyOpen;

  /** A zone as it was kept, or one never left. */
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

  /** Goes to a decided epoch, whose content is in its number: odd leaves, even returns. */
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

  /** Takes in what is seen of it now. */
  void observe(Reachability observed, long now) {
    reachability = observed;
    if (observed == Reachability.UNREACHED || observed == Reachability.LATE) {
      lastUnhealthyAt = now;
    } else if (observed.isResponding()) {
      lastRespondedAt = now;
    }
  }

  /** This process stood still: what it saw before says nothing of the time between. */
  void resetAfterPause(long now) {
    votesForNextEpoch = false;
    lastUnhealthyAt = now;
    reachability = Reachability.UNKNOWN;
  }

  void setVote(boolean vote, long now) {
    votesForNextEpoch = vote;
    lastVotedAt = vote ? now : lastVotedAt;
  }

  /** Milliseconds without a bad sign since the last decision was learnt. */
  long healthyFor(long now) {
    return now - Math.max(lastUnhealthyAt, epochLearnedAt);
  }
}
