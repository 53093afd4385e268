package lemondeal.lab.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures how late this machine schedules threads. The rules' time limits are extended by this lag, so that a busy
 * machine does not cause false violations.
 */
final class LagMonitor implements AutoCloseable {
  private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  /** Added to the measured lag, for garbage collection in the proxies and for delays in pipes and schedulers. */
  private static final long MARGIN_MILLIS = 150;
  /** How long the worst lag remains in effect. */
  private static final long WORST_LAG_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final AtomicLong worstLagNanos = new AtomicLong();
  private volatile long worstLagSeenAt = System.nanoTime();
  private volatile boolean closed;

  LagMonitor() {
    Threads.start("lag-monitor", this::measure);
  }

  private void measure() {
    long due = System.nanoTime() + PERIOD_NANOS;
    while (!closed) {
      Threads.sleepNanos(due - System.nanoTime());
      long now = System.nanoTime();
      if (now - due > worstLagNanos.get() || now - worstLagSeenAt > WORST_LAG_RETENTION_NANOS) {
        worstLagNanos.set(now - due);
        worstLagSeenAt = now;
      }
      due = now + PERIOD_NANOS;
    }
  }

  /** Returns by how many milliseconds a time limit is to be extended at present. */
  long allowanceMillis() {
    return MARGIN_MILLIS + TimeUnit.NANOSECONDS.toMillis(worstLagNanos.get());
  }

  @Override
  public void close() {
    closed = true;
  }
}
