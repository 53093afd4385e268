package lemondeal.failover;

/**
 * The numeric bounds of a flow, which {@link LeastChange} varies; which zones may serve an origin is not part of them.
 *
 * @param usableCapacity the largest load of each zone
 * @param maxCrossZoneShare the largest share of the total demand that may be served outside its zone
 * @param maxCrossRegionShare the largest share of the total demand that may be served outside its region
 */
record FlowBounds(double[] usableCapacity, double maxCrossZoneShare, double maxCrossRegionShare) {
  static FlowBounds of(PolicyModel model) {
    return new FlowBounds(model.usableCapacity(), model.maxCrossZoneShare(), model.maxCrossRegionShare());
  }
}
