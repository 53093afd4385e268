package lemondeal.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the number of links that are kept open for reuse, each of which takes a file descriptor. A new link evicts the
 * one that has been idle for the longest; if none is idle, no further link can be opened.
 */
public final class LinkPool {

  /** Owns a link that is kept open. */
  public interface Holder {
    /** Closes the idle link and {@link LinkPool#release releases} it. */
    void evict();
  }

  private final int maxLinks;
  private final Set<Holder> idle = new LinkedHashSet<>();
  private int linkCount;

  LinkPool(int maxLinks) {
    this.maxLinks = maxLinks;
  }

  /** Reserves capacity for one more link; returns false if there is none. */
  public boolean acquire() {
    if (linkCount >= maxLinks && !idle.isEmpty()) {
      idle.iterator().next().evict();
    }
    if (linkCount >= maxLinks) {
      return false;
    }
    linkCount++;
    return true;
  }

  /** Marks the holder's link as idle, so that it may be evicted. */
  public void markIdle(Holder holder) {
    idle.add(holder);
  }

  /** Marks the holder's link as in use. */
  public void markBusy(Holder holder) {
    idle.remove(holder);
  }

  /** Releases the capacity of the holder's link, which is closed. */
  public void release(Holder holder) {
    idle.remove(holder);
    linkCount--;
  }
}
