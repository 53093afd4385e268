package lemondeal.failover;

import java.util.List;

/**
 * The second stage of the compiler: a consistent policy. Zones are sorted by name, and all later stages refer to a zone
 * by its index in that list, so that the result does not depend on the order in the file.
 *
 * @param headroom the share of each capacity that is kept free
 * @param maxCrossZoneShare the largest share of the total demand that may be served outside its zone
 * @param maxCrossRegionShare the largest share of the total demand that may be served outside its region
 * @param priorityClasses the classes that are served first, in order of priority
 */
public record PolicyModel(String fleet, long version, double headroom, double maxCrossZoneShare,
    double maxCrossRegionShare,
    PolicySource.BoundLocations boundLocations, List<String> priorityClasses, List<Zone> zones) {

  /** A zone that may serve an origin, its step (0 is the preferred one), and its weight within the step, above 0. */
  public record Helper(int zone, int step, double weight) {}

  /**
   * A zone, both as an origin of demand and as a provider of capacity.
   *
   * @param regionIndex the index of its region among the sorted regions
   * @param helpers the zones that may serve its demand, itself included, sorted by zone and each at most once
   */
  public record Zone(String name, String regionName, int regionIndex, double demand, double capacity,
      List<Helper> helpers, SourceLocation location, SourceLocation capacityLocation) {}

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

  /** The capacity of each zone, less the headroom. */
  double[] usableCapacity() {
    return zones.stream().mapToDouble(zone -> zone.capacity() * (1 - headroom)).toArray();
  }

  boolean crossesRegion(int origin, int zone) {
    return zones.get(origin).regionIndex() != zones.get(zone).regionIndex();
  }

  /** Loads that differ by less are equal: well above the solver's noise, well below any difference that matters. */
  double tolerance() {
    return 1e-7 * totalDemand();
  }
}
