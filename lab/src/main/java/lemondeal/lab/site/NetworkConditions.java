package lemondeal.lab.site;

/**
 * Network conditions for one direction of a {@link Relay}.
 *
 * @param mode whether bytes pass at all
 * @param delayMillis minimum delay of each chunk
 * @param jitterMillis mean of an exponentially distributed additional delay; the order is kept
 * @param resetShare fraction of chunks at which the connection is reset, the counterpart of packet loss for a stream
 * @param bytesPerSecond rate limit; 0 for none
 */
public record NetworkConditions(Mode mode, long delayMillis, long jitterMillis, double resetShare, int bytesPerSecond) {

  /** OPEN passes bytes; STALLED holds them without closing, as a cut cable; CUT resets current and new connections. */
  public enum Mode { OPEN, STALLED, CUT }

  public static final NetworkConditions OPEN = new NetworkConditions(Mode.OPEN, 0, 0, 0, 0);
  public static final NetworkConditions STALLED = new NetworkConditions(Mode.STALLED, 0, 0, 0, 0);
  public static final NetworkConditions CUT = new NetworkConditions(Mode.CUT, 0, 0, 0, 0);

  public static NetworkConditions delayed(long delayMillis, long jitterMillis) {
    return new NetworkConditions(Mode.OPEN, delayMillis, jitterMillis, 0, 0);
  }

  public static NetworkConditions lossy(double resetShare) {
    return new NetworkConditions(Mode.OPEN, 0, 0, resetShare, 0);
  }

  public static NetworkConditions throttled(int bytesPerSecond) {
    return new NetworkConditions(Mode.OPEN, 0, 0, 0, bytesPerSecond);
  }
}
