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
    void giveUp();
  }

  private final int most;
  private final Set<Holder> idle = new LinkedHashSet<>();
  private int held;

  LinkPool(int most) {
    this.most = most;
  }

  /** Takes a place for one more link; false if there is none. */
  public boolean take() {
    if (held >= most && !idle.isEmpty()) {
      idle.iterator().next().giveUp();
    }
    if (held >= most) {
      return false;
    }
    held++;
    return true;
  }

  /** The holder's link is not in use now. */
  public void idle(Holder holder) {
    idle.add(holder);
  }

  /** The holder's link is in use again. */
  public void busy(Holder holder) {
    idle.remove(holder);
  }

  /** Gives the holder's place back, with its link closed. */
  public void release(Holder holder) {
    idle.remove(holder);
    held--;
  }
}
