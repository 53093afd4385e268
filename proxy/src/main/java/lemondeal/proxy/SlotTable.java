package lemondeal.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of numbered slots. A handle holds a slot's number and its generation, which grows with each reuse, so that an
 * outdated handle finds nothing instead of the slot's next value.
 */
final class SlotTable<T> {
  private final List<T> values = new ArrayList<>();
  private final List<Integer> generations = new ArrayList<>();
  private final List<Integer> free = new ArrayList<>();
  private final int capacity;
  private int size;

  SlotTable(int capacity) {
    this.capacity = capacity;
  }

  boolean isFull() {
    return size >= capacity;
  }

  int freeSlots() {
    return capacity - size;
  }

  int size() {
    return size;
  }

  /** Puts the value in a free slot; there must be one. */
  long add(T value) {
    if (isFull()) {
      throw new IllegalStateException("all " + capacity + " slots are taken");
    }
    if (free.isEmpty()) {
      free.add(values.size());
      values.add(null);
      generations.add(0);
    }
    int slot = free.remove(free.size() - 1);
    values.set(slot, value);
    size++;
    return ((long) generations.get(slot) << 32) | slot;
  }

  /** The value, or null if the slot was freed since. */
  T get(long handle) {
    int slot = (int) handle;
    boolean isCurrent = handle >= 0 && slot < values.size() && generations.get(slot) == (int) (handle >>> 32);
    return isCurrent ? values.get(slot) : null;
  }

  void remove(long handle) {
    if (get(handle) != null) {
      int slot = (int) handle;
      values.set(slot, null);
      generations.set(slot, (generations.get(slot) + 1) & Integer.MAX_VALUE);
      free.add(slot);
      size--;
    }
  }

  /** All values, in the order of their slots; the table may change while the list is iterated. */
  List<T> all() {
    List<T> all = new ArrayList<>(size);
    for (T value : values) {
      if (value != null) {
        all.add(value);
      }
    }
    return all;
  }
}
