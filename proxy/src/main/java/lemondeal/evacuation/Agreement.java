package lemondeal.evacuation;

import java.util.Set;
import java.util.TreeSet;

/**
 * When the fleet has decided, and when its word still holds. The rules that all safety hangs on stand here alone, so
 * that the checkers can be shown to catch each one's absence.
 */
class Agreement {

  /** Whether these voters decide. */
  boolean majority(int voters, int members) {
    return voters * 2 > members;
  }

  /** Whether votes from these places decide on the zone; {@code live} are the places heard of for certain. */
  final boolean decides(Set<Integer> voters, Set<Integer> live, Named named, int zone) {
    Set<Integer> from = new TreeSet<>();
    voters.forEach(place -> from.add(named.zone(place)));
    return majority(voters.size(), named.size()) && from.size() >= vantages(live, named, zone);
  }

  /**
   * Vantage zones that must agree: two where the named proxies stand in two. A zone whose own proxies are not heard of
   * is no vantage on itself: that silence fits its failing.
   */
  static int vantages(Set<Integer> live, Named named, int zone) {
    Set<Integer> zones = new TreeSet<>();
    for (int place = 0; place < named.size(); place++) {
      if (named.zone(place) != zone || live.contains(place)) {
        zones.add(named.zone(place));
      }
    }
    return Math.min(2, zones.size());
  }

  /** Whether a told epoch replaces the known one. */
  boolean newer(long told, long known) {
    return told > known;
  }

  /** Whether a share beyond the careful one still stands; {@code backers} are of the last life of a share. */
  boolean shareStands(int backers, int members) {
    return backers * 2 > members;
  }

  /** What a lender holds back of its share for loans that may still be in use. */
  double heldBack(double lent) {
    return lent;
  }
}
