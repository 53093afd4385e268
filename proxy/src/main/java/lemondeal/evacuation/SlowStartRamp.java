package lemondeal.evacuation;

import lemondeal.Balancer;

/**
 * Slow-start ramp of a returning zone: how many new connections a second the whole fleet may send there, depending on
 * how long the zone has been healthy. All proxies of the fleet use the same ramp, as it is derived from settings alone.
 *
 * @param initialRate connections a second at the beginning: what the zone's servers can take while cold. Each of n
 *     proxies may always use its nth part
 * @param finalRate connections a second at the end
 * @param durationMillis of healthy time from the initial to the final rate, which grows linearly
 */
public record SlowStartRamp(double initialRate, double finalRate, long durationMillis) {
  /**
   * Part of the permitted rate that is used: shares are per proxy, so their load is distributed unevenly over the
   * servers.
   */
  private static final double SAFETY_FACTOR = 0.5;
  private static final long MIN_DURATION = 1_000;
  private static final double MIN_COLD_FRACTION = 0.01;

  /**
   * @throws IllegalArgumentException if a rate is NaN, infinite or not above 0, if the rates decrease, or if the
   *     duration is too short
   */
  public SlowStartRamp {
    if (!(initialRate > 0) || !(finalRate >= initialRate) || Double.isInfinite(finalRate)
        || durationMillis < MIN_DURATION) {
      throw new IllegalArgumentException("invalid slow-start ramp: from " + initialRate + " to " + finalRate
          + " connections/s within " + durationMillis + " ms");
    }
  }

  /**
   * Derives the ramp from the rules for cold servers, which may get a multiple of what they can do at that moment. Warm
   * servers can do the rate that fills them within their warm-up time, cold ones a share of it.
   *
   * @param usualConnections number of connections that the zone's servers hold in normal operation, above 0
   */
  public static SlowStartRamp of(Balancer.Rules rules, double usualConnections) {
    long duration = Math.max(MIN_DURATION, rules.warmUpTime() / 1_000);
    // If no multiple is configured, 1 is assumed: no more than the servers can do.
    double multiple = rules.overloadMultiple() > 0 ? rules.overloadMultiple() : 1;
    double finalRate = Math.max(1e-3, SAFETY_FACTOR * multiple * usualConnections * 1_000 / duration);
    double coldFraction = Math.max(MIN_COLD_FRACTION, Math.min(1, rules.coldCapacityShare()));
    return new SlowStartRamp(finalRate * coldFraction, finalRate, duration);
  }

  /** The fleet's total rate after this much healthy time; unlimited once the zone is warm. */
  public double rateAt(double healthyMillis) {
    if (healthyMillis >= durationMillis) {
      return Double.POSITIVE_INFINITY;
    }
    return initialRate + (finalRate - initialRate) * Math.max(0, healthyMillis) / durationMillis;
  }

  /** The share of its usual load that the zone takes after this much healthy time, from just above 0 to 1. */
  double openShare(double healthyMillis) {
    return Math.min(1, rateAt(healthyMillis) / finalRate);
  }

  /** This ramp limited to the servers' known spare capacity; NaN means unknown and imposes no limit. */
  public SlowStartRamp cappedAt(double capacityPerSecond) {
    if (Double.isNaN(capacityPerSecond)) {
      return this;
    }
    double cap = Math.max(1e-3, capacityPerSecond);
    return new SlowStartRamp(Math.min(initialRate, cap), Math.min(finalRate, cap), durationMillis);
  }
}
