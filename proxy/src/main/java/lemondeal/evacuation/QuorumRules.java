package lemondeal.evacuation;

import java.util.Set;
import java.util.TreeSet;

/**
 * The rules for quorums and leases on which the safety of evacuation depends. They are in a class of their own so that
 * tests can override each of them and show that the checkers detect its absence.
 */
class QuorumRules {

  /** Whether the voters are more than half of the members. */
  boolean isMajority(int voters, int members) {
    return voters * 2 > members;
  }

  /**
   * Whether the votes of these members decide the zone's next epoch. {@code liveMembers} are those with a report that
   * is certainly recent.
   */
  final boolean hasQuorum(Set<Integer> voters, Set<Integer> liveMembers, ZoneMembership membership, int zone) {
    Set<Integer> voterZones = new TreeSet<>();
    voters.forEach(memberIndex -> voterZones.add(membership.zone(memberIndex)));
    return isMajority(voters.size(), membership.size())
        && voterZones.size() >= requiredVantages(liveMembers, membership, zone);
  }

  /**
   * Number of different zones from which votes must come: two if the configured proxies are in at least two zones. A
   * zone from whose proxies no recent report has come does not count as a vantage point on itself, because their
   * silence is consistent with its failure.
   */
  static int requiredVantages(Set<Integer> liveMembers, ZoneMembership membership, int zone) {
    Set<Integer> zones = new TreeSet<>();
    for (int memberIndex = 0; memberIndex < membership.size(); memberIndex++) {
      if (membership.zone(memberIndex) != zone || liveMembers.contains(memberIndex)) {
        zones.add(membership.zone(memberIndex));
      }
    }
    return Math.min(2, zones.size());
  }

  /** Whether a received epoch replaces the known one. */
  boolean isNewerEpoch(long received, long known) {
    return received > known;
  }

  /**
   * Whether the lease on rates beyond the baseline rate is still valid; {@code supporters} confirmed it within the last
   * lease time.
   */
  boolean leaseHolds(int supporters, int members) {
    return supporters * 2 > members;
  }

  /** The part of a lender's share that it must not use because outstanding loans may still be in use. */
  double reservedForLoans(double outstanding) {
    return outstanding;
  }
}
