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
public record ZoneEvidence(int ready, int failing, int longFailing, int alive, int late, int failures, long span,
    boolean shut) {

  /** Independent servers that must fail before it is more than those servers: two, or three of a large zone. */
  static int enough(int ready) {
    return Math.max(2, Math.min(3, (ready + 1) / 2));
  }

  /** The same in one word. */
  public Seen seen(EvidenceSettings settings) {
    int enough = enough(ready);
    boolean spans = longFailing >= enough && span >= settings.blip() && failures >= settings.failures();
    if (spans && alive * 4 <= failing) {
      return Seen.UNREACHED;
    }
    if (alive == 0) {
      return Seen.UNKNOWN;
    }
    if (late * 2 >= alive && late >= Math.min(alive, enough)) {
      return Seen.LATE;
    }
    return failing > 0 ? Seen.PARTLY : Seen.REACHED;
  }
}
