package lemondeal.failover;

/**
 * A demand or a capacity as the operator wrote it.
 *
 * @param number the number, or the floor where it is measured, in the policy's unit (whatever the operator counts in)
 * @param measured whether a measurement above the floor is taken instead
 */
public record Amount(double number, boolean measured, Place place) {
  /** What is reckoned with. A measurement that is no number, or is below the floor, says nothing. */
  double with(Double measurement) {
    boolean taken = measured && measurement != null && Double.isFinite(measurement) && measurement > number;
    return taken ? Math.floor(measurement * 1000) / 1000 : number;
  }
}
