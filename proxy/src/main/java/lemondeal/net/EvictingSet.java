package lemondeal.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Holders of a descriptor that have no request. They are bounded apart from all others: when there are too many,
 * the oldest is sent away, so that connections by the hundred that say nothing keep no client out.
 */
public final class EvictingSet<T> {
  private final IntSupplier maxSize;
  private final Consumer<T> onEvict;
  private final LinkedHashSet<T> members = new LinkedHashSet<>();
  private boolean trimming;

  /** {@code away} ends a member, which has left by then; how many there may be can change. */
  public EvictingSet(IntSupplier maxSize, Consumer<T> onEvict) {
    this.maxSize = maxSize;
    this.onEvict = onEvict;
  }

  public void add(T member) {
    members.add(member);
    trim();
  }

  /**
   * Sends away whom there is no room for any more. Who is sent away may be heard first, and so let others in and lower
   * the bound: all of that is seen to by the one loop. Guards against a crowd whose lines have all come: each of them,
   * heard on its way out, sent the next one away from within, until the thread's stack was full.
   */
  public void trim() {
    if (trimming) {
      return;
    }
    trimming = true;
    try {
      while (members.size() > Math.max(0, maxSize.getAsInt())) {
        T oldest = members.iterator().next();
        members.remove(oldest);
        onEvict.accept(oldest);
      }
    } finally {
      trimming = false;
    }
  }

  /** Sends all away that are members now. */
  public void closeAll(Consumer<T> close) {
    for (T member : List.copyOf(members)) {
      close.accept(member);
    }
  }

  public void remove(T member) {
    members.remove(member);
  }

  public boolean isEmpty() {
    return members.isEmpty();
  }
}
