package lemondeal.lab.evacuation;

import lemondeal.evacuation.Evacuation;

/**
 * Checks one invariant: receives events and reports each breach. Times are the simulation's true time in milliseconds,
 * which no member knows.
 */
public abstract class InvariantChecker {
  private BreachListener breachListener;

  /** Receives the breaches of a run. */
  public interface BreachListener {
    void onBreach(String rule, String description);
  }

  final void setBreachListener(BreachListener listener) {
    breachListener = listener;
  }

  final void reportBreach(String description) {
    breachListener.onBreach(getClass().getSimpleName(), description);
  }

  /** A member's process starts; {@code stateIntact} if its saved state is undamaged. */
  public void onStart(long trueTime, int member, boolean stateIntact) { }

  /** A member sends a report with its epoch and vote for a zone. */
  public void onReport(long trueTime, int member, int zone, long epoch, boolean votes) { }

  /** A member learns of a decision, or makes one. */
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) { }

  /** A member sends a client with this key to a server. */
  public void onSend(long trueTime, int member, int zone, int key, int server) { }

  /** Clients per second that each member may send to the zone at this moment; 0 for a member that is not running. */
  public void onRateLimits(long trueTime, int zone, double[] rates) { }

  /** The zone stops answering all members, and no other relevant fault is active or recent. */
  public void onIsolatedZoneFailure(long trueTime, int zone) { }

  /** The run ends after a period without faults. */
  public void onEnd(long trueTime, boolean allZonesOpen) { }
}
