package lemondeal.proxy;

/** The system's time in microseconds since 1970, read once and then moved by the clock that never goes back. */
class Clock {
  private final long wallMicrosAtStart = System.currentTimeMillis() * 1000;
  private final long nanosAtStart = System.nanoTime();

  long now() {
    return wallMicrosAtStart + (System.nanoTime() - nanosAtStart) / 1000;
  }

  /** The system's time as it is now, in microseconds: it may be stepped in either direction. */
  long wallTime() {
    return System.currentTimeMillis() * 1000;
  }
}
