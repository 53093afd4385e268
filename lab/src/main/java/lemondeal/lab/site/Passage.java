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
public record Passage(Way way, long delayMillis, long jitterMillis, double resetShare, int bytesPerSecond) {

  /** OPEN passes; STALLED holds everything and closes nothing, as a cut cable; CUT resets, and refuses who comes. */
  public enum Way { OPEN, STALLED, CUT }

  public static final Passage OPEN = new Passage(Way.OPEN, 0, 0, 0, 0);
  public static final Passage STALLED = new Passage(Way.STALLED, 0, 0, 0, 0);
  public static final Passage CUT = new Passage(Way.CUT, 0, 0, 0, 0);

  public static Passage delayed(long delayMillis, long jitterMillis) {
    return new Passage(Way.OPEN, delayMillis, jitterMillis, 0, 0);
  }

  public static Passage lossy(double resetShare) {
    return new Passage(Way.OPEN, 0, 0, resetShare, 0);
  }

  public static Passage slow(int bytesPerSecond) {
    return new Passage(Way.OPEN, 0, 0, 0, bytesPerSecond);
  }
}
