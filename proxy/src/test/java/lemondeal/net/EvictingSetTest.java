package lemondeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Whoever is sent away may change the set and its bound meanwhile. */
class EvictingSetTest {
  private int most;
  private int depth;
  private int deepest;
  private final List<Integer> gone = new ArrayList<>();
  private Runnable meanwhile = () -> { };
  private final EvictingSet<Integer> set = new EvictingSet<>(() -> most, member -> {
    deepest = Math.max(deepest, ++depth);
    gone.add(member);
    meanwhile.run();
    depth--;
  });

  private void enter(int members) {
    IntStream.range(0, members).forEach(set::enter);
  }

  /** A client link made of one that is sent away takes a slot, and so the bound falls by two. */
  @Test
  void whoIsSentAwayOnTheWayOutDoesNotSendOthersFromWithin() {
    most = 100_000;
    enter(100_000);
    meanwhile = () -> {
      most -= 2;
      set.trim();
    };
    set.enter(100_000);
    assertEquals(1, deepest);
    assertTrue(set.isEmpty());
    assertEquals(IntStream.rangeClosed(0, 100_000).boxed().toList(), gone);
  }

  @Test
  void whoeverEntersMeanwhileIsSeenToAsWell() {
    most = 3;
    enter(3);
    meanwhile = () -> {
      if (gone.size() < 5) {
        set.enter(10 + gone.size());
      }
    };
    set.enter(3);
    assertEquals(1, deepest);
    assertEquals(List.of(0, 1, 2, 3, 11), gone, "the oldest first");
  }

  @Test
  void whoeverLeavesMeanwhileIsNotSentAway() {
    most = 3;
    enter(3);
    meanwhile = () -> set.leave(1);
    most = 1;
    set.trim();
    assertEquals(List.of(0), gone);
  }

  @Test
  void aFailureOnTheWayOutStopsNoLaterTrim() {
    most = 1;
    enter(1);
    meanwhile = () -> {
      throw new IllegalStateException("fails");
    };
    assertThrows(IllegalStateException.class, () -> set.enter(1));
    meanwhile = () -> { };
    set.enter(2);
    assertEquals(List.of(0, 1), gone);
  }
}
