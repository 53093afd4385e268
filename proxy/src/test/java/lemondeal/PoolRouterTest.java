package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.module.DecisionModule;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Classes with separate servers: no request leaves its class's pool, and no state of a finished request is kept. */
class PoolRouterTest {
  private static final long SECOND = 1_000_000;

  private static Balancer.Settings settings() {
    Balancer.RequestClass requestClass =
        new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL, 0, 500_000, 2 * SECOND, 1, 0);
    return new Balancer.Settings(0, 1, 0, List.of(requestClass, requestClass, requestClass), List.of(),
        new Balancer.Rules(20_000, SECOND, 4, 2 * SECOND, 0.35, 9 * SECOND, 0),
        new Balancer.Limits(3, true, true, false, false, true, 2 * SECOND, SECOND),
        new Balancer.Prices(0.03, 0.2, 0.002, 0, 0.01), Balancer.WeightMeaning.NONE, true, false, true, false, false,
        1);
  }

  private static ServerEntry server(String name, ServerState state) {
    return new ServerEntry(name, 0, 0, 0, 0, state, 1);
  }

  /** Classes 0 and 2 have pool 0, class 1 has pool 1. */
  private static PoolRouter startedRouter() {
    PoolRouter router = new PoolRouter(List.of(new DecisionModule(), new DecisionModule()), new int[] {0, 1, 0});
    router.on(0, new Start(7, settings()));
    return router;
  }

  private static ServerList list(int pool, ListKind kind, ServerState state, String... names) {
    List<ServerEntry> entries = new ArrayList<>();
    for (String name : names) {
      entries.add(server(name, state));
    }
    return new ServerList(1, kind, entries, pool);
  }

  private static Request request(String id, int requestClass, long now) {
    return new Request(id, now + 2 * SECOND, requestClass, id, null, Double.NaN, false, false, 0, false);
  }

  @Example
  void theSummaryCoversAllPools() {
    PoolRouter router = startedRouter();
    router.on(1, list(0, ListKind.FULL, ServerState.READY, "a1", "a2"));
    assertFalse(router.serverSummary(2).listReceived(), "the other pool has no list yet");
    router.on(2, list(1, ListKind.FULL, ServerState.READY, "b1"));
    assertTrue(router.serverSummary(3).listReceived());
    assertEquals(3, router.serverSummary(3).known());
    router.on(4, list(0, ListKind.CHANGES, ServerState.GONE, "a1"));
    assertEquals(2, router.serverSummary(4).known());
    assertEquals(List.of(), router.on(5, new ProbeResult("a1", Outcome.SERVED, 1, null)), "of a removed server");
  }

  @Example
  void aPoolWithoutServersDoesNotAffectTheOthers() {
    PoolRouter router = startedRouter();
    router.on(1, list(0, ListKind.FULL, ServerState.READY, "a1"));
    router.on(1, list(1, ListKind.FULL, ServerState.READY));
    assertTrue(router.on(2, new Arrived(request("r0", 0, 2))).stream().anyMatch(action -> action instanceof Send));
    assertFalse(router.on(3, new Arrived(request("r1", 1, 3))).stream().anyMatch(action -> action instanceof Send));
  }

  /** Guards against one service's old list ending the requests of all classes. */
  @Example
  void anExpiredListOfOnePoolDoesNotAffectTheOthers() {
    PoolRouter router = startedRouter();
    router.on(1, list(0, ListKind.FULL, ServerState.READY, "a1"));
    router.on(1, list(1, ListKind.FULL, ServerState.READY, "b1"));
    router.on(2, new Balancer.ListValidity(1, 3, false, 0));
    assertTrue(router.on(4, new Arrived(request("r0", 0, 4))).stream().anyMatch(action -> action instanceof Send));
    assertFalse(router.on(5, new Arrived(request("r1", 1, 5))).stream().anyMatch(action -> action instanceof Send));
  }

  private static Send sent(List<Action> actions) {
    return (Send) actions.stream().filter(action -> action instanceof Send).findFirst().orElseThrow();
  }

  /** A client leaves during its second attempt: the module must still get the end of that attempt. */
  @Example
  void aRequestIsTrackedWhileAnAttemptIsInFlight() {
    PoolRouter router = startedRouter();
    router.on(1, list(0, ListKind.FULL, ServerState.READY, "a1", "a2"));
    Send first = sent(router.on(2, new Arrived(request("r", 0, 2))));
    Send second = sent(router.on(3, new Ended("r", 0, first.server(), Outcome.NO_CONNECTION, 1, false, null)));
    router.on(4, new ClientGone("r"));
    assertEquals(1, router.trackedRequests());
    router.on(5, new Ended("r", 1, second.server(), Outcome.CANCELLED, 1, true, null));
    assertEquals(0, router.trackedRequests());
  }

  /** A router with the attempts in flight, the pending wake-ups and the class of each request. */
  private static final class RouterHarness {
    private final PoolRouter router = startedRouter();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Send> attempts = new HashMap<>();
    private final List<Long> wakeUps = new ArrayList<>();
    private long now = 1;

    void handle(Event event) {
      for (Action action : router.on(now, event)) {
        if (action instanceof Send a) {
          assertEquals(classes.get(a.id()) == 1 ? 'b' : 'a', a.server().charAt(0), "class " + classes.get(a.id()));
          attempts.put(a.id(), a);
        } else if (action instanceof WakeAfter a) {
          wakeUps.add(a.token());
        } else if (action instanceof Probe a) {
          handle(new ProbeResult(a.server(), Outcome.SERVED, 1, null));
        }
      }
    }

    void end(Random random, Outcome outcome, boolean requestFinished) {
      String id = List.copyOf(attempts.keySet()).get(random.nextInt(attempts.size()));
      handle(new Ended(id, 0, attempts.remove(id).server(), outcome, 1000,
          requestFinished || outcome == Outcome.SERVED, null));
    }
  }

  /** Random traffic, outcomes of every kind, clients that leave: sends stay in their pool, wake-ups reach theirs. */
  @Property(seed = "31", tries = 200)
  void noRequestLeavesItsPoolAndNothingIsKept(@ForAll long seed) {
    Random random = new Random(seed);
    RouterHarness harness = new RouterHarness();
    harness.handle(list(0, ListKind.FULL, ServerState.READY, "a1", "a2", "a3"));
    harness.handle(list(1, ListKind.FULL, ServerState.READY, "b1", "b2", "b3"));
    for (int step = 0; step < 300; step++) {
      harness.now += random.nextInt(50_000);
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> {
          String id = "r" + step;
          harness.classes.put(id, random.nextInt(3));
          harness.handle(new Arrived(request(id, harness.classes.get(id), harness.now)));
        }
        case 3 -> harness.handle(list(random.nextInt(2), ListKind.CHANGES, ServerState.READY));
        case 4 -> harness.handle(new ClientGone("r" + random.nextInt(step + 1)));
        case 5 -> {
          if (!harness.wakeUps.isEmpty()) {
            harness.handle(new Wake(harness.wakeUps.remove(0)));
          }
        }
        default -> {
          if (!harness.attempts.isEmpty()) {
            harness.end(random, Outcome.values()[random.nextInt(Outcome.values().length)], random.nextInt(3) == 0);
          }
        }
      }
    }
    harness.now += 100 * SECOND;
    for (int turn = 0; turn < 2000 && harness.router.trackedRequests() > 0; turn++) {
      if (!harness.attempts.isEmpty()) {
        harness.end(random, Outcome.SERVED, true);
      } else if (!harness.wakeUps.isEmpty()) {
        harness.handle(new Wake(harness.wakeUps.remove(0)));
      }
    }
    assertEquals(0, harness.router.trackedRequests(), "tracked after all requests have ended");
  }
}
