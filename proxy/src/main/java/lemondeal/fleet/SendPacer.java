package lemondeal.fleet;

/**
 * Decides when the row is sent: at once after a change, but at most at four times the usual rate, and never with more
 * than {@link #MAX_BYTES_PER_SECOND} to each peer, whatever the subsystems publish. Does no I/O.
 */
final class SendPacer {
  /** Limit on the bytes of messages a second to each peer. */
  static final long MAX_BYTES_PER_SECOND = 64 * 1024;
  private static final int SPEEDUP_ON_CHANGE = 4;

  private final long intervalMillis;
  private long lastSentAt;
  private long lastBytes;

  /** The first row may be sent at {@code nowMillis}. */
  SendPacer(long intervalMillis, long nowMillis) {
    this.intervalMillis = intervalMillis;
    lastSentAt = nowMillis - intervalMillis;
  }

  /** When the next row is to be sent. */
  long nextSendAt(boolean changed) {
    return lastSentAt + Math.max(changed ? intervalMillis / SPEEDUP_ON_CHANGE : intervalMillis,
        lastBytes * 1000 / MAX_BYTES_PER_SECOND);
  }

  /** Records that a message of this size was sent to each peer. */
  void recordSend(long nowMillis, int bytes) {
    lastSentAt = nowMillis;
    lastBytes = bytes;
  }
}
