package lemondeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Evictions during which the set and its bound change. */
class EvictingSetTest {
  private int maxSize;
  private int depth;
  private int maxDepth;
  private final List<Integer> evicted = new ArrayList<>();
  private Runnable onEviction = () -> { };
  private final EvictingSet<Integer> set = new EvictingSet<>(() -> maxSize, member -> {
    maxDepth = Math.max(maxDepth, ++depth);
    evicted.add(member);
    onEviction.run();
    depth--;
  });

  private void addMembers(int members) {
    IntStream.range(0, members).forEach(set::add);
  }

  /** An evicted connection can become a client link, which takes a slot and lowers the bound by two. */
  @Test
  void trimDuringEvictionDoesNotRecurse() {
    maxSize = 100_000;
    addMembers(100_000);
    onEviction = () -> {
      maxSize -= 2;
      set.trim();
    };
    set.add(100_000);
    assertEquals(1, maxDepth);
    assertTrue(set.isEmpty());
    assertEquals(IntStream.rangeClosed(0, 100_000).boxed().toList(), evicted);
  }

  @Test
  void membersAddedDuringEvictionAreCounted() {
    maxSize = 3;
    addMembers(3);
    onEviction = () -> {
      if (evicted.size() < 5) {
        set.add(10 + evicted.size());
      }
    };
    set.add(3);
    assertEquals(1, maxDepth);
    assertEquals(List.of(0, 1, 2, 3, 11), evicted, "the oldest is evicted first");
  }

  @Test
  void membersRemovedDuringEvictionAreNotEvicted() {
    maxSize = 3;
    addMembers(3);
    onEviction = () -> set.remove(1);
    maxSize = 1;
    set.trim();
    assertEquals(List.of(0), evicted);
  }

  @Test
  void aFailedEvictionDoesNotBlockLaterTrims() {
    maxSize = 1;
    addMembers(1);
    onEviction = () -> {
      throw new IllegalStateException("fails");
    };
    assertThrows(IllegalStateException.class, () -> set.add(1));
    onEviction = () -> { };
    set.add(2);
    assertEquals(List.of(0, 1), evicted);
  }
}
