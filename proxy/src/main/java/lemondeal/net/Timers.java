package lemondeal.net;

/** The one place where deadlines hang. A task runs on the I/O thread, never early. */
public interface Timers {

  /** Microseconds since 1970 on a clock that does not go backwards. */
  long now();

  Timer after(long micros, Runnable task);

  /** A deadline that may be called off; after its task has run, that does nothing. */
  interface Timer {
    void cancel();
  }

  /** Calls off a deadline that may not have been set. */
  static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
