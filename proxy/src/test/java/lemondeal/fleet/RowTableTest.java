package lemondeal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * The laws of merging, and the expiry of rows. The values are from small ranges, so that rows often have equal keys.
 */
class RowTableTest {

  @Provide
  Arbitrary<RowTable> tables() {
    Arbitrary<TimedRow> rows = Combinators.combine(Arbitraries.of("a", "b", "c"), Arbitraries.longs().between(1, 3),
        Arbitraries.longs().between(1, 3), Arbitraries.longs().between(0, 2), Arbitraries.integers().between(0, 2),
        Arbitraries.longs().between(-2, 2)).as((owner, incarnation, sequence, age, content, createdAt) -> new TimedRow(
            new MemberRow(owner, incarnation, sequence, age, new byte[] {(byte) (int) content}), createdAt));
    return rows.list().ofMaxSize(6).map(RowTableTest::table);
  }

  private static RowTable table(List<TimedRow> rows) {
    RowTable table = RowTable.EMPTY;
    for (TimedRow row : rows) {
      table = table.with(row);
    }
    return table;
  }

  @Property(seed = "24")
  void mergingIsCommutative(@ForAll("tables") RowTable first, @ForAll("tables") RowTable second) {
    assertEquals(first.merge(second), second.merge(first));
  }

  @Property(seed = "24")
  void mergingIsAssociative(@ForAll("tables") RowTable first, @ForAll("tables") RowTable second,
      @ForAll("tables") RowTable third) {
    assertEquals(first.merge(second).merge(third), first.merge(second.merge(third)));
  }

  @Property(seed = "24")
  void mergingIsIdempotent(@ForAll("tables") RowTable first, @ForAll("tables") RowTable second) {
    assertEquals(first, first.merge(first));
    assertEquals(first.merge(second), first.merge(second).merge(second));
  }

  @Test
  void newIncarnationSupersedesAnySequenceOfTheOldOne() {
    TimedRow before = row(1, 900, 0);
    TimedRow after = row(2, 1, 0);
    assertSame(after, table(List.of(after, before)).rowOf("a"));
    assertSame(after, table(List.of(before, after)).rowOf("a"));
  }

  @Test
  void expiredRowIsAbsentAndLaterForgotten() {
    RowTable table = table(List.of(row(2, 1, 100)));
    assertEquals(1, table.liveRows(300, 200).size());
    assertEquals(0, table.liveRows(301, 200).size());
    assertSame(table, table.withoutOlderThan(400, 300));
    // An owner that restarted with its clock set back is accepted once its old row has been removed.
    RowTable forgotten = table.withoutOlderThan(401, 300);
    assertNull(forgotten.rowOf("a"));
    assertEquals(1, forgotten.with(row(1, 1, 400)).rowOf("a").row().incarnation());
  }

  private static TimedRow row(long incarnation, long sequence, long createdAt) {
    return new TimedRow(new MemberRow("a", incarnation, sequence, 0, new byte[0]), createdAt);
  }
}
