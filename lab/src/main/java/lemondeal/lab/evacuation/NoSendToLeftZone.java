package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.evacuation.Evacuation;

/** A member that knows of a zone's evacuation sends nothing new there after a second. */
public final class NoSendToLeftZone extends InvariantChecker {
  private static final long GRACE_MILLIS = 1_000;

  private final Map<String, Long> leftSince = new HashMap<>();

  @Override
  public void onStart(long trueTime, int member, boolean stateIntact) {
    if (!stateIntact) {
      leftSince.keySet().removeIf(key -> key.startsWith(member + "/"));
    }
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    String key = member + "/" + decision.zone();
    if (decision.evacuates()) {
      leftSince.putIfAbsent(key, trueTime);
    } else {
      leftSince.remove(key);
    }
  }

  @Override
  public void onSend(long trueTime, int member, int zone, int key, int server) {
    Long since = leftSince.get(member + "/" + zone);
    if (since != null && trueTime - since > GRACE_MILLIS) {
      reportBreach(trueTime + " ms: member " + member + " sends to zone " + zone + ", evacuated at " + since);
    }
  }
}
