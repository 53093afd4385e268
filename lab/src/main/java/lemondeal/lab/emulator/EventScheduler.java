package lemondeal.lab.emulator;

import java.util.PriorityQueue;

/**
 * Event queue and virtual clock: runs events in order of time, and events of the same time in the order in which they
 * were scheduled. Times are whole microseconds from 0. No real clock is read, so that a run is repeatable on any
 * machine. Used by one thread.
 */
public final class EventScheduler {

  /** An event that can be cancelled until it runs, even at its own time. */
  public static final class ScheduledEvent implements Comparable<ScheduledEvent> {
    private final long time;
    private final long sequence;
    private Runnable task;

    private ScheduledEvent(long time, long sequence, Runnable task) {
      this.time = time;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the event; has no effect once it has run. */
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

  /** Microseconds since the start of the run. */
  public long now() {
    return now;
  }

  /** Number of events that have run. */
  public long executedCount() {
    return executedCount;
  }

  /** Schedules an event at a time, or now if that time has passed. */
  public ScheduledEvent at(long time, Runnable task) {
    ScheduledEvent event = new ScheduledEvent(Math.max(now, time), scheduledCount++, task);
    queue.add(event);
    return event;
  }

  /** Schedules an event after a delay in microseconds. */
  public ScheduledEvent after(long delay, Runnable task) {
    return at(now + Math.max(0, delay), task);
  }

  /** Runs all events up to and including this time, and sets the clock to it. */
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
