package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.evacuation.Evacuation;

/** A member that knows of a zone's evacuation sends nothing new there after a second. */
public final class NoSendToLeftZone extends InvariantChecker {
  private static final long GRACE_MILLIS = 1_000;

  private final Map<String, Long> evacuatedAt = new HashMap<>();

  @Override
  public void onStart(long trueTime, int member, boolean stateIntact) {
    if (!stateIntact) {
      evacuatedAt.keySet().removeIf(key -> key.startsWith(member + "/"));
    }
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    String key = member + "/" + decision.zone();
    if (decision.evacuates()) {
      evacuatedAt.putIfAbsent(key, trueTime);
    } else {
      evacuatedAt.remove(key);
    }
  }

  @Override
  public void onSend(long trueTime, int member, int zone, int key, int server) {
    Long evacuationTime = evacuatedAt.get(member + "/" + zone);
    if (evacuationTime != null && trueTime - evacuationTime > GRACE_MILLIS) {
      reportBreach(trueTime + " ms: member " + member + " sends to zone " + zone + ", evacuated at " + evacuationTime);
    }
  }
}
