package lemondeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Places for links that are kept. */
class LinkPoolTest {
  private final LinkPool pool = new LinkPool(2);
  private final List<String> given = new ArrayList<>();

  private LinkPool.Holder holder(String name) {
    return new LinkPool.Holder() {
      @Override
      public void giveUp() {
        given.add(name);
        pool.release(this);
      }
    };
  }

  @Test
  void theLinkIdleForTheLongestGoesForANewOne() {
    LinkPool.Holder first = holder("first");
    LinkPool.Holder second = holder("second");
    assertTrue(pool.take() && pool.take());
    pool.idle(first);
    pool.idle(second);
    pool.busy(first);
    pool.idle(first);
    assertTrue(pool.take());
    assertEquals(List.of("second"), given);
  }

  @Test
  void linksInUseStayAndThereIsNoPlaceBesideThem() {
    LinkPool.Holder first = holder("first");
    assertTrue(pool.take() && pool.take());
    pool.idle(first);
    pool.busy(first);
    assertFalse(pool.take());
    assertEquals(List.of(), given);
    pool.release(first);
    assertTrue(pool.take());
    assertFalse(pool.take());
  }
}
