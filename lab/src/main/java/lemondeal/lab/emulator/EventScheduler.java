package lemondeal.lab.emulator;

import java.util.PriorityQueue;

/**
 * Virtual time and what happens in it: events in order of time, those of one instant in the order in which they were
 * planned. Times are whole microseconds from 0. Nothing reads a real clock, so that the same plans happen the same way on
 * any machine. One thread's.
 */
public final class EventScheduler {

  /** An event that may be called off until it happens, also at the very instant that it would. */
  public static final class ScheduledEvent implements Comparable<ScheduledEvent> {
    private final long time;
    private final long sequence;
    private Runnable task;

    private ScheduledEvent(long time, long sequence, Runnable task) {
      this.time = time;
      this.sequence = sequence;
      this.task = task;
    }

    /** Calls it off; after it has happened that does nothing. */
    public void cancel() {
      task = null;
    }

    @Override
    public int compareTo(ScheduledEvent other) {
      return time != other.time ? Long.compare(time, other.time) : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private long now;
  private long scheduledCount;
  private long executedCount;

  /** Microseconds since the beginning. */
  public long now() {
    return now;
  }

  /** Events that have happened so far. */
  public long executedCount() {
    return executedCount;
  }

  /** Plans an event at this time, or now where that has passed. */
  public ScheduledEvent at(long time, Runnable task) {
    ScheduledEvent event = new ScheduledEvent(Math.max(now, time), scheduledCount++, task);
    queue.add(event);
    return event;
  }

  /** Plans an event so many microseconds from now. */
  public ScheduledEvent after(long delay, Runnable task) {
    return at(now + Math.max(0, delay), task);
  }

  /** Lets everything happen up to and with this time, and makes it the present. */
  public void runUntil(long time) {
    for (ScheduledEvent next = queue.peek(); next != null && next.time <= time; next = queue.peek()) {
      queue.poll();
      if (next.task != null) {
        now = next.time;
        executedCount++;
        Runnable task = next.task;
        next.task = null;
        task.run();
      }
    }
    now = Math.max(now, time);
  }
}
