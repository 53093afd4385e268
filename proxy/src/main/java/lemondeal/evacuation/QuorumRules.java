package lemondeal.evacuation;

import java.util.Set;
import java.util.TreeSet;

/**
 * When the fleet has decided, and when its word still holds. The rules that all safety hangs on stand here alone, so
 * that the checkers can be shown to catch each one's absence.
 */
class QuorumRules {

  /** Whether these voters decide. */
  boolean isMajority(int voters, int members) {
    return voters * 2 > members;
  }

  /** Whether votes from these places decide on the zone; {@code live} are the places heard of for certain. */
  final boolean hasQuorum(Set<Integer> voters, Set<Integer> liveMembers, ZoneMembership membership, int zone) {
    Set<Integer> voterZones = new TreeSet<>();
    voters.forEach(memberIndex -> voterZones.add(membership.zone(memberIndex)));
    return isMajority(voters.size(), membership.size()) && voterZones.size() >= requiredVantages(liveMembers, membership, zone);
  }

  /**
   * Vantage zones that must agree: two where the named proxies stand in two. A zone whose own proxies are not heard of
   * is no vantage on itself: that silence fits its failing.
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

  /** Whether a told epoch replaces the known one. */
  boolean isNewerEpoch(long received, long known) {
    return received > known;
  }

  /** Whether a share beyond the careful one still stands; {@code backers} are of the last life of a share. */
  boolean leaseHolds(int supporters, int members) {
    return supporters * 2 > members;
  }

  /** What a lender holds back of its share for loans that may still be in use. */
  double reservedForLoans(double outstanding) {
    return outstanding;
  }
}
