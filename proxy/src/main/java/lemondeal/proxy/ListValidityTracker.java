package lemondeal.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import lemondeal.Balancer.ListValidity;

/** What one module has been told of the time until which it may use its lists. */
final class ListValidityTracker {
  private final IntFunction<ListValidity> validity;
  private final List<ListValidity> toldByPool = new ArrayList<>();

  /**
   * @param poolCount the number of server pools
   * @param validity the present validity of a pool's list
   */
  ListValidityTracker(int poolCount, IntFunction<ListValidity> validity) {
    this.validity = validity;
    for (int pool = 0; pool < poolCount; pool++) {
      toldByPool.add(new ListValidity(pool, ListValidity.UNLIMITED, false, 0));
    }
  }

  /** What has changed since the last call; the module must be told of it. */
  List<ListValidity> changes() {
    List<ListValidity> changes = List.of();
    for (int pool = 0; pool < toldByPool.size(); pool++) {
      ListValidity current = validity.apply(pool);
      if (!current.equals(toldByPool.get(pool))) {
        toldByPool.set(pool, current);
        changes = changes.isEmpty() ? new ArrayList<>() : changes;
        changes.add(current);
      }
    }
    return changes;
  }
}
