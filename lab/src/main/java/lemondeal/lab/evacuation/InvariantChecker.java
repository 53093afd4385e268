package lemondeal.lab.evacuation;

import lemondeal.evacuation.Evacuation;

/** One rule. Hears what happens and tells each breach. Times are true milliseconds, which no member knows. */
public abstract class InvariantChecker {
  private BreachListener breachListener;

  /** Takes what a rule has to say against a run. */
  public interface BreachListener {
    void onBreach(String rule, String description);
  }

  final void setBreachListener(BreachListener listener) {
    breachListener = listener;
  }

  final void reportBreach(String description) {
    breachListener.onBreach(getClass().getSimpleName(), description);
  }

  /** A member's process starts; {@code kept} if what it had on disk is whole. */
  public void onStart(long trueTime, int member, boolean stateIntact) { }

  /** What a member tells of a zone in a row. */
  public void onReport(long trueTime, int member, int zone, long epoch, boolean votes) { }

  /** A decision became known to a member. */
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) { }

  public void onSend(long trueTime, int member, int zone, int key, int server) { }

  /** What each member may send into the zone a second at this moment; 0 for one that does not run. */
  public void onRateLimits(long trueTime, int zone, double[] rates) { }

  /** The zone stops answering everybody, and nothing else is or was wrong lately. */
  public void onIsolatedZoneFailure(long trueTime, int zone) { }

  /** Nothing has been wrong for long. */
  public void onEnd(long trueTime, boolean allZonesOpen) { }
}
