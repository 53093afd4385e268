package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;

/** All zones open again in the end, and then each key goes where it went before anything was wrong. */
public final class KeysReturn extends Checker {
  private final Map<Integer, Integer> before = new HashMap<>();
  private final Map<Integer, Integer> last = new HashMap<>();
  private final Map<Integer, Long> lastAt = new HashMap<>();
  private final long faultsFrom;
  private final long calm;

  /**
   * @param faultsFrom when the first fault begins
   * @param calm milliseconds before the end in which all was well
   */
  public KeysReturn(long faultsFrom, long calm) {
    this.faultsFrom = faultsFrom;
    this.calm = calm;
  }

  @Override
  public void sent(long at, int member, int zone, int key, int server) {
    (at < faultsFrom ? before : last).put(key, server);
    lastAt.put(key, at);
  }

  @Override
  public void over(long at, boolean allOpen) {
    if (!allOpen) {
      breach(at + " ms: not all zones are open");
      return;
    }
    before.forEach((key, server) -> {
      if (lastAt.get(key) > at - calm && !server.equals(last.getOrDefault(key, server))) {
        breach(at + " ms: key " + key + " goes to server " + last.get(key) + " and not back to " + server);
      }
    });
  }
}
