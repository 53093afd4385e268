package lemondeal.evacuation;

/**
 * The likely cause of a zone's failures. Each calls for a different reaction; docs/EVACUATION-DESIGN.md has the table.
 */
public enum ZoneDiagnosis {
  UNKNOWN, SOUND, ONE_SERVER_FAILS, DISCOVERY_LATE, OVERLOADED,
  /** Seen by one proxy alone, which cannot distinguish a failure of the zone from one of the network path to it. */
  UNREACHED_FROM_HERE, I_AM_CUT_OFF, MY_ZONE_CUT_OFF, ZONE_FAILS;

  /** Whether a proxy may vote for evacuating the zone on this diagnosis. Its own observation alone never decides. */
  public boolean supportsEvacuation() {
    return this == UNREACHED_FROM_HERE || this == ZONE_FAILS;
  }
}
