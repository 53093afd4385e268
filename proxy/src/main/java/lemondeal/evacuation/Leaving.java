package lemondeal.evacuation;

/** The moves that this proxy may make out of zones that are left: its part of the fleet's pace, as time passes. */
final class Leaving {
  private static final double MILLIS = 1_000;

  private final double fleetPerSecond;
  private final int members;
  private double moves;

  Leaving(double fleetPerSecond, int members) {
    this.fleetPerSecond = fleetPerSecond;
    this.members = members;
  }

  /** What is not used in a second is lost: a pause must not be made up for in a burst. */
  void pass(long millis, int inSight) {
    double pace = MovePace.perSecond(fleetPerSecond, inSight, members);
    moves = Math.min(Math.max(1, pace), moves + pace * millis / MILLIS);
  }

  /** All whole moves that there are. */
  int take() {
    int whole = (int) moves;
    moves -= whole;
    return whole;
  }

  void giveBack(int unused) {
    moves += unused;
  }
}
