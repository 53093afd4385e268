package lemondeal.membership;

/**
 * How soon a catalogue is asked again. Pure: the draw of a random number is an argument. A hundred proxies that failed
 * together must not come back together, and a catalogue that says it is too busy is given more room than one that
 * failed once.
 */
public final class AskPace {

  /**
   * How asking is paced.
   *
   * @param least milliseconds between the starts of two calls at least, whatever comes back
   * @param first milliseconds after a first failure
   * @param most milliseconds after many failures at most
   */
  public record Settings(long least, long first, long most) {
    /** What holds where the operator's file says nothing. */
    public static final Settings DEFAULT = new Settings(100, 500, 30_000);
  }

  /** Why the last call ended. */
  public enum Ended {
    /** An answer, believed or not. */
    ANSWERED,
    /** No answer, a broken one, or a failure of the catalogue. */
    FAILED,
    /** The catalogue said that it is asked too often (429). */
    TOO_OFTEN
  }

  private AskPace() {}

  /**
   * Milliseconds to wait before the next call.
   *
   * @param failures calls that failed in a row before this one ended, this one not counted
   * @param took milliseconds that the last call took
   * @param draw a random number in [0, 1)
   */
  public static long pause(Ended ended, int failures, long took, double draw, Settings settings) {
    if (ended == Ended.ANSWERED) {
      return Math.max(0, settings.least() - took);
    }
    int doublings = Math.min(failures + (ended == Ended.TOO_OFTEN ? 2 : 0), 20);
    long pause = Math.min(settings.most(), settings.first() << doublings);
    // Between a half and one and a half of it: callers turned away together spread out.
    return Math.max(settings.least(), (long) (pause * (0.5 + draw)));
  }
}
