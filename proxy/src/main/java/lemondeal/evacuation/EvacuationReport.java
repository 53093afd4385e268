package lemondeal.evacuation;

import java.util.List;
import java.util.Map;

/**
 * What one proxy tells of every zone.
 *
 * @param incarnation new with each start of the writer, above all earlier ones
 * @param beat grows with each row of an incarnation
 * @param remembers whether it knows all that it ever knew: others may then go by its word on what was decided
 * @param echo by the order of names, the stamp of the newest row that the writer holds of each; 0 for none
 */
record EvacuationReport(long incarnation, long sequence, boolean hasFullHistory, Map<Integer, ZoneStatus> zones, int[] echoes) {

  /**
   * What it tells of one zone.
   *
   * @param epoch the highest decided one that it knows: odd left the zone, even returned
   * @param votes whether it votes for the next one
   * @param wants thousandths of connections a second beyond its own share
   * @param loans of its share, to whom by place
   */
  record ZoneStatus(long epoch, boolean votesForNextEpoch, Reachability reachability, boolean fullyOpen, int relapses, int wantedMilliRate, List<Loan> loans) {
    /** What is taken for said of a zone that a row leaves out. */
    static final ZoneStatus NONE = new ZoneStatus(0, false, Reachability.UNKNOWN, false, 0, 0, List.of());
  }

  /** Thousandths of connections a second, lent to the proxy at this place. */
  record Loan(int borrower, int milliRate) {}

  ZoneStatus status(int zone) {
    return zones.getOrDefault(zone, ZoneStatus.NONE);
  }

  /** Tells the rows of all incarnations apart in 32 bits; 0 is no row's. */
  static int stamp(long incarnation, long sequence) {
    long mixed = (incarnation ^ incarnation >>> 29) * 0x9E3779B97F4A7C15L;
    int stamp = (int) (mixed >>> 32) + (int) sequence;
    return stamp == 0 ? 1 : stamp;
  }

  boolean isNewerThan(EvacuationReport other) {
    return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
  }
}
