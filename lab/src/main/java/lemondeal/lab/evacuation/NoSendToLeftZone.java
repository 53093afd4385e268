package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.evacuation.Evacuation;

/** A member that knows that a zone is left sends nothing new there a second later. */
public final class NoSendToLeftZone extends Checker {
  private static final long GRACE = 1_000;

  private final Map<String, Long> leftSince = new HashMap<>();

  @Override
  public void started(long at, int member, boolean kept) {
    if (!kept) {
      leftSince.keySet().removeIf(key -> key.startsWith(member + "/"));
    }
  }

  @Override
  public void decided(long at, int member, Evacuation.Decision decided) {
    String key = member + "/" + decided.zone();
    if (decided.evacuates()) {
      leftSince.putIfAbsent(key, at);
    } else {
      leftSince.remove(key);
    }
  }

  @Override
  public void sent(long at, int member, int zone, int key, int server) {
    Long since = leftSince.get(member + "/" + zone);
    if (since != null && at - since > GRACE) {
      breach(at + " ms: member " + member + " sends to zone " + zone + ", left since " + since);
    }
  }
}
