package lemondeal.evacuation;

/** What a zone's failures are taken for. Each asks for another act: docs/EVACUATION-DESIGN.md has the table. */
public enum ZoneDiagnosis {
  UNKNOWN, SOUND, ONE_SERVER_FAILS, DISCOVERY_LATE, OVERLOADED,
  /** One proxy's word: whether the zone or the way to it fails can't be told from one place. */
  UNREACHED_FROM_HERE, I_AM_CUT_OFF, MY_ZONE_CUT_OFF, ZONE_FAILS;

  /** Whether a proxy may vote for leaving the zone on this: what it sees alone is never the last word. */
  public boolean supportsEvacuation() {
    return this == UNREACHED_FROM_HERE || this == ZONE_FAILS;
  }
}
