package lemondeal.membership;

/**
 * How soon a catalogue is asked again. Pure: the draw of a random number is an argument. A hundred proxies that failed
 * together must not come back together, and a catalogue that says it is too busy is given more room than one that
 * failed once.
 */
public final class PollBackoff {

  /**
   * How asking is paced.
   *
   * @param least milliseconds between the starts of two calls at least, whatever comes back
   * @param first milliseconds after a first failure
   * @param most milliseconds after many failures at most
   */
  public record Settings(long minInterval, long initialBackoff, long maxBackoff) {
    /** What holds where the operator's file says nothing. */
    public static final Settings DEFAULT = new Settings(100, 500, 30_000);
  }

  /** Why the last call ended. */
  public enum CallOutcome {
    /** An answer, believed or not. */
    ANSWERED,
    /** No answer, a broken one, or a failure of the catalogue. */
    FAILED,
    /** The catalogue said that it is asked too often (429). */
    TOO_OFTEN
  }

  private PollBackoff() {}

  /**
   * Milliseconds to wait before the next call.
   *
   * @param failures calls that failed in a row before this one ended, this one not counted
   * @param took milliseconds that the last call took
   * @param draw a random number in [0, 1)
   */
  public static long nextDelay(CallOutcome outcome, int failures, long elapsed, double jitter, Settings settings) {
    if (outcome == CallOutcome.ANSWERED) {
      return Math.max(0, settings.minInterval() - elapsed);
    }
    int doublings = Math.min(failures + (outcome == CallOutcome.TOO_OFTEN ? 2 : 0), 20);
    long backoff = Math.min(settings.maxBackoff(), settings.initialBackoff() << doublings);
    // Between a half and one and a half of it: callers turned away together spread out.
    return Math.max(settings.minInterval(), (long) (backoff * (0.5 + jitter)));
  }
}
