package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.Map;

/** What a member tells of a zone's epoch never falls, over a start too if what it had kept was whole. */
public final class EpochsGrow extends Checker {
  private final Map<String, Long> highest = new HashMap<>();

  @Override
  public void started(long at, int member, boolean kept) {
    if (!kept) {
      highest.keySet().removeIf(key -> key.startsWith(member + "/"));
    }
  }

  @Override
  public void wrote(long at, int member, int zone, long epoch, boolean votes) {
    Long before = highest.put(member + "/" + zone, epoch);
    if (before != null && before > epoch) {
      breach(at + " ms: member " + member + " falls from epoch " + before + " to " + epoch + " of zone " + zone);
    }
  }
}
