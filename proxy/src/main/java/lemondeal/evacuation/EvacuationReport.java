package lemondeal.evacuation;

import java.util.List;
import java.util.Map;

/**
 * What one proxy reports about every zone.
 *
 * @param incarnation of the writer's process; greater than that of all earlier ones
 * @param sequence increases with each report of an incarnation
 * @param hasFullHistory whether the writer knows every decision that it ever knew, so that others may rely on its view
 *     of the decided epochs
 * @param echoes by member index, the stamp of the newest report that the writer holds; 0 for none
 */
record EvacuationReport(long incarnation, long sequence, boolean hasFullHistory, Map<Integer, ZoneStatus> zones,
    int[] echoes) {

  /**
   * What it reports about one zone.
   *
   * @param epoch the highest decided epoch that it knows: odd epochs evacuate the zone, even epochs return to it
   * @param votesForNextEpoch whether it votes for the next epoch
   * @param wantedMilliRate thousandths of connections a second that it wants beyond its own share
   * @param loans what it lends of its share
   */
  record ZoneStatus(long epoch, boolean votesForNextEpoch, Reachability reachability, boolean fullyOpen, int relapses,
      int wantedMilliRate, List<Loan> loans) {
    /** The status that is assumed for a zone that is missing from a report. */
    static final ZoneStatus NONE = new ZoneStatus(0, false, Reachability.UNKNOWN, false, 0, 0, List.of());
  }

  /** Thousandths of connections a second that are lent to the member with index {@code borrower}. */
  record Loan(int borrower, int milliRate) {}

  ZoneStatus status(int zone) {
    return zones.getOrDefault(zone, ZoneStatus.NONE);
  }

  /** Identifies a report across incarnations in 32 bits; 0 identifies none. */
  static int stamp(long incarnation, long sequence) {
    long mixed = (incarnation ^ incarnation >>> 29) * 0x9E3779B97F4A7C15L;
    int stamp = (int) (mixed >>> 32) + (int) sequence;
    return stamp == 0 ? 1 : stamp;
  }

  boolean isNewerThan(EvacuationReport other) {
    return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
  }
}
