package lemondeal.fleet;

/**
 * Records when this process sent its last rows, which bounds the age of the messages that echo them: such a message was
 * written after the echoed row was sent. So the time that a row spent in a buffer, a relay or a paused process counts
 * as age, and no clocks are compared. An echo of a row that is older than the ring buffer holds bounds nothing.
 */
final class SentRows {
  private static final int CAPACITY = 512;

  private final long incarnation;
  private final long[] sentAt = new long[CAPACITY];
  private long lastSequence;

  SentRows(long incarnation) {
    this.incarnation = incarnation;
  }

  /** Records that the next row is sent, and returns its sequence number. */
  long recordSend(long nowMillis) {
    sentAt[(int) (++lastSequence % CAPACITY)] = nowMillis;
    return lastSequence;
  }

  long incarnation() {
    return incarnation;
  }

  /** Whether the echoed row was never sent, although it has this process's incarnation. */
  boolean wasNeverSent(FleetMessage.Echo echo) {
    return echo != null && echo.incarnation() == incarnation
        && (echo.sequence() <= 0 || echo.sequence() > lastSequence);
  }

  /** Whether it bounds the time at which a message was written. */
  boolean boundsAge(FleetMessage.Echo echo) {
    return echo != null && echo.incarnation() == incarnation && echo.sequence() > lastSequence - CAPACITY;
  }

  /** Milliseconds of this process's clock at which the echoed row was sent. */
  long sentAt(FleetMessage.Echo echo) {
    return sentAt[(int) (echo.sequence() % CAPACITY)];
  }
}
