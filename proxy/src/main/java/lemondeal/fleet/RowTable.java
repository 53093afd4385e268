package lemondeal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * The newest row of each owner. Never changes: merging makes a new table, and is commutative, associative and
 * idempotent. No more owners than the fleet names can be in it, as {@link Intake} lets no other in.
 */
public final class RowTable {
  public static final RowTable EMPTY = new RowTable(new TreeMap<>());

  private final TreeMap<String, TimedRow> rows;

  private RowTable(TreeMap<String, TimedRow> rows) {
    this.rows = rows;
  }

  /** This table with one more row, where it is newer than what is held of its owner. */
  public RowTable with(TimedRow row) {
    TimedRow existing = rows.get(row.row().owner());
    if (existing != null && existing.newerOf(row).equals(existing)) {
      return this;
    }
    TreeMap<String, TimedRow> merged = new TreeMap<>(rows);
    merged.put(row.row().owner(), row);
    return new RowTable(merged);
  }

  /** All that either has, the newer row of each owner. */
  public RowTable merge(RowTable other) {
    RowTable merged = this;
    for (TimedRow row : other.rows.values()) {
      merged = merged.with(row);
    }
    return merged;
  }

  /** The owner's row, or null; possibly older than its life. */
  public TimedRow rowOf(String owner) {
    return rows.get(owner);
  }

  /** The rows that are no older than {@code lifeMillis}, by owner: all others count as absent. */
  public List<TimedRow> liveRows(long nowMillis, long lifeMillis) {
    List<TimedRow> live = new ArrayList<>();
    for (TimedRow row : rows.values()) {
      if (row.ageMillis(nowMillis) <= lifeMillis) {
        live.add(row);
      }
    }
    return live;
  }

  /**
   * Without the rows that are older than this. An owner whose clock was set back before it started has a smaller
   * incarnation than before; it is heard again once its old row is forgotten.
   */
  public RowTable withoutOlderThan(long nowMillis, long maxAgeMillis) {
    TreeMap<String, TimedRow> remaining = new TreeMap<>(rows);
    remaining.values().removeIf(row -> row.ageMillis(nowMillis) > maxAgeMillis);
    return remaining.size() == rows.size() ? this : new RowTable(remaining);
  }

  Collection<TimedRow> all() {
    return rows.values();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RowTable table && rows.equals(table.rows);
  }

  @Override
  public int hashCode() {
    return rows.hashCode();
  }

  @Override
  public String toString() {
    return rows.toString();
  }
}
