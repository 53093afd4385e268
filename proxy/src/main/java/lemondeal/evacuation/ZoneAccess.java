package lemondeal.evacuation;

/**
 * What this proxy may send to a zone.
 *
 * @param openShare share of its usual load that the zone takes: 0 closed, 1 open
 * @param maxPerSecond new connections a second that this proxy may send there; infinite if the zone is open
 * @param epoch the highest decided epoch that is known
 */
public record ZoneAccess(int zone, State state, double openShare, double maxPerSecond, long epoch) {

  /** The reason for the limit. */
  public enum State {
    /** Just started; no peer has reported yet whether the zone is evacuated. */
    ASKING,
    OPEN,
    /** Returning, or reopening: limited to the proxy's share of the recovery budget. */
    OPENING,
    /** No contact with a majority: limited to the baseline rate that each proxy may always use. */
    CAREFUL,
    /** Failing again during recovery: nothing is sent until it is healthy or evacuated. */
    RELAPSING,
    CLOSED
  }

  static ZoneAccess blocked(int zone, State state, long epoch) {
    return new ZoneAccess(zone, state, 0, 0, epoch);
  }
}
