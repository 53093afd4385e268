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
public record SlowStartRamp(double initialRate, double finalRate, long durationMillis) {
  /** Part of what the rule allows: shares go by proxies, and what they carry falls unevenly on the servers. */
  private static final double SAFETY_FACTOR = 0.5;
  private static final long MIN_DURATION = 1_000;
  private static final double MIN_COLD_FRACTION = 0.01;

  /**
   * @throws IllegalArgumentException for rates that are no numbers, fall, or are not above 0
   */
  public SlowStartRamp {
    if (!(initialRate > 0) || !(finalRate >= initialRate) || Double.isInfinite(finalRate) || durationMillis < MIN_DURATION) {
      throw new IllegalArgumentException(
          "an opening from " + initialRate + " to " + finalRate + " a second in " + durationMillis + " ms");
    }
  }

  /**
   * The budget by the rule for cold servers: so many times of what they can do at that moment, held against the rate
   * that fills them over their warm-up.
   *
   * @param usuallyHeld connections that the zone's servers hold when all is well, above 0
   */
  public static SlowStartRamp of(Balancer.Rules rules, double usualConnections) {
    long duration = Math.max(MIN_DURATION, rules.warmUpTime() / 1_000);
    // A multiple that is not told is taken for 1: no more than the servers can do.
    double multiple = rules.overloadMultiple() > 0 ? rules.overloadMultiple() : 1;
    double finalRate = Math.max(1e-3, SAFETY_FACTOR * multiple * usualConnections * 1_000 / duration);
    double coldFraction = Math.max(MIN_COLD_FRACTION, Math.min(1, rules.coldCapacityShare()));
    return new SlowStartRamp(finalRate * coldFraction, finalRate, duration);
  }

  /** The fleet's total a second after so much proof; no bound once the zone is warm. */
  public double rateAt(double healthyMillis) {
    if (healthyMillis >= durationMillis) {
      return Double.POSITIVE_INFINITY;
    }
    return initialRate + (finalRate - initialRate) * Math.max(0, healthyMillis) / durationMillis;
  }

  /** How far the zone is open then, from just above 0 to 1. */
  double openShare(double healthyMillis) {
    return Math.min(1, rateAt(healthyMillis) / finalRate);
  }

  /** The same held down to what the servers are known to have room for; NaN room is not known and holds nothing. */
  public SlowStartRamp cappedAt(double capacityPerSecond) {
    if (Double.isNaN(capacityPerSecond)) {
      return this;
    }
    double cap = Math.max(1e-3, capacityPerSecond);
    return new SlowStartRamp(Math.min(initialRate, cap), Math.min(finalRate, cap), durationMillis);
  }
}
