package lemondeal.failover;

import java.util.List;

/**
 * The first stage of the compiler: the content of a policy file with its locations. Checked against the schema only:
 * names are not resolved, and everything is in the order of the file.
 *
 * @param fileLocation the beginning of the file
 * @param headroom the share of each capacity that is kept free
 * @param maxCrossZoneShare the largest share of the total demand that may be served outside its zone
 * @param maxCrossRegionShare the largest share of the total demand that may be served outside its region
 * @param priorityClasses the classes that are served first, in order of priority
 */
public record PolicySource(String fleet, long version, SourceLocation fileLocation, double headroom,
    double maxCrossZoneShare, double maxCrossRegionShare, BoundLocations boundLocations, List<String> priorityClasses,
    List<Region> regions, List<Zone> zones, List<SurvivalRequirement> requirements) {

  /** Where the policy's bounds are set; the beginning of the file for those that are left out. */
  public record BoundLocations(SourceLocation headroom, SourceLocation maxCrossZoneShare,
      SourceLocation maxCrossRegionShare) {}

  /** A zone or region that may serve load, and its weight within its step. */
  public record WeightedName(String name, double weight, SourceLocation location) {}

  /** Zones or regions that share load at the same preference. */
  public record Step(List<WeightedName> entries, SourceLocation location) {}

  /** A region, with the regions that take over its load. */
  public record Region(String name, List<Step> helpedBy, SourceLocation location) {}

  /**
   * A zone.
   *
   * @param servedBy null where the file leaves it out: the zone itself, then its region, then the region's helpers
   */
  public record Zone(String name, String region, SourceLocation regionLocation, PolicyQuantity demand,
      PolicyQuantity capacity, List<Step> servedBy, SourceLocation location) {}

  /** Which failures a requirement covers. */
  public enum Kind { ANY_ZONE, ANY_REGION, ANY, TOGETHER }

  /**
   * Failures that the plan must survive.
   *
   * @param count for {@link Kind#ANY}, how many zones may fail at once
   * @param zones for {@link Kind#TOGETHER}, the zones that fail at once; for {@link Kind#ANY}, those of which any may
   *     fail, empty for all zones; otherwise empty
   */
  public record SurvivalRequirement(Kind kind, int count, List<String> zones, SourceLocation location) {}
}
