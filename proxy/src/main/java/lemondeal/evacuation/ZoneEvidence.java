package lemondeal.evacuation;

/**
 * What {@link ZoneWatch} has of a zone at one moment.
 *
 * @param ready servers that the list calls ready
 * @param failing of them, that failed and have said nothing since
 * @param longFailing of the failing ones, that have done so for longer than a blip
 * @param alive of them, with a word within the last blip
 * @param late of the alive ones, that are late or turned work away
 * @param failures failures of the failing ones since their last words
 * @param span milliseconds from the failure that makes enough servers to the beginning of the newest one
 * @param shut whether every failing server refused connections outright: its host lives, it does not
 */
public record ZoneEvidence(int readyServers, int failing, int sustainedFailing, int responding, int late, int failures, long failureSpan,
    boolean allRefused) {

  /** Independent servers that must fail before it is more than those servers: two, or three of a large zone. */
  static int requiredFailing(int readyServers) {
    return Math.max(2, Math.min(3, (readyServers + 1) / 2));
  }

  /** The same in one word. */
  public Reachability reachability(EvidenceSettings settings) {
    int requiredFailing = requiredFailing(readyServers);
    boolean sustained = sustainedFailing >= requiredFailing && failureSpan >= settings.minOutage() && failures >= settings.minFailures();
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
