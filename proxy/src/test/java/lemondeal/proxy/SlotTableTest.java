package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SlotTableTest {
  private final SlotTable<String> table = new SlotTable<>(2);

  /** Guards against a stale handle reaching the slot's next holder. */
  @Test
  void aStaleHandleFindsNothing() {
    long first = table.add("first");
    table.remove(first);
    long second = table.add("second");
    assertNotEquals(first, second);
    assertNull(table.get(first));
    table.remove(first);
    assertEquals("second", table.get(second));
  }

  @Test
  void holdsAtMostItsCapacity() {
    table.add("first");
    table.add("second");
    assertTrue(table.isFull());
    assertThrows(IllegalStateException.class, () -> table.add("third"));
    assertEquals(List.of("first", "second"), table.all());
    assertNull(table.get(-1));
    assertNull(table.get(99));
  }
}
