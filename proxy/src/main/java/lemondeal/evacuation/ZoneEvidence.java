package lemondeal.evacuation;

/**
 * A snapshot of what {@link ZoneHealthTracker} has observed of a zone.
 *
 * @param readyServers servers that the server list marks as ready
 * @param failing ready servers that failed and have not responded since
 * @param sustainedFailing failing servers that have been failing for at least the minimum outage
 * @param responding ready servers that responded within the last minimum outage
 * @param late responding servers that are late or refuse work because of load
 * @param failures failures of the failing servers since their last responses
 * @param failureSpan milliseconds from when the required number of servers was failing to the start of the newest
 *     failure
 * @param allRefused whether every failing server refused connections outright: its host is up, but its process is not
 */
public record ZoneEvidence(int readyServers, int failing, int sustainedFailing, int responding, int late, int failures,
    long failureSpan, boolean allRefused) {

  /**
   * Number of independent servers that must fail before a failure of the zone is assumed: two, or three in a large
   * zone.
   */
  static int requiredFailing(int readyServers) {
    return Math.max(2, Math.min(3, (readyServers + 1) / 2));
  }

  /** Summarizes the evidence. */
  public Reachability reachability(EvidenceSettings settings) {
    int requiredFailing = requiredFailing(readyServers);
    boolean sustained = sustainedFailing >= requiredFailing && failureSpan >= settings.minOutage()
        && failures >= settings.minFailures();
    if (sustained && responding * 4 <= failing) {
      return Reachability.UNREACHED;
    }
    if (responding == 0) {
      return Reachability.UNKNOWN;
    }
    if (late * 2 >= responding && late >= Math.min(responding, requiredFailing)) {
      return Reachability.LATE;
    }
    return failing > 0 ? Reachability.PARTLY : Reachability.REACHED;
  }
}
