package lemondeal.evacuation;

/**
 * How a zone's servers respond to one proxy. It is reported to the peers unchanged, because they cannot observe the
 * zone from there.
 */
public enum Reachability {
  /** No recent observations, or no servers to observe. */
  UNKNOWN,
  /** Its servers respond. */
  REACHED,
  /** Some servers fail while others respond. */
  PARTLY,
  /** Its servers respond, but are late or refuse work because of load. */
  LATE,
  /** Several independent servers have been failing for longer than the minimum outage, and none has responded since. */
  UNREACHED;

  /** Whether the zone certainly responded, which is evidence against its failure. */
  public boolean isResponding() {
    return this == REACHED || this == PARTLY || this == LATE;
  }
}
