package lemondeal.lab.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerSummary;
import lemondeal.lab.emulator.policy.Policies;
import org.junit.jupiter.api.Test;

/** Whole runs: the same twice, through every fault, and each rule's breach caught. */
class WorldTest {
  private static final long SECOND = Scenario.SECOND;

  private static World.Result play(Scenario scenario, PolicyMaker policy, long seed) {
    return new World(scenario, policy, seed).run();
  }

  private static World.Result play(Scenario scenario, String policy, long seed) {
    return play(scenario, Policies.named(policy), seed);
  }

  @Test
  void oneSeedIsOneRunAndAnotherIsAnother() {
    Scenario scenario = Scenarios.site(20, new Fault(8 * SECOND, Fault.Kind.SLOW, 2, "large", 4, 5 * SECOND));
    for (String policy : Policies.names()) {
      World.Result one = play(scenario, policy, 3);
      World.Result again = play(scenario, policy, 3);
      assertEquals(one.digest(), again.digest(), policy);
      assertEquals(one.figures(), again.figures(), policy);
      assertEquals(one.events(), again.events(), policy);
      assertNotEquals(one.digest(), play(scenario, policy, 4).digest(), policy);
    }
  }

  /** Arrivals, lives and loads are draws of their own: what a policy does leaves them alone. */
  @Test
  void allPoliciesMeetTheSameClients() {
    Scenario scenario = Scenarios.site(20);
    double clients = play(scenario, "lemondeal", 5).figures().get("clients");
    for (String policy : Policies.names()) {
      assertEquals(clients, play(scenario, policy, 5).figures().get("clients"), policy);
    }
  }

  /** The project's own policy keeps every rule through every fault there is, some at once. */
  @Test
  void theOwnPolicyKeepsTheRulesThroughEveryFault() {
    List<Fault> all = List.of(new Fault(6 * SECOND, Fault.Kind.SLOW, 2, "large", 4, 4 * SECOND),
        new Fault(8 * SECOND, Fault.Kind.HANG, 1, "large", 1, 4 * SECOND),
        new Fault(10 * SECOND, Fault.Kind.KILL, 1, "small", 1, 2 * SECOND),
        new Fault(12 * SECOND, Fault.Kind.DRAIN, 1, "small", 1, 5 * SECOND),
        new Fault(14 * SECOND, Fault.Kind.REPLACE, 2, "servers", 1, 4 * SECOND),
        new Fault(16 * SECOND, Fault.Kind.CUT, 0, "", 1, 3 * SECOND),
        new Fault(18 * SECOND, Fault.Kind.KILL, 2, "proxies", 1, 2 * SECOND),
        new Fault(19 * SECOND, Fault.Kind.DISCOVERY, 0, "", 1, 3 * SECOND),
        new Fault(22 * SECOND, Fault.Kind.STORE, 0, "", 5, 2 * SECOND),
        new Fault(24 * SECOND, Fault.Kind.RECONNECT, 0, "clients", 0.5, 0));
    for (long seed = 1; seed <= 5; seed++) {
      World.Result together = play(Scenarios.site(40, all.toArray(Fault[]::new)), "lemondeal", seed);
      assertEquals(Map.of(), together.breachCounts(), together.breaches().toString());
      assertTrue(together.figures().get("served") > 0.6, together.figures().toString());
    }
    for (Fault fault : all) {
      World.Result alone = play(Scenarios.site(30, fault), "lemondeal", 7);
      assertEquals(Map.of(), alone.breachCounts(), fault + " " + alone.breaches());
      assertTrue(alone.figures().get("served") > 0.8, fault + " " + alone.figures());
    }
  }

  /** Days on which nothing can be done: none is a fault of the emulator's, and every request has its answer. */
  @Test
  void daysWithoutServersOrProxiesOrSoundServersEnd() {
    World.Result none = play(Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.KILL, 0, "servers", 1, 0)), "lemondeal", 1);
    assertEquals(Map.of(), none.breachCounts(), none.breaches().toString());
    assertTrue(none.figures().get("served") < 0.3, "nobody serves");
    World.Result slow = play(Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.SLOW, 0, "servers", 20, 0)), "lemondeal", 1);
    assertEquals(Map.of(), slow.breachCounts(), slow.breaches().toString());
    World.Result dead = play(Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.KILL, 0, "proxies", 1, 0)), "lemondeal", 1);
    assertEquals(Map.of(), dead.breachCounts(), dead.breaches().toString());
    World.Result nobody = play(new Scenario(5, 0, 1, 1, List.of(Scenarios.fleet("f", 1, 1)), List.of(Scenarios.chat(1)), 0,
        List.of(), 0, 0, 0, Scenarios.NETWORK, Scenarios.NO_STORE, Scenarios.DISCOVERY, Scenarios.FRONT, Scenarios.RULES,
        List.of()), "lemondeal", 1);
    assertEquals(0, nobody.figures().get("clients"));
  }

  // ---- Policies that break a rule each ----------------------------------------------------------

  /** Random choice, which spares nobody, with its answers changed on their way out. */
  private abstract static class Bent implements Balancer {
    private final Balancer module = Policies.named("random").make(0, null);

    abstract void bend(long now, Event event, List<Action> actions);

    @Override
    public List<Action> on(long now, Event event) {
      List<Action> actions = new ArrayList<>(module.on(now, event));
      bend(now, event, actions);
      return actions;
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return module.serverSummary(now);
    }
  }

  private interface Bending {
    void bend(long now, Event event, List<Action> actions);
  }

  private static void caught(String rule, Scenario scenario, Bending how) {
    World.Result result = play(scenario, (node, truth) -> new Bent() {
      @Override
      void bend(long now, Event event, List<Action> actions) {
        how.bend(now, event, actions);
      }
    }, 2);
    assertTrue(result.breachCounts().containsKey(rule), rule + " in " + result.breachCounts());
    Breach first = result.breaches().stream().filter(breach -> breach.rule().equals(rule)).findFirst().orElseThrow();
    assertTrue(first.at() > 0 && !first.subject().isEmpty(), first.toString());
  }

  @Test
  void eachRulesBreachIsCaughtWithItsTimeAndSubject() {
    Scenario calm = Scenarios.site(10);
    caught("one-final-answer", calm, (now, event, actions) -> actions.removeIf(action -> action instanceof Send));
    caught("one-final-answer", calm, (now, event, actions) -> {
      if (event instanceof Arrived a) {
        actions.add(new Refuse(a.request().id(), 0));
        actions.add(new Fail(a.request().id()));
      }
    });
    caught("one-attempt", calm, (now, event, actions) -> {
      for (Action action : List.copyOf(actions)) {
        if (action instanceof Send s) {
          actions.add(new Send(s.id(), s.server(), s.timeout()));
        }
      }
    });
    caught("known-servers", calm, (now, event, actions) -> actions.replaceAll(action ->
        action instanceof Send s ? new Send(s.id(), "nowhere-1", s.timeout()) : action));
    caught("policy", calm, (now, event, actions) -> {
      if (now > 3 * SECOND) {
        throw new IllegalStateException("broken");
      }
    });
    caught("policy", calm, (now, event, actions) -> actions.add(now > SECOND ? null : new Balancer.Log("not yet")));
    Fault drain = new Fault(3 * SECOND, Fault.Kind.DRAIN, 1, "large", 1, 6 * SECOND);
    String[] drained = new String[1];
    caught("drain", Scenarios.site(10, drain), (now, event, actions) -> {
      if (event instanceof ServerList list && list.kind() == Balancer.ListKind.CHANGES) {
        list.entries().stream().filter(entry -> entry.state() == Balancer.ServerState.DRAINING)
            .forEach(entry -> drained[0] = entry.server());
      }
      if (drained[0] != null) {
        actions.replaceAll(action -> action instanceof Send s ? new Send(s.id(), drained[0], s.timeout()) : action);
      }
    });
    Fault replace = new Fault(3 * SECOND, Fault.Kind.REPLACE, 1, "small", 1, SECOND);
    String[] cold = new String[1];
    caught("cold-start", Scenarios.site(10, replace), (now, event, actions) -> {
      if (event instanceof ServerList list) {
        list.entries().stream().filter(entry -> entry.server().contains("-r"))
            .forEach(entry -> cold[0] = entry.server());
      }
      if (cold[0] != null) {
        actions.replaceAll(action -> action instanceof Send s ? new Send(s.id(), cold[0], s.timeout()) : action);
      }
    });
  }

  /** A retry while the attempt before has ended is none: the checkers do not cry over what is allowed. */
  @Test
  void attemptsOneAfterTheOtherAreNoBreach() {
    World.Result result = play(Scenarios.site(15, new Fault(4 * SECOND, Fault.Kind.KILL, 2, "large", 1, 0)), "random", 3);
    assertEquals(Map.of(), result.breachCounts(), result.breaches().toString());
    assertTrue(result.figures().get("sends-per-setup") > 1.01, "some were sent again");
    assertTrue(result.figures().get("ended-no-connection") > 0);
  }
}
