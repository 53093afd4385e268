package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;

/** In the end all zones are open again, and each key goes to the server that it had before the first fault. */
public final class KeysReturn extends InvariantChecker {
  private final Map<Integer, Integer> serverBeforeFaults = new HashMap<>();
  private final Map<Integer, Integer> lastServer = new HashMap<>();
  private final Map<Integer, Long> lastSentAt = new HashMap<>();
  private final long firstFaultAt;
  private final long stableMillis;

  /**
   * @param firstFaultAt start of the first fault
   * @param stableMillis length of the fault-free period at the end of the run
   */
  public KeysReturn(long firstFaultAt, long stableMillis) {
    this.firstFaultAt = firstFaultAt;
    this.stableMillis = stableMillis;
  }

  @Override
  public void onSend(long trueTime, int member, int zone, int key, int server) {
    (trueTime < firstFaultAt ? serverBeforeFaults : lastServer).put(key, server);
    lastSentAt.put(key, trueTime);
  }

  @Override
  public void onEnd(long trueTime, boolean allZonesOpen) {
    if (!allZonesOpen) {
      reportBreach(trueTime + " ms: not all zones are open");
      return;
    }
    serverBeforeFaults.forEach((key, server) -> {
      if (lastSentAt.get(key) > trueTime - stableMillis && !server.equals(lastServer.getOrDefault(key, server))) {
        reportBreach(trueTime + " ms: key " + key + " goes to server " + lastServer.get(key)
            + " and not back to " + server);
      }
    });
  }
}
