package lemondeal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * The newest row of each owner. Immutable: merging returns a new table and is commutative, associative and idempotent.
 * The table has at most one row for each configured member, as {@link MessageValidator} accepts no other owner.
 */
public final class RowTable {
  public static final RowTable EMPTY = new RowTable(new TreeMap<>());

  private final TreeMap<String, TimedRow> rows;

  private RowTable(TreeMap<String, TimedRow> rows) {
    this.rows = rows;
  }

  /** This table with the row added, if it is newer than the one held for its owner. */
  public RowTable with(TimedRow row) {
    TimedRow existing = rows.get(row.row().owner());
    if (existing != null && existing.newerOf(row).equals(existing)) {
      return this;
    }
    TreeMap<String, TimedRow> merged = new TreeMap<>(rows);
    merged.put(row.row().owner(), row);
    return new RowTable(merged);
  }

  /** Both tables combined, with the newer row of each owner. */
  public RowTable merge(RowTable other) {
    RowTable merged = this;
    for (TimedRow row : other.rows.values()) {
      merged = merged.with(row);
    }
    return merged;
  }

  /** The owner's row, or null; it may have expired. */
  public TimedRow rowOf(String owner) {
    return rows.get(owner);
  }

  /** The rows that are no older than {@code ttlMillis}, ordered by owner; all other members count as absent. */
  public List<TimedRow> liveRows(long nowMillis, long ttlMillis) {
    List<TimedRow> live = new ArrayList<>();
    for (TimedRow row : rows.values()) {
      if (row.ageMillis(nowMillis) <= ttlMillis) {
        live.add(row);
      }
    }
    return live;
  }

  /**
   * This table without rows older than {@code maxAgeMillis}. An owner whose clock was set back before it started has a
   * smaller incarnation than before; its rows are accepted again once its old row has been removed.
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
