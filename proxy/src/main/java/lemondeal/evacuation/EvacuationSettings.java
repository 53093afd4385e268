package lemondeal.evacuation;

/**
 * Timing of evacuation and return, in milliseconds.
 *
 * @param reportInterval between two reports
 * @param voteTtl a vote counts if it was written after one of our reports that is no older than this
 * @param leaseTtl rates beyond the baseline rate need confirmations by a majority that are no older than this
 * @param evacuateDwell minimum time between a return, or a start, and the next vote to evacuate
 * @param returnDwell for which a zone must be healthy before a vote to return; doubles with each relapse
 * @param unobservedDwells a zone that must not be probed is tried again after this many return dwells
 * @param relapseWindow an evacuation within this time after a return is a relapse
 * @param startupQueryTimeout a starting proxy sends nothing for this long, unless enough peers have answered before
 * @param maxClockDrift largest relative difference between the rates of two clocks
 */
public record EvacuationSettings(EvidenceSettings evidence, long reportInterval, long voteTtl, long leaseTtl,
    long evacuateDwell, long returnDwell, int unobservedDwells, long relapseWindow, long startupQueryTimeout,
    double maxClockDrift) {
  static final int MAX_RELAPSES = 5;

  public static final EvacuationSettings DEFAULT = new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500, 2_000,
      3_000, 10_000, 3, 60_000, 1_000, 0.01);

  /**
   * @throws IllegalArgumentException if a dwell does not outlast the leases granted before it, which would break the
   *     bound on the sum of all shares, or if a vote or a lease does not last for four reports
   */
  public EvacuationSettings {
    if (Math.min(evacuateDwell, returnDwell) <= leaseTtl * (1 + 2 * maxClockDrift) || reportInterval * 4 > voteTtl
        || reportInterval * 4 > leaseTtl) {
      throw new IllegalArgumentException("evacuateDwell and returnDwell must exceed leaseTtl plus clock drift, "
          + "and voteTtl and leaseTtl must be at least 4 report intervals");
    }
  }

  /** How long a zone must be healthy after this many relapses. */
  long returnDwell(int relapses) {
    return returnDwell << Math.min(relapses, MAX_RELAPSES);
  }

  /** A duration, in milliseconds, as it must be measured by the side that must not be early, because clocks drift. */
  public long withClockDrift(long duration) {
    return (long) Math.ceil(duration * (1 + 2 * maxClockDrift));
  }
}
