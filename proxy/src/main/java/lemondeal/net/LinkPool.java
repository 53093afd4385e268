package lemondeal.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the links that are kept to be used again, each of which holds a descriptor. For a new one the link that has
 * been idle for the longest is given up; where none is idle there is no room.
 */
public final class LinkPool {

  /** Has a link that is kept. */
  public interface Holder {
    /** Closes the link, which is idle, and with it {@link LinkPool#release releases} its place. */
    void evict();
  }

  private final int maxLinks;
  private final Set<Holder> idle = new LinkedHashSet<>();
  private int linkCount;

  LinkPool(int maxLinks) {
    this.maxLinks = maxLinks;
  }

  /** Takes a place for one more link; false if there is none. */
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

  /** The holder's link is not in use now. */
  public void markIdle(Holder holder) {
    idle.add(holder);
  }

  /** The holder's link is in use again. */
  public void markBusy(Holder holder) {
    idle.remove(holder);
  }

  /** Gives the holder's place back, with its link closed. */
  public void release(Holder holder) {
    idle.remove(holder);
    linkCount--;
  }
}
