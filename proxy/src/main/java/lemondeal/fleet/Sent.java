package lemondeal.fleet;

/**
 * When this process told its last rows, by which others prove that theirs are younger: a letter that echoes one of
 * these was written after it was told. So a row that lay in a buffer, a relay or a stalled process is as old here as it
 * is, and no clock is compared. What is older than the ring reaches back proves nothing.
 */
final class Sent {
  private static final int RING = 512;

  private final long incarnation;
  private final long[] at = new long[RING];
  private long last;

  Sent(long incarnation) {
    this.incarnation = incarnation;
  }

  /** Takes note of the next row; its sequence. */
  long tell(long nowMillis) {
    at[(int) (++last % RING)] = nowMillis;
    return last;
  }

  long incarnation() {
    return incarnation;
  }

  /** Whether this was never told, though it bears this process's incarnation. */
  boolean isUntrue(Letter.Echo echo) {
    return echo != null && echo.incarnation() == incarnation && (echo.sequence() <= 0 || echo.sequence() > last);
  }

  /** Whether it tells when a letter was written at the earliest. */
  boolean proves(Letter.Echo echo) {
    return echo != null && echo.incarnation() == incarnation && echo.sequence() > last - RING;
  }

  /** Milliseconds of this process's clock at which the echoed row was told. */
  long at(Letter.Echo echo) {
    return at[(int) (echo.sequence() % RING)];
  }
}
