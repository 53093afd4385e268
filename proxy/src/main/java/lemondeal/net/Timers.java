package lemondeal.net;

/** Schedules all timers. A task runs on the I/O thread, never early. */
public interface Timers {

  /** Microseconds since 1970 on a clock that never goes backwards. */
  long now();

  Timer after(long micros, Runnable task);

  /** A scheduled task. Cancelling it after the task has run has no effect. */
  interface Timer {
    void cancel();
  }

  /** Cancels a timer that may be null. */
  static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
