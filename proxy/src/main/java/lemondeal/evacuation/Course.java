package lemondeal.evacuation;

/** Where one zone stands by what this proxy knows: the epoch, its vote, and how far a return has come. */
final class Course {
  private static final long NEVER = Long.MIN_VALUE / 4;

  final int zone;
  long epoch;
  long learntAt;
  int relapses;
  boolean votes;
  long votedAt = NEVER;
  Seen seen = Seen.UNKNOWN;
  /** When it was last seen failing or late, and last seen answering. */
  long badAt = NEVER;
  long answeredAt = NEVER;
  /** Milliseconds of proof since the return, and whether it is through: a zone never left is. */
  double proven;
  boolean opened;

  /** A zone as it was kept, or one never left. */
  Course(int zone, EvacuationState.Zone saved, long now) {
    this.zone = zone;
    epoch = saved == null ? 0 : saved.epoch();
    relapses = saved == null ? 0 : saved.relapses();
    opened = epoch == 0;
    learntAt = now;
  }

  boolean left() {
    return epoch % 2 == 1;
  }

  /** Goes to a decided epoch, whose content is in its number: odd leaves, even returns. */
  void go(long decided, int toldRelapses, long now, long calm) {
    if (decided % 2 == 1) {
      boolean soon = epoch > 0 && !left() && now - learntAt < calm;
      relapses = Math.max(toldRelapses, soon ? Math.min(EvacuationSettings.MOST_RELAPSES, relapses + 1) : 0);
    } else {
      relapses = Math.max(relapses, toldRelapses);
      proven = 0;
      opened = false;
    }
    epoch = decided;
    learntAt = now;
    votes = false;
  }

  /** Takes in what is seen of it now. */
  void see(Seen now, long at) {
    seen = now;
    if (now == Seen.UNREACHED || now == Seen.LATE) {
      badAt = at;
    } else if (now.answers()) {
      answeredAt = at;
    }
  }

  /** This process stood still: what it saw before says nothing of the time between. */
  void stoodStill(long now) {
    votes = false;
    badAt = now;
    seen = Seen.UNKNOWN;
  }

  void vote(boolean yes, long now) {
    votes = yes;
    votedAt = yes ? now : votedAt;
  }

  /** Milliseconds without a bad sign since the last decision was learnt. */
  long calmFor(long now) {
    return now - Math.max(badAt, learntAt);
  }
}
