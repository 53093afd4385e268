package lemondeal.lab.emulator;

import java.util.PriorityQueue;

/**
 * Virtual time and what happens in it: events in order of time, those of one instant in the order in which they were
 * planned. Times are whole microseconds from 0. Nothing reads a real clock, so that the same plans happen the same way on
 * any machine. One thread's.
 */
public final class Agenda {

  /** An event that may be called off until it happens, also at the very instant that it would. */
  public static final class Entry implements Comparable<Entry> {
    private final long at;
    private final long number;
    private Runnable task;

    private Entry(long at, long number, Runnable task) {
      this.at = at;
      this.number = number;
      this.task = task;
    }

    /** Calls it off; after it has happened that does nothing. */
    public void cancel() {
      task = null;
    }

    @Override
    public int compareTo(Entry other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Entry> entries = new PriorityQueue<>();
  private long now;
  private long planned;
  private long happened;

  /** Microseconds since the beginning. */
  public long now() {
    return now;
  }

  /** Events that have happened so far. */
  public long happened() {
    return happened;
  }

  /** Plans an event at this time, or now where that has passed. */
  public Entry at(long time, Runnable task) {
    Entry entry = new Entry(Math.max(now, time), planned++, task);
    entries.add(entry);
    return entry;
  }

  /** Plans an event so many microseconds from now. */
  public Entry after(long micros, Runnable task) {
    return at(now + Math.max(0, micros), task);
  }

  /** Lets everything happen up to and with this time, and makes it the present. */
  public void runTo(long time) {
    for (Entry next = entries.peek(); next != null && next.at <= time; next = entries.peek()) {
      entries.poll();
      if (next.task != null) {
        now = next.at;
        happened++;
        Runnable task = next.task;
        next.task = null;
        task.run();
      }
    }
    now = Math.max(now, time);
  }
}
