package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.*;
import org.junit.jupiter.api.Test;

/** What the module still holds of requests that wait no more: nothing of them is to pile up. */
class LeaversTest {
  private static final long SECOND = 1_000_000;

  private final Node node = new Node();
  private final Moves moves = new Moves(node);
  private final Load load = new Load(node);
  private final Groups groups = new Groups(node, moves);
  private final Shedding shedding = new Shedding(node, moves, groups);
  private final Health health = new Health(node, moves, load, shedding);
  private final ColdAdmission cold = new ColdAdmission(node, load);
  private final ZoneAdmission zones = new ZoneAdmission(node, moves);
  private final Setups setups = new Setups(node);
  private final Requests requests = new Requests(node, load, health, groups, cold, setups,
      new Ranking(node, load, health, shedding, cold, zones), zones);

  /** One server, where so many requests wait for a set-up that none may start before another ends. */
  private void waiting(int count) {
    node.now = 1_000 * SECOND;
    node.out = new ArrayList<>();
    RequestClass c = new RequestClass(Effect.SAFE, RepeatScope.ALL, SECOND, SECOND, 3 * SECOND, 1, 100_000);
    node.start(new Start(7, new Settings(0, 1, 0, List.of(c), List.of(),
        new Rules(20_000, SECOND, 3, 2 * SECOND, 0.2, 10 * SECOND, 0),
        new Limits(3, true, false, false, false, true, SECOND, 100_000), new Prices(0, 0, 0, 0, 0),
        WeightMeaning.NOMINAL, false, false, false, false, false, 1)));
    groups.start();
    new Membership(node).serverList(new ServerList(1, ListKind.FULL,
        List.of(new ServerEntry("s0", 0, 0, 0, 0, ServerState.READY, 1))));
    while (setups.queue.size() < count) {
      String id = "r" + node.flows.size();
      requests.arrived(new Request(id, node.now + 3 * SECOND, 0, id, null, Double.NaN, false, false, 0, false));
    }
  }

  private void wakeAll() {
    for (long token : List.copyOf(node.held.keySet())) {
      requests.wake(token);
    }
  }

  @Test
  void whoLeavesTheQueueOfSetUpsIsInNoneAnyMore() {
    waiting(100);
    for (Flow flow : List.copyOf(setups.queue)) {
      requests.clientGone(flow.request.id());
    }
    assertEquals(0, setups.queue.size());
    wakeAll();
    assertEquals(0, node.held.size());
    assertTrue(node.flows.values().stream().allMatch(f -> f.outstanding));
  }

  @Test
  void whoseTimeIsUpInTheQueueOfSetUpsIsInNoneAnyMore() {
    waiting(100);
    node.now += 3 * SECOND;
    wakeAll();
    assertEquals(0, setups.queue.size());
    assertEquals(0, node.held.size());
  }
}
