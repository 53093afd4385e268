package lemondeal.fleet;

/**
 * When the row goes out: at once where it changed, but not more often than four times the usual pace, and never more
 * than {@link #PEER_BYTES} a second to each other proxy, whatever the subsystems do. Pure.
 */
final class SendPacer {
  /** Bytes of letters a second to one other proxy. */
  static final long MAX_BYTES_PER_SECOND = 64 * 1024;
  private static final int SPEEDUP_ON_CHANGE = 4;

  private final long intervalMillis;
  private long lastSentAt;
  private long lastBytes;

  /** The first row may go out at {@code nowMillis}. */
  SendPacer(long intervalMillis, long nowMillis) {
    this.intervalMillis = intervalMillis;
    lastSentAt = nowMillis - intervalMillis;
  }

  /** When the next row goes out. */
  long nextSendAt(boolean changed) {
    return lastSentAt + Math.max(changed ? intervalMillis / SPEEDUP_ON_CHANGE : intervalMillis, lastBytes * 1000 / MAX_BYTES_PER_SECOND);
  }

  /** A letter of so many bytes goes to each. */
  void recordSend(long nowMillis, int bytes) {
    lastSentAt = nowMillis;
    lastBytes = bytes;
  }
}
