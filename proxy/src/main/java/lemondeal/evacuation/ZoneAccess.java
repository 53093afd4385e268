package lemondeal.evacuation;

/**
 * How this proxy stands to a zone: what it may send there.
 *
 * @param open share of its usual work that the zone takes: 0 closed, 1 open
 * @param perSecond new connections a second that this proxy may send there; no bound where the zone is open
 * @param epoch the highest decided one that is known
 */
public record ZoneAccess(int zone, State state, double openShare, double maxPerSecond, long epoch) {

  /** Why so much. */
  public enum State {
    /** Just started, and nobody has said yet whether the zone is left. */
    ASKING,
    OPEN,
    /** Returning, or opened anew: within the proxy's share of the fleet's budget. */
    OPENING,
    /** Out of touch with a majority: within the small share that is this proxy's at all times. */
    CAREFUL,
    /** It fails again while it opens: nothing until it is sound or left. */
    RELAPSING,
    CLOSED
  }

  static ZoneAccess blocked(int zone, State state, long epoch) {
    return new ZoneAccess(zone, state, 0, 0, epoch);
  }
}
