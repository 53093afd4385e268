package lemondeal.proxy;

import java.util.function.LongSupplier;
import lemondeal.net.Faults;
import lemondeal.net.Timers;

/**
 * All deadlines, in coarse ticks on a wheel. They run in order of their tick, then of their insertion, never
 * early and at most a tick late. The wheel does not run by itself: {@link #advance} moves it.
 */
final class TimerWheel implements Timers {
  private final LongSupplier clock;
  private final long tick;
  private final Entry[] slots;
  private final Faults faults;
  private final Runnable earlier;
  private long current;
  private long nextTick = Long.MAX_VALUE;
  private int size;

  /**
   * @param earlier is run when a deadline comes in before all others, so that the wheel is moved in time
   */
  TimerWheel(LongSupplier clock, long tick, int slotCount, Faults faults, Runnable earlier) {
    this.clock = clock;
    this.tick = tick;
    this.faults = faults;
    this.earlier = earlier;
    slots = new Entry[slotCount];
    for (int i = 0; i < slotCount; i++) {
      slots[i] = new Entry(0, null);
    }
    current = clock.getAsLong() / tick;
  }

  @Override
  public long now() {
    return clock.getAsLong();
  }

  @Override
  public Timer after(long micros, Runnable task) {
    // Rounded up: a deadline never comes early.
    long due = Math.max(current + 1, (now() + Math.max(0, micros) + tick - 1) / tick);
    Entry entry = new Entry(due, task);
    entry.putBefore(slot(due));
    size++;
    if (due < nextTick) {
      nextTick = due;
      earlier.run();
    }
    return entry;
  }

  /** Time until the wheel must be moved next; Long.MAX_VALUE while nothing hangs in it. */
  long untilNext() {
    return nextTick == Long.MAX_VALUE ? nextTick : Math.max(0, nextTick * tick - now());
  }

  /** Runs all deadlines that have come. */
  void advance() {
    long end = now() / tick;
    while (current < end) {
      if (size == 0) {
        // All were called off: a deadline in the past left standing here would be asked for without end.
        nextTick = Long.MAX_VALUE;
      }
      if (nextTick > end) {
        current = end;
        return;
      }
      // Empty ticks are passed over: after a long pause there may be very many.
      current = Math.max(current + 1, Math.min(nextTick, end));
      runTick();
      findNext();
    }
  }

  /**
   * Looks from the front after each task: a task may call off any other entry. One that fails must not stop the
   * others: the wheel would never be moved again.
   */
  private void runTick() {
    Entry entry = firstDue();
    while (entry != null) {
      entry.cancel();
      faults.guard(entry.task);
      entry = firstDue();
    }
  }

  private Entry firstDue() {
    for (Entry e = slot(current).next; e.task != null; e = e.next) {
      if (e.due <= current) {
        return e;
      }
    }
    return null;
  }

  /** The nearest tick with an entry, at most one round on: entries of later rounds are looked at then. */
  private void findNext() {
    if (size == 0) {
      // Guards against a search through all ticks to come: it never ended once the wheel had run empty.
      nextTick = Long.MAX_VALUE;
      return;
    }
    nextTick = current + slots.length;
    for (long tickAt = current + 1; tickAt < nextTick; tickAt++) {
      if (holdsEntryFor(tickAt)) {
        nextTick = tickAt;
      }
    }
  }

  private boolean holdsEntryFor(long tickAt) {
    for (Entry e = slot(tickAt).next; e.task != null; e = e.next) {
      if (e.due <= tickAt) {
        return true;
      }
    }
    return false;
  }

  private Entry slot(long due) {
    return slots[(int) (due % slots.length)];
  }

  /** A deadline in the list of its slot; the list's head has no task. */
  private final class Entry implements Timer {
    private final long due;
    private final Runnable task;
    private Entry previous = this;
    private Entry next = this;

    Entry(long due, Runnable task) {
      this.due = due;
      this.task = task;
    }

    void putBefore(Entry head) {
      previous = head.previous;
      next = head;
      previous.next = this;
      head.previous = this;
    }

    @Override
    public void cancel() {
      if (next != null) {
        previous.next = next;
        next.previous = previous;
        next = null;
        previous = null;
        size--;
      }
    }
  }
}
