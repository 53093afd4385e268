package lemondeal.failover;

/**
 * The bounds that a flow must keep, apart from who may serve whom: what the least change changes.
 *
 * @param usable what each zone may bear
 * @param zoneShare the largest share of the whole demand that may cross zones
 * @param regionShare the same of regions
 */
record FlowBounds(double[] usableCapacity, double maxCrossZoneShare, double maxCrossRegionShare) {
  static FlowBounds of(PolicyModel model) {
    return new FlowBounds(model.usableCapacity(), model.maxCrossZoneShare(), model.maxCrossRegionShare());
  }
}
