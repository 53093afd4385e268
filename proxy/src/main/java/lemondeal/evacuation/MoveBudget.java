package lemondeal.evacuation;

/** Token bucket for the connections that this proxy may move out of evacuated zones: its part of the fleet's rate. */
final class MoveBudget {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final double fleetPerSecond;
  private final int members;
  private double tokens;

  MoveBudget(double fleetPerSecond, int members) {
    this.fleetPerSecond = fleetPerSecond;
    this.members = members;
  }

  /**
   * Adds the tokens of the elapsed time. At most one second's worth is kept, so that a pause is not followed by a
   * burst.
   */
  void refill(long elapsedMillis, int liveMembers) {
    double rate = MoveRate.perSecond(fleetPerSecond, liveMembers, members);
    tokens = Math.min(Math.max(1, rate), tokens + rate * elapsedMillis / MILLIS_PER_SECOND);
  }

  /** Takes all whole tokens. */
  int takeWholeTokens() {
    int whole = (int) tokens;
    tokens -= whole;
    return whole;
  }

  void refund(int unused) {
    tokens += unused;
  }
}
