package lemondeal.failover;

import java.util.List;

/**
 * The first stage: a policy as its file says it, with places, held to the schema and to nothing else. Names are words
 * yet; everything stands in the order of the file.
 *
 * @param headroom the share of each capacity that is kept free
 * @param zoneShare the largest share of the whole demand that may be served in another zone than its own
 * @param regionShare the same of regions
 * @param first classes that go first, the first one first
 */
public record PolicySource(String fleet, long version, SourceLocation fileLocation, double headroom, double maxCrossZoneShare, double maxCrossRegionShare,
    BoundLocations boundLocations, List<String> priorityClasses, List<Region> regions, List<Zone> zones, List<SurvivalRequirement> requirements) {

  /** Where the policy's bounds are said; the file's first place where they are left out. */
  public record BoundLocations(SourceLocation headroom, SourceLocation maxCrossZoneShare, SourceLocation maxCrossRegionShare) {}

  /** A zone or region that helps, and its weight within its step. */
  public record WeightedName(String name, double weight, SourceLocation location) {}

  /** Those that are asked at the same time. */
  public record Step(List<WeightedName> entries, SourceLocation location) {}

  /** A region, with the regions that help it. */
  public record Region(String name, List<Step> helpedBy, SourceLocation location) {}

  /**
   * A zone.
   *
   * @param servedBy null where the file leaves it out: itself, then its region, then the region's helpers
   */
  public record Zone(String name, String region, SourceLocation regionLocation, PolicyQuantity demand, PolicyQuantity capacity, List<Step> servedBy,
      SourceLocation location) {}

  /** What may fail. */
  public enum Kind { ANY_ZONE, ANY_REGION, ANY, TOGETHER }

  /**
   * A promise: failures that must be survived.
   *
   * @param count of {@link Kind#ANY}, how many at once
   * @param zones empty for {@link Kind#ANY} of all zones
   */
  public record SurvivalRequirement(Kind kind, int count, List<String> zones, SourceLocation location) {}
}
