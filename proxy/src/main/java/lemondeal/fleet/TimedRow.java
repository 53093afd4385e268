package lemondeal.fleet;

import java.util.Arrays;

/**
 * A row with the moment of its making on this process's own clock.
 *
 * @param madeAt milliseconds of the holder's monotonic clock; the row is as old as that or younger
 */
public record TimedRow(MemberRow row, long createdAt) {

  /** Milliseconds since it was made, at most. */
  public long ageMillis(long nowMillis) {
    return nowMillis - createdAt;
  }

  /**
   * Whichever of two rows of one owner is kept. A total order decides, so that it does not matter who comes first: the
   * newer one; of one row held twice the older moment, which errs on the safe side; of two different rows with one
   * number, as only a liar tells them, the same one wherever they meet.
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
