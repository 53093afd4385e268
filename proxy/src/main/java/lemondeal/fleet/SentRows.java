package lemondeal.fleet;

/**
 * When this process told its last rows, by which others prove that theirs are younger: a letter that echoes one of
 * these was written after it was told. So a row that lay in a buffer, a relay or a stalled process is as old here as it
 * is, and no clock is compared. What is older than the ring reaches back proves nothing.
 */
final class SentRows {
  private static final int CAPACITY = 512;

  private final long incarnation;
  private final long[] sentAt = new long[CAPACITY];
  private long lastSequence;

  SentRows(long incarnation) {
    this.incarnation = incarnation;
  }

  /** Takes note of the next row; its sequence. */
  long recordSend(long nowMillis) {
    sentAt[(int) (++lastSequence % CAPACITY)] = nowMillis;
    return lastSequence;
  }

  long incarnation() {
    return incarnation;
  }

  /** Whether this was never told, though it bears this process's incarnation. */
  boolean wasNeverSent(FleetMessage.Echo echo) {
    return echo != null && echo.incarnation() == incarnation && (echo.sequence() <= 0 || echo.sequence() > lastSequence);
  }

  /** Whether it tells when a letter was written at the earliest. */
  boolean boundsAge(FleetMessage.Echo echo) {
    return echo != null && echo.incarnation() == incarnation && echo.sequence() > lastSequence - CAPACITY;
  }

  /** Milliseconds of this process's clock at which the echoed row was told. */
  long sentAt(FleetMessage.Echo echo) {
    return sentAt[(int) (echo.sequence() % CAPACITY)];
  }
}
