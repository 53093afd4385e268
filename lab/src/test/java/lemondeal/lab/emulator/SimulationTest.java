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

/**
 * Whole runs: they are repeatable, the project's policy keeps the rules during every fault, and breaches are
 * detected.
 */
class SimulationTest {
  private static final long SECOND = Scenario.SECOND;

  private static Simulation.Result simulate(Scenario scenario, PolicyFactory policy, long seed) {
    return new Simulation(scenario, policy, seed).run();
  }

  private static Simulation.Result simulate(Scenario scenario, String policy, long seed) {
    return simulate(scenario, Policies.byName(policy), seed);
  }

  @Test
  void runsAreRepeatableBySeed() {
    Scenario scenario = Scenarios.site(20, new Fault(8 * SECOND, Fault.Kind.SLOW, 2, "large", 4, 5 * SECOND));
    for (String policy : Policies.names()) {
      Simulation.Result first = simulate(scenario, policy, 3);
      Simulation.Result second = simulate(scenario, policy, 3);
      assertEquals(first.digest(), second.digest(), policy);
      assertEquals(first.figures(), second.figures(), policy);
      assertEquals(first.eventCount(), second.eventCount(), policy);
      assertNotEquals(first.digest(), simulate(scenario, policy, 4).digest(), policy);
    }
  }

  /** Arrivals, lifetimes and loads have random streams of their own, which the policy's decisions do not affect. */
  @Test
  void allPoliciesGetTheSameClients() {
    Scenario scenario = Scenarios.site(20);
    double clients = simulate(scenario, "lemondeal", 5).figures().get("clients");
    for (String policy : Policies.names()) {
      assertEquals(clients, simulate(scenario, policy, 5).figures().get("clients"), policy);
    }
  }

  /** The project's own policy keeps every rule during each kind of fault, alone and with several faults at once. */
  @Test
  void lemondealKeepsAllRulesDuringEveryFault() {
    List<Fault> faults = List.of(new Fault(6 * SECOND, Fault.Kind.SLOW, 2, "large", 4, 4 * SECOND),
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
      Simulation.Result together = simulate(Scenarios.site(40, faults.toArray(Fault[]::new)), "lemondeal", seed);
      assertEquals(Map.of(), together.breachCounts(), together.breaches().toString());
      assertTrue(together.figures().get("served") > 0.6, together.figures().toString());
    }
    for (Fault fault : faults) {
      Simulation.Result alone = simulate(Scenarios.site(30, fault), "lemondeal", 7);
      assertEquals(Map.of(), alone.breachCounts(), fault + " " + alone.breaches());
      assertTrue(alone.figures().get("served") > 0.8, fault + " " + alone.figures());
    }
  }

  /** Without working servers or proxies the emulator reports no breach, and every request gets its answer. */
  @Test
  void runsEndWithoutWorkingServersOrProxies() {
    Simulation.Result withoutServers = simulate(
        Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.KILL, 0, "servers", 1, 0)), "lemondeal", 1);
    assertEquals(Map.of(), withoutServers.breachCounts(), withoutServers.breaches().toString());
    assertTrue(withoutServers.figures().get("served") < 0.3, "no server is left");
    Simulation.Result withSlowServers = simulate(
        Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.SLOW, 0, "servers", 20, 0)), "lemondeal", 1);
    assertEquals(Map.of(), withSlowServers.breachCounts(), withSlowServers.breaches().toString());
    Simulation.Result withoutProxies = simulate(
        Scenarios.site(20, new Fault(2 * SECOND, Fault.Kind.KILL, 0, "proxies", 1, 0)), "lemondeal", 1);
    assertEquals(Map.of(), withoutProxies.breachCounts(), withoutProxies.breaches().toString());
    Simulation.Result withoutClients = simulate(new Scenario(5, 0, 1, 1, List.of(Scenarios.pool("f", 1, 1)),
        List.of(Scenarios.chat(1)), 0, List.of(), 0, 0, 0, Scenarios.NETWORK, Scenarios.NO_STORE, Scenarios.DISCOVERY,
        Scenarios.FRONT_END, Scenarios.RULES, List.of()), "lemondeal", 1);
    assertEquals(0, withoutClients.figures().get("clients"));
  }

  // ---- Policies that break one rule each --------------------------------------------------------

  /** The random policy, which does not protect cold servers, with its actions changed so that they break a rule. */
  private abstract static class ManipulatedPolicy implements Balancer {
    private final Balancer module = Policies.byName("random").create(0, null);

    abstract void manipulate(long now, Event event, List<Action> actions);

    @Override
    public List<Action> on(long now, Event event) {
      List<Action> actions = new ArrayList<>(module.on(now, event));
      manipulate(now, event, actions);
      return actions;
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return module.serverSummary(now);
    }
  }

  private interface Manipulation {
    void manipulate(long now, Event event, List<Action> actions);
  }

  private static void assertBreachDetected(String rule, Scenario scenario, Manipulation manipulation) {
    Simulation.Result result = simulate(scenario, (proxyNumber, oracle) -> new ManipulatedPolicy() {
      @Override
      void manipulate(long now, Event event, List<Action> actions) {
        manipulation.manipulate(now, event, actions);
      }
    }, 2);
    assertTrue(result.breachCounts().containsKey(rule), rule + " in " + result.breachCounts());
    Breach firstBreach = result.breaches().stream().filter(breach -> breach.rule().equals(rule)).findFirst()
        .orElseThrow();
    assertTrue(firstBreach.time() > 0 && !firstBreach.subject().isEmpty(), firstBreach.toString());
  }

  @Test
  void eachRulesBreachIsDetectedWithItsTimeAndSubject() {
    Scenario withoutFaults = Scenarios.site(10);
    assertBreachDetected("one-final-answer", withoutFaults,
        (now, event, actions) -> actions.removeIf(action -> action instanceof Send));
    assertBreachDetected("one-final-answer", withoutFaults, (now, event, actions) -> {
      if (event instanceof Arrived arrived) {
        actions.add(new Refuse(arrived.request().id(), 0));
        actions.add(new Fail(arrived.request().id()));
      }
    });
    assertBreachDetected("one-attempt", withoutFaults, (now, event, actions) -> {
      for (Action action : List.copyOf(actions)) {
        if (action instanceof Send send) {
          actions.add(new Send(send.id(), send.server(), send.timeout()));
        }
      }
    });
    assertBreachDetected("known-servers", withoutFaults, (now, event, actions) -> actions.replaceAll(action ->
        action instanceof Send send ? new Send(send.id(), "nowhere-1", send.timeout()) : action));
    assertBreachDetected("policy", withoutFaults, (now, event, actions) -> {
      if (now > 3 * SECOND) {
        throw new IllegalStateException("broken");
      }
    });
    assertBreachDetected("policy", withoutFaults,
        (now, event, actions) -> actions.add(now > SECOND ? null : new Balancer.Log("not yet")));
    Fault drain = new Fault(3 * SECOND, Fault.Kind.DRAIN, 1, "large", 1, 6 * SECOND);
    String[] drainingServer = new String[1];
    assertBreachDetected("drain", Scenarios.site(10, drain), (now, event, actions) -> {
      if (event instanceof ServerList list && list.kind() == Balancer.ListKind.CHANGES) {
        list.entries().stream().filter(entry -> entry.state() == Balancer.ServerState.DRAINING)
            .forEach(entry -> drainingServer[0] = entry.server());
      }
      if (drainingServer[0] != null) {
        actions.replaceAll(action ->
            action instanceof Send send ? new Send(send.id(), drainingServer[0], send.timeout()) : action);
      }
    });
    Fault replace = new Fault(3 * SECOND, Fault.Kind.REPLACE, 1, "small", 1, SECOND);
    String[] coldServer = new String[1];
    assertBreachDetected("cold-start", Scenarios.site(10, replace), (now, event, actions) -> {
      if (event instanceof ServerList list) {
        list.entries().stream().filter(entry -> entry.server().contains("-r"))
            .forEach(entry -> coldServer[0] = entry.server());
      }
      if (coldServer[0] != null) {
        actions.replaceAll(action ->
            action instanceof Send send ? new Send(send.id(), coldServer[0], send.timeout()) : action);
      }
    });
  }

  /** A retry after the previous attempt has ended is allowed, so the checkers must report no breach. */
  @Test
  void sequentialAttemptsAreNoBreach() {
    Simulation.Result result = simulate(
        Scenarios.site(15, new Fault(4 * SECOND, Fault.Kind.KILL, 2, "large", 1, 0)), "random", 3);
    assertEquals(Map.of(), result.breachCounts(), result.breaches().toString());
    assertTrue(result.figures().get("sends-per-setup") > 1.01, "no attempt was repeated");
    assertTrue(result.figures().get("ended-no-connection") > 0);
  }
}
