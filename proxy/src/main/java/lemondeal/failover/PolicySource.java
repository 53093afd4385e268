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
public record PolicySource(String fleet, long version, Place top, double headroom, double zoneShare, double regionShare,
    Places places, List<String> first, List<Region> regions, List<Zone> zones, List<Promise> promises) {

  /** Where the policy's bounds are said; the file's first place where they are left out. */
  public record Places(Place headroom, Place zoneShare, Place regionShare) {}

  /** A zone or region that helps, and its weight within its step. */
  public record Share(String name, double weight, Place place) {}

  /** Those that are asked at the same time. */
  public record Step(List<Share> shares, Place place) {}

  /** A region, with the regions that help it. */
  public record Region(String name, List<Step> helpedBy, Place place) {}

  /**
   * A zone.
   *
   * @param servedBy null where the file leaves it out: itself, then its region, then the region's helpers
   */
  public record Zone(String name, String region, Place regionPlace, Amount demand, Amount capacity, List<Step> servedBy,
      Place place) {}

  /** What may fail. */
  public enum Kind { ANY_ZONE, ANY_REGION, ANY, TOGETHER }

  /**
   * A promise: failures that must be survived.
   *
   * @param count of {@link Kind#ANY}, how many at once
   * @param zones empty for {@link Kind#ANY} of all zones
   */
  public record Promise(Kind kind, int count, List<String> zones, Place place) {}
}
