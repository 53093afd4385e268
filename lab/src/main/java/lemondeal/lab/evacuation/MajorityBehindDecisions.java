package lemondeal.lab.evacuation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondeal.evacuation.Evacuation;

/** Each decision has votes of a majority of the named members, written within a vote's life before it. */
public final class MajorityBehindDecisions extends Checker {
  /** A vote for the epoch after this one. */
  private record Vote(long at, int member, int zone, long epoch) {}

  private final List<Vote> votes = new ArrayList<>();
  private final int members;
  private final long life;

  /** @param life milliseconds that a vote lasts, clocks' drift included */
  public MajorityBehindDecisions(int members, long life) {
    this.members = members;
    this.life = life;
  }

  @Override
  public void wrote(long at, int member, int zone, long epoch, boolean votes) {
    if (votes) {
      this.votes.add(new Vote(at, member, zone, epoch));
    }
  }

  @Override
  public void decided(long at, int member, Evacuation.Decision decided) {
    if (!decided.countedHere()) {
      return;
    }
    // The one that counts may vote in the same moment, before it has told anybody.
    Set<Integer> voters = new HashSet<>(Set.of(member));
    for (Vote vote : votes) {
      if (vote.zone() == decided.zone() && vote.epoch() == decided.epoch() - 1 && at - vote.at() <= life) {
        voters.add(vote.member());
      }
    }
    if (voters.size() * 2 <= members) {
      breach(at + " ms: member " + member + " decides epoch " + decided.epoch() + " of zone " + decided.zone()
          + " with " + voters);
    }
    votes.removeIf(vote -> at - vote.at() > life);
  }
}
