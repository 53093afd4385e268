package lemondeal.membership;

/**
 * Flap damping of one instance. Pure: the state before, what is seen and the time go in, the state after comes out.
 *
 * <p>Towards draining at once: new work to an instance that a check calls failing must end within a second. Back only
 * after a quiet time, counted from when it was last seen failing, that doubles with each flap and is bounded; flaps are
 * forgotten after a long calm. An instance that fails and recovers many times a second gets no work while it does so,
 * and work again once it has been quiet.
 */
public final class Damping {

  /**
   * How damping is set.
   *
   * @param quiet milliseconds of quiet after the first flap before an instance serves again
   * @param most milliseconds of quiet needed at most, however often it flapped
   * @param forget milliseconds of serving after which its flaps are forgotten
   */
  public record Settings(long initialQuiet, long maxQuiet, long forgetFlapsAfter) {
    /** What holds where the operator's file says nothing. */
    public static final Settings DEFAULT = new Settings(2_000, 60_000, 300_000);
  }

  /**
   * What is believed of one instance.
   *
   * @param serves whether new work goes there
   * @param seenWell whether it was well when last seen, whatever is believed
   * @param flaps times it was seen to go from well to failing, since its flaps were last forgotten: also while no work
   *     goes there, or a server that flaps fast would be back after the first quiet time
   * @param failedAt when it was last seen failing, Unix milliseconds; 0 for never
   * @param servesSince since when it serves, Unix milliseconds
   */
  public record State(boolean serves, boolean lastSeenHealthy, int flaps, long failedAt, long servesSince) {
    /** An instance seen for the first time, serving or not. */
    public static State first(Health health, long now) {
      return health.serves() ? new State(true, true, 0, 0, now) : new State(false, false, 0, now, 0);
    }
  }

  private Damping() {}

  /** What is believed after {@code seen} at {@code now}. */
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
   * When an instance that does not serve now may serve again if it stays well: a time at which {@link #next} is to be
   * asked once more, since a catalogue that has nothing new to say says nothing.
   */
  public static long servesAgainAt(State state, Settings settings) {
    return state.failedAt() + quietPeriod(state.flaps(), settings);
  }

  /** The quiet time after so many flaps: the first is not counted against a restart. */
  static long quietPeriod(int flaps, Settings settings) {
    if (flaps <= 1) {
      return settings.initialQuiet();
    }
    int doublings = Math.min(flaps - 1, 30);
    return Math.min(settings.maxQuiet(), settings.initialQuiet() << doublings);
  }
}
