package lemondeal.proxy;

import java.util.function.LongSupplier;
import lemondeal.net.TaskGuard;
import lemondeal.net.Timers;

/**
 * All timers of a process, in coarse ticks on a timer wheel. They run in order of their tick, then of their insertion,
 * never early and at most a tick late. The wheel does not run by itself: {@link #advance} moves it.
 */
final class TimerWheel implements Timers {
  private final LongSupplier clock;
  private final long tick;
  private final Entry[] slots;
  private final TaskGuard taskGuard;
  private final Runnable onEarlierDeadline;
  private long currentTick;
  private long nextTick = Long.MAX_VALUE;
  private int size;

  /** @param onEarlierDeadline runs when a deadline is added before all others, so that the wheel is moved in time */
  TimerWheel(LongSupplier clock, long tick, int slotCount, TaskGuard taskGuard, Runnable onEarlierDeadline) {
    this.clock = clock;
    this.tick = tick;
    this.taskGuard = taskGuard;
    this.onEarlierDeadline = onEarlierDeadline;
    slots = new Entry[slotCount];
    for (int i = 0; i < slotCount; i++) {
      slots[i] = new Entry(0, null);
    }
    currentTick = clock.getAsLong() / tick;
  }

  @Override
  public long now() {
    return clock.getAsLong();
  }

  @Override
  public Timer after(long micros, Runnable task) {
    // Rounded up: a timer never runs early.
    long dueTick = Math.max(currentTick + 1, (now() + Math.max(0, micros) + tick - 1) / tick);
    Entry entry = new Entry(dueTick, task);
    entry.insertBefore(slot(dueTick));
    size++;
    if (dueTick < nextTick) {
      nextTick = dueTick;
      onEarlierDeadline.run();
    }
    return entry;
  }

  /** Time until the wheel must be moved next; Long.MAX_VALUE while it is empty. */
  long untilNext() {
    return nextTick == Long.MAX_VALUE ? nextTick : Math.max(0, nextTick * tick - now());
  }

  /** Runs all timers that are due. */
  void advance() {
    long nowTick = now() / tick;
    while (currentTick < nowTick) {
      if (size == 0) {
        // All timers were cancelled: a deadline in the past that remained here would be scheduled endlessly.
        nextTick = Long.MAX_VALUE;
      }
      if (nextTick > nowTick) {
        currentTick = nowTick;
        return;
      }
      // Empty ticks are skipped: after a long pause there may be very many.
      currentTick = Math.max(currentTick + 1, Math.min(nextTick, nowTick));
      runTick();
      findNextTick();
    }
  }

  /**
   * Searches from the front after each task: a task may cancel any other entry. One that fails must not stop the
   * others: the wheel would never be moved again.
   */
  private void runTick() {
    Entry entry = firstDue();
    while (entry != null) {
      entry.cancel();
      taskGuard.guard(entry.task);
      entry = firstDue();
    }
  }

  private Entry firstDue() {
    for (Entry entry = slot(currentTick).next; entry.task != null; entry = entry.next) {
      if (entry.dueTick <= currentTick) {
        return entry;
      }
    }
    return null;
  }

  /** The nearest tick with an entry, at most one round ahead: entries of later rounds are searched for there. */
  private void findNextTick() {
    if (size == 0) {
      // Guards against a search through all future ticks: it never ended once the wheel was empty.
      nextTick = Long.MAX_VALUE;
      return;
    }
    nextTick = currentTick + slots.length;
    for (long candidateTick = currentTick + 1; candidateTick < nextTick; candidateTick++) {
      if (holdsEntryFor(candidateTick)) {
        nextTick = candidateTick;
      }
    }
  }

  private boolean holdsEntryFor(long candidateTick) {
    for (Entry entry = slot(candidateTick).next; entry.task != null; entry = entry.next) {
      if (entry.dueTick <= candidateTick) {
        return true;
      }
    }
    return false;
  }

  private Entry slot(long dueTick) {
    return slots[(int) (dueTick % slots.length)];
  }

  /** A timer in the list of its slot; the list's head has no task. */
  private final class Entry implements Timer {
    private final long dueTick;
    private final Runnable task;
    private Entry previous = this;
    private Entry next = this;

    Entry(long dueTick, Runnable task) {
      this.dueTick = dueTick;
      this.task = task;
    }

    void insertBefore(Entry head) {
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
