package lemondeal.evacuation;

/**
 * Rate at which established connections are moved out of an evacuated zone: limited for the whole fleet and divided
 * among the proxies that are reachable.
 */
public final class MoveRate {
  private MoveRate() {}

  /**
   * Moves a second for this proxy. While it is in contact with a majority, the rate is divided by the number of live
   * members; otherwise by the number of all configured members. With one-way network failures, proxies may count
   * different live members. Even then the sum stays below twice the fleet's rate, because each counts a majority.
   *
   * @param fleetPerSecond moves a second of the whole fleet
   * @param liveMembers members with a report that is certainly recent, this proxy included
   */
  public static double perSecond(double fleetPerSecond, int liveMembers, int members) {
    return fleetPerSecond / (liveMembers * 2 > members ? liveMembers : members);
  }
}
