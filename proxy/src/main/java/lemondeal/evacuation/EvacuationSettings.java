package lemondeal.evacuation;

/**
 * Times of leaving and returning, in milliseconds.
 *
 * @param tell between two rows
 * @param voteLife a vote counts if it was written after a row of ours that is no older than this
 * @param shareLife what goes beyond the careful share needs such words of a majority no older than this
 * @param leaveDwell between a return, or a start, and the next vote to leave
 * @param returnDwell for which a zone must be sound before a vote to return; doubles with each relapse
 * @param blindTimes a zone that nobody may ask is tried after so many of these dwells
 * @param calm a zone left again within this after its return has relapsed
 * @param askFor a starting proxy sends nowhere for so long, unless a majority has answered before
 * @param drift by how much clocks may run apart, as a share
 */
public record EvacuationSettings(EvidenceSettings evidence, long reportInterval, long voteTtl, long leaseTtl, long evacuateDwell,
    long returnDwell, int unobservedDwells, long relapseWindow, long startupQueryTimeout, double maxClockDrift) {
  static final int MAX_RELAPSES = 5;

  public static final EvacuationSettings DEFAULT = new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500, 2_000,
      3_000, 10_000, 3, 60_000, 1_000, 0.01);

  /**
   * @throws IllegalArgumentException where a dwell does not outlast the shares given before it: the sum of all shares
   *     would not hold
   */
  public EvacuationSettings {
    if (Math.min(evacuateDwell, returnDwell) <= leaseTtl * (1 + 2 * maxClockDrift) || reportInterval * 4 > voteTtl
        || reportInterval * 4 > leaseTtl) {
      throw new IllegalArgumentException("a dwell must outlast a share's life, and a life four rows");
    }
  }

  /** How long a zone that relapsed so often must be sound. */
  long returnDwell(int relapses) {
    return returnDwell << Math.min(relapses, MAX_RELAPSES);
  }

  /** A life as the side waits for it that must not be early, in milliseconds: clocks run apart. */
  public long withClockDrift(long duration) {
    return (long) Math.ceil(duration * (1 + 2 * maxClockDrift));
  }
}
