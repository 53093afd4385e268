package lemondeal.membership;

/**
 * Flap damping for one instance. Pure: the previous state, the observed health and the time go in, the next state comes
 * out.
 *
 * <p>An instance is drained at once, since new work to an instance with a failing check must end within a second. It
 * serves again only after a quiet period, counted from when it was last seen failing. The period doubles with each flap
 * up to a bound; flaps are forgotten after a long stable time. An instance that fails and recovers many times a second
 * gets no work meanwhile, and gets work again once it has been quiet.
 */
public final class Damping {

  /**
   * Damping settings.
   *
   * @param initialQuiet quiet period in milliseconds after the first flap, before an instance serves again
   * @param maxQuiet upper bound of the quiet period in milliseconds, however often it flapped
   * @param forgetFlapsAfter milliseconds of serving after which its flaps are forgotten
   */
  public record Settings(long initialQuiet, long maxQuiet, long forgetFlapsAfter) {
    /** The defaults if the operator's file sets none. */
    public static final Settings DEFAULT = new Settings(2_000, 60_000, 300_000);
  }

  /**
   * The damping state of one instance.
   *
   * @param serves whether the instance gets new work
   * @param lastSeenHealthy whether it was healthy when last observed, damped or not
   * @param flaps how often it was seen to change from healthy to failing since its flaps were last forgotten. Flaps
   *     while it is drained count too, or a server that flaps fast would return after the first quiet period
   * @param failedAt when it was last seen failing, in milliseconds of the caller's clock; 0 for never
   * @param servesSince since when it has been serving, in milliseconds of the caller's clock
   */
  public record State(boolean serves, boolean lastSeenHealthy, int flaps, long failedAt, long servesSince) {
    /** The state of an instance that is observed for the first time. */
    public static State first(Health health, long now) {
      return health.serves() ? new State(true, true, 0, 0, now) : new State(false, false, 0, now, 0);
    }
  }

  private Damping() {}

  /** The state after {@code health} was observed at {@code now}. */
  public static State next(State previous, Health health, long now, Settings settings) {
    if (!health.serves()) {
      return new State(false, false, previous.lastSeenHealthy() ? previous.flaps() + 1 : previous.flaps(), now, 0);
    }
    if (previous.serves()) {
      boolean stable = now - previous.servesSince() >= settings.forgetFlapsAfter();
      return stable && previous.flaps() > 0 ? new State(true, true, 0, previous.failedAt(), now) : previous;
    }
    return now >= servesAgainAt(previous, settings) ? new State(true, true, previous.flaps(), previous.failedAt(), now)
        : new State(false, true, previous.flaps(), previous.failedAt(), 0);
  }

  /**
   * When an instance that is drained now may serve again if it stays healthy. {@link #next} must be called again at
   * that time, since a catalog reports nothing while nothing changes.
   */
  public static long servesAgainAt(State state, Settings settings) {
    return state.failedAt() + quietPeriod(state.flaps(), settings);
  }

  /** The quiet period after this many flaps; the first does not lengthen it, since it may be a restart. */
  static long quietPeriod(int flaps, Settings settings) {
    if (flaps <= 1) {
      return settings.initialQuiet();
    }
    int doublings = Math.min(flaps - 1, 30);
    return Math.min(settings.maxQuiet(), settings.initialQuiet() << doublings);
  }
}
