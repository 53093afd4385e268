package lemondeal.lab.evacuation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondeal.evacuation.Evacuation;

/** Each decision has votes of a majority of the configured members, sent within the vote TTL before it. */
public final class MajorityBehindDecisions extends InvariantChecker {
  /** A vote for the epoch that follows {@code epoch}. */
  private record Vote(long votedAt, int member, int zone, long epoch) {}

  private final List<Vote> votes = new ArrayList<>();
  private final int members;
  private final long voteTtl;

  /** @param voteTtl lifetime of a vote in milliseconds, clock drift included */
  public MajorityBehindDecisions(int members, long voteTtl) {
    this.members = members;
    this.voteTtl = voteTtl;
  }

  @Override
  public void onReport(long trueTime, int member, int zone, long epoch, boolean votes) {
    if (votes) {
      this.votes.add(new Vote(trueTime, member, zone, epoch));
    }
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    if (!decision.countedHere()) {
      return;
    }
    // The member that counts the votes may add its own before it has sent a report.
    Set<Integer> voters = new HashSet<>(Set.of(member));
    for (Vote vote : votes) {
      if (vote.zone() == decision.zone() && vote.epoch() == decision.epoch() - 1
          && trueTime - vote.votedAt() <= voteTtl) {
        voters.add(vote.member());
      }
    }
    if (voters.size() * 2 <= members) {
      reportBreach(trueTime + " ms: member " + member + " decides epoch " + decision.epoch() + " of zone "
          + decision.zone() + " with " + voters);
    }
    votes.removeIf(vote -> trueTime - vote.votedAt() > voteTtl);
  }
}
