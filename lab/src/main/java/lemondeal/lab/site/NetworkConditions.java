package lemondeal.lab.site;

/**
 * How a {@link Relay} lets bytes pass, one way.
 *
 * @param way whether they pass at all
 * @param delayMillis each piece is held for so long at least
 * @param jitterMillis and for as long again as an exponential draw of this mean, in order
 * @param resetShare the share of pieces in whose place the connection is reset: what loss is to a stream
 * @param bytesPerSecond 0 where there is no bound
 */
public record NetworkConditions(Mode mode, long delayMillis, long jitterMillis, double resetShare, int bytesPerSecond) {

  /** OPEN passes; STALLED holds everything and closes nothing, as a cut cable; CUT resets, and refuses who comes. */
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
