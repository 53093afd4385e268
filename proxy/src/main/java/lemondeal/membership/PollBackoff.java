package lemondeal.membership;

/**
 * How soon a catalog is queried again. Pure: the random number is an argument. A hundred proxies that failed together
 * must not retry together, and a catalog that reports too many requests gets longer pauses than one that failed once.
 */
public final class PollBackoff {
  /**
   * Upper bound of the mean pause in milliseconds, whatever the settings say: once a catalog is back, its changes count
   * as known 6 s after it has them (STANDING), and the first calls may go to other agents that are still unreachable.
   */
  private static final long MAX_MEAN_PAUSE = 2_000;

  /**
   * Query pacing.
   *
   * @param minInterval minimum milliseconds between the starts of two calls, whatever the result
   * @param initialBackoff milliseconds after the first failure
   * @param maxBackoff upper bound in milliseconds after repeated failures; more than 2,000 counts as 2,000
   */
  public record Settings(long minInterval, long initialBackoff, long maxBackoff) {
    /** The defaults if the operator's file sets none. */
    public static final Settings DEFAULT = new Settings(100, 500, MAX_MEAN_PAUSE);
  }

  /** How the last call ended. */
  public enum CallOutcome {
    /** An answer, accepted or not. */
    ANSWERED,
    /** No answer, a malformed one, or an error of the catalog. */
    FAILED,
    /** The catalog reported too many requests (429). */
    TOO_OFTEN
  }

  private PollBackoff() {}

  /**
   * Milliseconds to wait before the next call.
   *
   * @param failures consecutive failed calls before the last call
   * @param elapsed milliseconds that the last call took
   * @param jitter a random number in [0, 1)
   */
  public static long nextDelay(CallOutcome outcome, int failures, long elapsed, double jitter, Settings settings) {
    if (outcome == CallOutcome.ANSWERED) {
      return Math.max(0, settings.minInterval() - elapsed);
    }
    int doublings = Math.min(failures + (outcome == CallOutcome.TOO_OFTEN ? 2 : 0), 20);
    long backoff = Math.min(Math.min(settings.maxBackoff(), MAX_MEAN_PAUSE), settings.initialBackoff() << doublings);
    // Between 0.5 and 1.5 times the backoff, so that callers rejected together spread out.
    return Math.max(settings.minInterval(), (long) (backoff * (0.5 + jitter)));
  }
}
