package lemondeal.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * A bounded set of connections that have no request. Its bound is separate from that of other connections: a new member
 * evicts the oldest one, so that hundreds of silent connections do not keep clients out.
 */
public final class EvictingSet<T> {
  private final IntSupplier maxSize;
  private final Consumer<T> onEvict;
  private final LinkedHashSet<T> members = new LinkedHashSet<>();
  private boolean trimming;

  /** {@code onEvict} closes a member that has been removed already; the bound may change between calls. */
  public EvictingSet(IntSupplier maxSize, Consumer<T> onEvict) {
    this.maxSize = maxSize;
    this.onEvict = onEvict;
  }

  public void add(T member) {
    members.add(member);
    trim();
  }

  /**
   * Evicts the oldest members while the set is too large. The input of an evicted member may be read once more, which
   * can start a request and lower the bound; a nested call therefore returns at once, and the running loop does its
   * work. With recursion, a set of members that all had unread lines evicted one another until the stack overflowed.
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

  /** Closes all current members; {@code close} has to remove its member. */
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
