package lemondeal.evacuation;

/** The moves that this proxy may make out of zones that are left: its part of the fleet's pace, as time passes. */
final class MoveBudget {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final double fleetPerSecond;
  private final int members;
  private double tokens;

  MoveBudget(double fleetPerSecond, int members) {
    this.fleetPerSecond = fleetPerSecond;
    this.members = members;
  }

  /** What is not used in a second is lost: a pause must not be made up for in a burst. */
  void refill(long elapsedMillis, int liveMembers) {
    double rate = MoveRate.perSecond(fleetPerSecond, liveMembers, members);
    tokens = Math.min(Math.max(1, rate), tokens + rate * elapsedMillis / MILLIS_PER_SECOND);
  }

  /** All whole moves that there are. */
  int takeWholeTokens() {
    int whole = (int) tokens;
    tokens -= whole;
    return whole;
  }

  void refund(int unused) {
    tokens += unused;
  }
}
