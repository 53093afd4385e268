package lemondeal.evacuation;

import java.util.Optional;

/**
 * The newest row of every named proxy, and how fresh each is for certain. A row's age as the transport tells it may be
 * wrong by whatever delayed, replayed or kept the row. So rows echo stamps: one that echoes ours was written after ours
 * was, by our own clock alone.
 */
final class Hearing {
  private static final long NEVER = Long.MIN_VALUE / 4;
  /** Own rows remembered: more than the longest life at the shortest pace. */
  private static final int OWN_ROWS = 256;

  private final Named named;
  private final Row[] rows;
  private final long[] writtenAfter;
  private final int[] ownStamps = new int[OWN_ROWS];
  private final long[] ownTimes = new long[OWN_ROWS];
  private final int fleet;
  private int own;
  private long ignored;
  private long foreign;

  Hearing(Named named) {
    this.named = named;
    rows = new Row[named.size()];
    writtenAfter = new long[named.size()];
    java.util.Arrays.fill(writtenAfter, NEVER);
    fleet = named.digest();
  }

  /** Takes a row in; rows that say nothing new are left, and unusable ones counted. */
  void hear(String owner, byte[] content) {
    int place = named.place(owner);
    if (place < 0 || place == named.self()) {
      foreign += place < 0 ? 1 : 0;
      return;
    }
    Optional<Row> read = RowCodec.read(content, fleet, named.size());
    if (read.isEmpty()) {
      ignored++;
      return;
    }
    Row row = read.get();
    if (rows[place] == null || row.newerThan(rows[place])) {
      rows[place] = row;
      writtenAfter[place] = ownTime(row.echo()[named.self()]);
    }
  }

  private long ownTime(int stamp) {
    for (int i = 0; i < OWN_ROWS && stamp != 0; i++) {
      if (ownStamps[i] == stamp) {
        return ownTimes[i];
      }
    }
    return NEVER;
  }

  /** The own next row, written now. */
  byte[] write(long incarnation, long beat, boolean remembers, java.util.Map<Integer, Row.Word> zones, long now) {
    int[] echo = new int[rows.length];
    for (int i = 0; i < rows.length; i++) {
      echo[i] = rows[i] == null ? 0 : Row.stamp(rows[i].incarnation(), rows[i].beat());
    }
    ownStamps[own] = Row.stamp(incarnation, beat);
    ownTimes[own] = now;
    own = (own + 1) % OWN_ROWS;
    return RowCodec.write(new Row(incarnation, beat, remembers, zones, echo), fleet);
  }

  /** The newest row of the proxy at this place; null where none came. */
  Row row(int place) {
    return rows[place];
  }

  /** Whether that row was written within the last {@code life} milliseconds for certain. */
  boolean fresh(int place, long life, long now) {
    return rows[place] != null && now - writtenAfter[place] <= life;
  }

  /** Others that have answered within that time and forgot nothing. */
  int answered(long life, long now) {
    int fresh = 0;
    for (int i = 0; i < rows.length; i++) {
      fresh += i != named.self() && fresh(i, life, now) && rows[i].remembers() ? 1 : 0;
    }
    return fresh;
  }

  /** Rows that could not be used, and rows of owners that nobody named. */
  long ignored() {
    return ignored + foreign;
  }
}
