package lemondeal.fleet;

import java.util.Arrays;

/**
 * A row with its creation time on this process's own clock.
 *
 * @param createdAt milliseconds of the holder's monotonic clock; the row is at most as old as this indicates
 */
public record TimedRow(MemberRow row, long createdAt) {

  /** Upper bound of the milliseconds since it was created. */
  public long ageMillis(long nowMillis) {
    return nowMillis - createdAt;
  }

  /**
   * Selects which of two rows of one owner to keep. The order is total, so the result does not depend on the order of
   * arrival: the newer row is kept; if both are the same row, the one with the earlier creation time, which is the safe
   * choice; if they are different rows with the same sequence number, which only a faulty or malicious sender produces,
   * the same one at every proxy.
   */
  TimedRow newerOf(TimedRow other) {
    int order = row.compareVersion(other.row);
    if (order == 0) {
      order = Long.compare(other.createdAt, createdAt);
    }
    if (order == 0) {
      order = Arrays.compare(row.content(), other.row.content());
    }
    if (order == 0) {
      order = Long.compare(row.ageMillis(), other.row.ageMillis());
    }
    return order >= 0 ? this : other;
  }
}
