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

  private final TreeMap<String, HeldRow> rows;

  private RowTable(TreeMap<String, HeldRow> rows) {
    this.rows = rows;
  }

  /** This table with one more row, where it is newer than what is held of its owner. */
  public RowTable with(HeldRow row) {
    HeldRow held = rows.get(row.row().owner());
    if (held != null && held.or(row).equals(held)) {
      return this;
    }
    TreeMap<String, HeldRow> merged = new TreeMap<>(rows);
    merged.put(row.row().owner(), row);
    return new RowTable(merged);
  }

  /** All that either has, the newer row of each owner. */
  public RowTable merge(RowTable other) {
    RowTable merged = this;
    for (HeldRow row : other.rows.values()) {
      merged = merged.with(row);
    }
    return merged;
  }

  /** The owner's row, or null; possibly older than its life. */
  public HeldRow of(String owner) {
    return rows.get(owner);
  }

  /** The rows that are no older than {@code lifeMillis}, by owner: all others count as absent. */
  public List<HeldRow> alive(long nowMillis, long lifeMillis) {
    List<HeldRow> alive = new ArrayList<>();
    for (HeldRow row : rows.values()) {
      if (row.ageMillis(nowMillis) <= lifeMillis) {
        alive.add(row);
      }
    }
    return alive;
  }

  /**
   * Without the rows that are older than this. An owner whose clock was set back before it started has a smaller
   * incarnation than before; it is heard again once its old row is forgotten.
   */
  public RowTable without(long nowMillis, long olderThanMillis) {
    TreeMap<String, HeldRow> kept = new TreeMap<>(rows);
    kept.values().removeIf(row -> row.ageMillis(nowMillis) > olderThanMillis);
    return kept.size() == rows.size() ? this : new RowTable(kept);
  }

  Collection<HeldRow> all() {
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
