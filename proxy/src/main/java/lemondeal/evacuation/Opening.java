package lemondeal.evacuation;

import lemondeal.Balancer;

/**
 * How many new connections a second the fleet in total may send into a returning zone, by how far it has proven itself.
 * The same at every proxy of the fleet, as it comes from settings alone.
 *
 * @param first a second at the beginning: what the zone's servers bear cold. Its nth part is each proxy's at all times
 * @param full a second at the end
 * @param warmMillis of proof from the first to the full rate, evenly
 */
public record Opening(double first, double full, long warmMillis) {
  /** Part of what the rule allows: shares go by proxies, and what they carry falls unevenly on the servers. */
  private static final double SAFETY = 0.5;
  private static final long SHORTEST_WARM = 1_000;
  private static final double COLDEST = 0.01;

  /**
   * @throws IllegalArgumentException for rates that are no numbers, fall, or are not above 0
   */
  public Opening {
    if (!(first > 0) || !(full >= first) || Double.isInfinite(full) || warmMillis < SHORTEST_WARM) {
      throw new IllegalArgumentException(
          "an opening from " + first + " to " + full + " a second in " + warmMillis + " ms");
    }
  }

  /**
   * The budget by the rule for cold servers: so many times of what they can do at that moment, held against the rate
   * that fills them over their warm-up.
   *
   * @param usuallyHeld connections that the zone's servers hold when all is well, above 0
   */
  public static Opening of(Balancer.Rules rules, double usuallyHeld) {
    long warm = Math.max(SHORTEST_WARM, rules.warmUpTime() / 1_000);
    // A multiple that is not told is taken for 1: no more than the servers can do.
    double multiple = rules.overloadMultiple() > 0 ? rules.overloadMultiple() : 1;
    double full = Math.max(1e-3, SAFETY * multiple * usuallyHeld * 1_000 / warm);
    double cold = Math.max(COLDEST, Math.min(1, rules.coldCapacityShare()));
    return new Opening(full * cold, full, warm);
  }

  /** The fleet's total a second after so much proof; no bound once the zone is warm. */
  public double perSecond(double proven) {
    if (proven >= warmMillis) {
      return Double.POSITIVE_INFINITY;
    }
    return first + (full - first) * Math.max(0, proven) / warmMillis;
  }

  /** How far the zone is open then, from just above 0 to 1. */
  double open(double proven) {
    return Math.min(1, perSecond(proven) / full);
  }

  /** The same held down to what the servers are known to have room for; NaN room is not known and holds nothing. */
  public Opening within(double roomPerSecond) {
    if (Double.isNaN(roomPerSecond)) {
      return this;
    }
    double most = Math.max(1e-3, roomPerSecond);
    return new Opening(Math.min(first, most), Math.min(full, most), warmMillis);
  }
}
