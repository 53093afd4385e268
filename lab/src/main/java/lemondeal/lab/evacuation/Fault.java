package lemondeal.lab.evacuation;

/**
 * A fault with a limited duration. Times are the simulation's true time.
 *
 * @param target what the fault affects, by kind: a zone, a zone of members, a member, a server, or a bit set of members
 * @param parameter second argument of kinds that need one
 */
public record Fault(Kind kind, long startMillis, long endMillis, int target, int parameter) {

  public enum Kind {
    /** Zone {@code target} answers no member. */
    ZONE_DIES,
    /** Nothing from the members in zone {@code target} reaches zone {@code parameter}. */
    WAY_CUT,
    /** Member {@code target} reaches no server of zone {@code parameter}. */
    MEMBER_CUT,
    /** 30% of the attempts of member {@code target} in zone {@code parameter} are unanswered. */
    LOSSY,
    /** Server {@code target} answers only during half of each second. */
    FLAPS,
    /** All servers answer late; {@code target} is unused. */
    ALL_LATE,
    /** No reports pass between the members in {@code target} and the others. */
    SPLIT,
    /** No reports pass from the members in {@code target} to those in {@code parameter}. */
    ONE_WAY,
    /** Reports take up to {@code target} milliseconds. */
    ROWS_LATE,
    /** 30% of the reports are lost. */
    ROWS_DROP,
    /** Old reports arrive again. */
    REPLAY,
    /** Member {@code target} is dead; {@code parameter} is 1 if its saved state is damaged. */
    DEAD,
    /** All members are dead. */
    ALL_DEAD,
    /** Member {@code target} is suspended and then continues. */
    STALLED
  }

  /** Bits of a member set; in larger fleets several members share a bit. */
  static final int MAX_MEMBER_BITS = 30;

  /** Whether the bit set contains the member. */
  static boolean containsMember(int bits, int member) {
    return (bits >> member % MAX_MEMBER_BITS & 1) == 1;
  }

  boolean isActive(long trueTime) {
    return trueTime >= startMillis && trueTime < endMillis;
  }
}
