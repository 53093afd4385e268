package lemondeal.proxy;

/** The time in microseconds since 1970: the wall clock at the process's start, advanced by the monotonic clock. */
class Clock {
  private final long wallMicrosAtStart = System.currentTimeMillis() * 1000;
  private final long nanosAtStart = System.nanoTime();

  long now() {
    return wallMicrosAtStart + (System.nanoTime() - nanosAtStart) / 1000;
  }

  /** The wall clock now, in microseconds: it may be stepped in either direction. */
  long wallTime() {
    return System.currentTimeMillis() * 1000;
  }
}
