package lemondeal.failover;

/**
 * A demand or a capacity as written in the policy file.
 *
 * @param configured the number, or the floor of a measured quantity, in the unit that the operator chose for the policy
 * @param useMeasurement whether a measurement above the floor replaces the number
 */
public record PolicyQuantity(double configured, boolean useMeasurement, SourceLocation location) {
  /** The value to compile with. A measurement that is not finite, or not above the floor, is ignored. */
  double effective(Double measurement) {
    boolean measurementUsed =
        useMeasurement && measurement != null && Double.isFinite(measurement) && measurement > configured;
    return measurementUsed ? Math.floor(measurement * 1000) / 1000 : configured;
  }
}
