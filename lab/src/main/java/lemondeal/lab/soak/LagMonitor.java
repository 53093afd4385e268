package lemondeal.lab.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * How late this machine runs threads that are due. The rules' time limits are widened by it, so that a busy machine
 * is not taken for a broken rule.
 */
final class LagMonitor implements AutoCloseable {
  private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  /** Beside what was measured: pauses of the proxies' own collections, and of pipes and schedulers between. */
  private static final long MARGIN_MILLIS = 150;
  /** The worst lag counts for this long. */
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

  /** By how many milliseconds a limit is to be widened now. */
  long allowanceMillis() {
    return MARGIN_MILLIS + TimeUnit.NANOSECONDS.toMillis(worstLagNanos.get());
  }

  @Override
  public void close() {
    closed = true;
  }
}
