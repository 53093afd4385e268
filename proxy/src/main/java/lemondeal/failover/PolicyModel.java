package lemondeal.failover;

import java.util.List;

/**
 * The second stage: a policy whose names are all known and whose numbers make sense. Zones are sorted by name and are
 * their place in that list from here on, so that nothing below knows the file's order.
 *
 * @param headroom the share of each capacity that is kept free
 * @param zoneShare the largest share of the whole demand that may cross zones
 * @param regionShare the same of regions
 */
public record PolicyModel(String fleet, long version, double headroom, double maxCrossZoneShare, double maxCrossRegionShare,
    PolicySource.BoundLocations boundLocations, List<String> priorityClasses, List<Zone> zones) {

  /** A zone that may serve, its step (0 is the normal one) and its weight in it, above 0. */
  public record Helper(int zone, int step, double weight) {}

  /**
   * A zone, both as origin of demand and as a place with capacity.
   *
   * @param region the region's place among the sorted regions
   * @param helpers who may serve its demand, sorted by zone; each at most once
   */
  public record Zone(String name, String regionName, int regionIndex, double demand, double capacity, List<Helper> helpers,
      SourceLocation location, SourceLocation capacityLocation) {}

  int zoneCount() {
    return zones.size();
  }

  Zone zone(int index) {
    return zones.get(index);
  }

  double demand(int origin) {
    return zones.get(origin).demand();
  }

  double totalDemand() {
    return zones.stream().mapToDouble(Zone::demand).sum();
  }

  /** The capacity of each zone less the headroom. */
  double[] usableCapacity() {
    return zones.stream().mapToDouble(zone -> zone.capacity() * (1 - headroom)).toArray();
  }

  boolean crossesRegion(int origin, int zone) {
    return zones.get(origin).regionIndex() != zones.get(zone).regionIndex();
  }

  /** Loads that differ by less are the same: well above a solver's noise, well below what an operator can mean. */
  double tolerance() {
    return 1e-7 * totalDemand();
  }
}
