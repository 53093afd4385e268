package lemondeal.evacuation;

/** At what pace standing connections leave a zone: for the whole fleet, split over those that take part. */
public final class MoveRate {
  private MoveRate() {}

  /**
   * Moves a second for this proxy. In touch with a majority the pace is split over those heard of; a proxy that is not
   * keeps to its part as one of the named. Where ways are broken in one direction proxies may hear of different ones;
   * the sum is below twice the fleet's pace even then, as each hears of a majority.
   *
   * @param fleetPerSecond moves a second of all together
   * @param live proxies heard of for certain, this one included
   */
  public static double perSecond(double fleetPerSecond, int liveMembers, int members) {
    return fleetPerSecond / (liveMembers * 2 > members ? liveMembers : members);
  }
}
