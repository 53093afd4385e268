package lemondeal.lab.soak;

import java.util.concurrent.TimeUnit;

/** Starts daemon threads with small stacks: a soak has some hundreds of them, each blocked on one socket. */
final class Threads {
  private static final int STACK_BYTES = 256 * 1024;

  private Threads() {}

  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleepMillis(long millis) {
    sleepNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Returns at once if {@code nanos} is not positive; an interrupt ends the sleep and stays set. */
  static void sleepNanos(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
