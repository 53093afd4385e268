package lemondeal.fleet;

/**
 * When the row goes out: at once where it changed, but not more often than four times the usual pace, and never more
 * than {@link #PEER_BYTES} a second to each other proxy, whatever the subsystems do. Pure.
 */
final class Pace {
  /** Bytes of letters a second to one other proxy. */
  static final long PEER_BYTES = 64 * 1024;
  private static final int FASTER = 4;

  private final long tellMillis;
  private long lastAt;
  private long lastBytes;

  /** The first row may go out at {@code nowMillis}. */
  Pace(long tellMillis, long nowMillis) {
    this.tellMillis = tellMillis;
    lastAt = nowMillis - tellMillis;
  }

  /** When the next row goes out. */
  long nextAt(boolean changed) {
    return lastAt + Math.max(changed ? tellMillis / FASTER : tellMillis, lastBytes * 1000 / PEER_BYTES);
  }

  /** A letter of so many bytes goes to each. */
  void told(long nowMillis, int bytes) {
    lastAt = nowMillis;
    lastBytes = bytes;
  }
}
