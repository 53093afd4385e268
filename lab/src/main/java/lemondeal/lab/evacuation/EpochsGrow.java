package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;

/** The epoch that a member reports for a zone never decreases, not even across a restart with intact saved state. */
public final class EpochsGrow extends InvariantChecker {
  private final Map<String, Long> highest = new HashMap<>();

  @Override
  public void onStart(long trueTime, int member, boolean stateIntact) {
    if (!stateIntact) {
      highest.keySet().removeIf(key -> key.startsWith(member + "/"));
    }
  }

  @Override
  public void onReport(long trueTime, int member, int zone, long epoch, boolean votes) {
    Long before = highest.put(member + "/" + zone, epoch);
    if (before != null && before > epoch) {
      reportBreach(trueTime + " ms: member " + member + " goes back from epoch " + before + " to " + epoch
          + " of zone " + zone);
    }
  }
}
