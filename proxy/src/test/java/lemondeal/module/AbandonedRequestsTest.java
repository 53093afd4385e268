package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.*;
import org.junit.jupiter.api.Test;

/** The module must keep no state of requests whose client has left or whose time is up. */
class AbandonedRequestsTest {
  private static final long SECOND = 1_000_000;

  private final NodeState node = new NodeState();
  private final ConnectionMover mover = new ConnectionMover(node);
  private final LoadEstimator load = new LoadEstimator(node);
  private final GroupShedding groupShedding = new GroupShedding(node, mover);
  private final ServerShedding serverShedding = new ServerShedding(node, mover, groupShedding);
  private final Health health = new Health(node, mover, load, serverShedding);
  private final SlowStart slowStart = new SlowStart(node, load);
  private final ZoneAdmission zoneAdmission = new ZoneAdmission(node, mover);
  private final SetupLimiter setupLimiter = new SetupLimiter(node);
  private final RequestLifecycle requestLifecycle = new RequestLifecycle(node, load, health, groupShedding, slowStart,
      setupLimiter, new Ranking(node, load, health, serverShedding, slowStart, zoneAdmission), zoneAdmission);

  /** One server, with requests queued for a set-up: none may start before another one ends. */
  private void queueRequests(int count) {
    node.now = 1_000 * SECOND;
    node.actions = new ArrayList<>();
    RequestClass requestClass =
        new RequestClass(Idempotency.SAFE, DedupScope.ALL, SECOND, SECOND, 3 * SECOND, 1, 100_000);
    node.start(new Start(7, new Settings(0, 1, 0, List.of(requestClass), List.of(),
        new Rules(20_000, SECOND, 3, 2 * SECOND, 0.2, 10 * SECOND, 0),
        new Limits(3, true, false, false, false, true, SECOND, 100_000), new Prices(0, 0, 0, 0, 0),
        WeightMeaning.NOMINAL, false, false, false, false, false, 1)));
    groupShedding.start();
    new Membership(node).applyList(new ServerList(1, ListKind.FULL,
        List.of(new ServerEntry("s0", 0, 0, 0, 0, ServerState.READY, 1))));
    while (setupLimiter.queue.size() < count) {
      String id = "r" + node.requests.size();
      requestLifecycle.arrived(new Request(id, node.now + 3 * SECOND, 0, id, null, Double.NaN, false, false, 0, false));
    }
  }

  private void wakeAll() {
    for (long token : List.copyOf(node.waitingRequests.keySet())) {
      requestLifecycle.wakeUp(token);
    }
  }

  @Test
  void aClientThatLeavesTheSetUpQueueIsForgotten() {
    queueRequests(100);
    for (RequestState request : List.copyOf(setupLimiter.queue)) {
      requestLifecycle.clientGone(request.details.id());
    }
    assertEquals(0, setupLimiter.queue.size());
    wakeAll();
    assertEquals(0, node.waitingRequests.size());
    assertTrue(node.requests.values().stream().allMatch(f -> f.attemptInFlight));
  }

  @Test
  void aRequestThatExpiresInTheSetUpQueueIsForgotten() {
    queueRequests(100);
    node.now += 3 * SECOND;
    wakeAll();
    assertEquals(0, setupLimiter.queue.size());
    assertEquals(0, node.waitingRequests.size());
  }
}
