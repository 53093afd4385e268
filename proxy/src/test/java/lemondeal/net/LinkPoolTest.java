package lemondeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits on links that are kept open. */
class LinkPoolTest {
  private final LinkPool pool = new LinkPool(2);
  private final List<String> evicted = new ArrayList<>();

  private LinkPool.Holder holder(String name) {
    return new LinkPool.Holder() {
      @Override
      public void evict() {
        evicted.add(name);
        pool.release(this);
      }
    };
  }

  @Test
  void theLongestIdleLinkIsEvictedForANewOne() {
    LinkPool.Holder first = holder("first");
    LinkPool.Holder second = holder("second");
    assertTrue(pool.acquire() && pool.acquire());
    pool.markIdle(first);
    pool.markIdle(second);
    pool.markBusy(first);
    pool.markIdle(first);
    assertTrue(pool.acquire());
    assertEquals(List.of("second"), evicted);
  }

  @Test
  void busyLinksAreNotEvicted() {
    LinkPool.Holder first = holder("first");
    assertTrue(pool.acquire() && pool.acquire());
    pool.markIdle(first);
    pool.markBusy(first);
    assertFalse(pool.acquire());
    assertEquals(List.of(), evicted);
    pool.release(first);
    assertTrue(pool.acquire());
    assertFalse(pool.acquire());
  }
}
