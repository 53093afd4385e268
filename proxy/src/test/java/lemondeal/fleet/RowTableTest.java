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

/** The laws of merging, and what counts as absent. Small numbers, so that rows meet often. */
class RowTableTest {

  @Provide
  Arbitrary<RowTable> tables() {
    Arbitrary<HeldRow> rows = Combinators.combine(Arbitraries.of("a", "b", "c"), Arbitraries.longs().between(1, 3),
        Arbitraries.longs().between(1, 3), Arbitraries.longs().between(0, 2), Arbitraries.integers().between(0, 2),
        Arbitraries.longs().between(-2, 2)).as((owner, incarnation, sequence, age, content, madeAt) -> new HeldRow(
            new Row(owner, incarnation, sequence, age, new byte[] {(byte) (int) content}), madeAt));
    return rows.list().ofMaxSize(6).map(RowTableTest::table);
  }

  private static RowTable table(List<HeldRow> rows) {
    RowTable table = RowTable.EMPTY;
    for (HeldRow row : rows) {
      table = table.with(row);
    }
    return table;
  }

  @Property(seed = "24")
  void mergingIsCommutative(@ForAll("tables") RowTable a, @ForAll("tables") RowTable b) {
    assertEquals(a.merge(b), b.merge(a));
  }

  @Property(seed = "24")
  void mergingIsAssociative(@ForAll("tables") RowTable a, @ForAll("tables") RowTable b, @ForAll("tables") RowTable c) {
    assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
  }

  @Property(seed = "24")
  void mergingTwiceIsMergingOnce(@ForAll("tables") RowTable a, @ForAll("tables") RowTable b) {
    assertEquals(a, a.merge(a));
    assertEquals(a.merge(b), a.merge(b).merge(b));
  }

  @Test
  void aNewIncarnationGoesBeforeAnyNumberOfTheOldOne() {
    HeldRow before = row(1, 900, 0);
    HeldRow after = row(2, 1, 0);
    assertSame(after, table(List.of(after, before)).of("a"));
    assertSame(after, table(List.of(before, after)).of("a"));
  }

  @Test
  void aRowOlderThanItsLifeIsAbsentAndIsForgottenLater() {
    RowTable table = table(List.of(row(2, 1, 100)));
    assertEquals(1, table.alive(300, 200).size());
    assertEquals(0, table.alive(301, 200).size());
    assertSame(table, table.without(400, 300));
    // Whoever started with its clock set back is heard once the old row is forgotten.
    RowTable forgotten = table.without(401, 300);
    assertNull(forgotten.of("a"));
    assertEquals(1, forgotten.with(row(1, 1, 400)).of("a").row().incarnation());
  }

  private static HeldRow row(long incarnation, long sequence, long madeAt) {
    return new HeldRow(new Row("a", incarnation, sequence, 0, new byte[0]), madeAt);
  }
}
