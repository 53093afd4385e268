package lemondeal.lab.evacuation;

/**
 * One thing that goes wrong for a while. Times are true milliseconds.
 *
 * @param a what it hits, by kind: a zone, a vantage zone, a member, a server, or members as bits
 * @param b what else the kind needs
 */
public record Fault(Kind kind, long startMillis, long endMillis, int target, int parameter) {

  /** What can go wrong. */
  public enum Kind {
    /** Zone a answers nobody. */
    ZONE_DIES,
    /** From vantage zone a nothing reaches zone b. */
    WAY_CUT,
    /** Member a reaches no server of zone b. */
    MEMBER_CUT,
    /** Three in ten of member a's attempts in zone b go unanswered. */
    LOSSY,
    /** Server a answers for half of each second. */
    FLAPS,
    /** Server a and all others are late. */
    ALL_LATE,
    /** No rows between the members in a and the others. */
    SPLIT,
    /** No rows from the members in a to those in b. */
    ONE_WAY,
    /** Rows take up to a milliseconds. */
    ROWS_LATE,
    /** Three in ten rows are lost. */
    ROWS_DROP,
    /** Old rows arrive again. */
    REPLAY,
    /** Member a is dead; b is 1 where what it had kept is damaged. */
    DEAD,
    /** All are dead. */
    ALL_DEAD,
    /** Member a stands still and wakes. */
    STALLED
  }

  /** Members that are told apart as bits; in larger fleets some share one. */
  static final int MAX_MEMBER_BITS = 30;

  /** Whether a member is among those. */
  static boolean containsMember(int bits, int member) {
    return (bits >> member % MAX_MEMBER_BITS & 1) == 1;
  }

  boolean isActive(long trueTime) {
    return trueTime >= startMillis && trueTime < endMillis;
  }
}
