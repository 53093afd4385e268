package lemondeal.failover;

/**
 * A demand or a capacity as the operator wrote it.
 *
 * @param number the number, or the floor where it is measured, in the policy's unit (whatever the operator counts in)
 * @param measured whether a measurement above the floor is taken instead
 */
public record PolicyQuantity(double configured, boolean useMeasurement, SourceLocation location) {
  /** What is reckoned with. A measurement that is no number, or is below the floor, says nothing. */
  double effective(Double measurement) {
    boolean measurementUsed = useMeasurement && measurement != null && Double.isFinite(measurement) && measurement > configured;
    return measurementUsed ? Math.floor(measurement * 1000) / 1000 : configured;
  }
}
