package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import lemondeal.Balancer.*;
import org.junit.jupiter.api.Test;

/**
 * What all nodes together send to servers that start cold, in virtual time: traffic is uneven, clients return in
 * bursts, nodes restart without state. The budget N follows from the servers' true capacity, which no node knows.
 */
class ColdServerBudgetTest {
  private static final long SECOND = 1_000_000;
  private static final long COLD_START = 20 * SECOND; // when the cold servers start, with the others in a steady state
  private static final long END = 30 * SECOND;
  private static final double CAPACITY = 40; // connections whose load fills a server of weight 1
  private static final double MEAN_LIFETIME_SECONDS = 25; // of a connection
  private static final double UTILIZATION = 0.5; // share of the warm servers' capacity that clients use
  private static final long REPORT_INTERVAL = 300_000; // longest time between two refreshes of a server's report
  private static final Rules RULES = new Rules(20_000, SECOND, 4, 2 * SECOND, 0.35, 9 * SECOND, 0);

  private record ScheduledEvent(long at, long order, Runnable action) {}

  /** Nodes with a module each, their servers and their clients. */
  private static final class ColdFleetSimulation {
    final int nodes;
    final boolean probes;
    final SplittableRandom random;
    final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>((a, b) -> a.at != b.at
        ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    final DecisionModule[] modules;
    final int[] incarnations;
    final double[] requestRates;
    final Map<String, Long> startedAt = new LinkedHashMap<>();
    final Map<String, Integer> openConnections = new HashMap<>();
    final Map<String, Integer> reportedConnections = new HashMap<>();
    final Map<String, Long> reportedAt = new HashMap<>();
    boolean staleReports;
    final Map<String, List<Long>> sendTimes = new HashMap<>();
    final Map<String, String> groupByRequest = new HashMap<>();
    final List<Map<String, int[]>> attemptCounts = new ArrayList<>();
    final List<Map<String, String>> openRequests = new ArrayList<>();
    long now;
    long eventCount;
    int requestCount;
    int servedCount;

    ColdFleetSimulation(int nodes, int warm, boolean probes, long seed) {
      this.nodes = nodes;
      this.probes = probes;
      random = new SplittableRandom(seed);
      modules = new DecisionModule[nodes];
      incarnations = new int[nodes];
      requestRates = new double[nodes];
      for (int s = 0; s < warm; s++) {
        startedAt.put("warm" + s, 0L);
      }
      for (int n = 0; n < nodes; n++) {
        attemptCounts.add(new HashMap<>());
        openRequests.add(new LinkedHashMap<>());
        // One node gets several times the mean, half of the nodes very little.
        requestRates[n] = n == 0 ? 5 : n % 2 == 0 ? 1 : 0.2;
        start(n);
      }
      double sum = 0;
      for (double rate : requestRates) {
        sum += rate;
      }
      double perSecond = warm * CAPACITY * UTILIZATION / MEAN_LIFETIME_SECONDS;
      for (int n = 0; n < nodes; n++) {
        requestRates[n] *= perSecond / sum;
        scheduleArrivals(n);
      }
    }

    void schedule(long time, Runnable action) {
      queue.add(new ScheduledEvent(time, eventCount++, action));
    }

    void run() {
      while (!queue.isEmpty() && queue.peek().at <= END) {
        ScheduledEvent next = queue.poll();
        now = next.at;
        next.action.run();
      }
    }

    /** Starts a process without state: it gets the settings, its own seed and the list. */
    void start(int node) {
      modules[node] = new DecisionModule();
      RequestClass requestClass =
          new RequestClass(Idempotency.SAFE, DedupScope.ALL, SECOND, SECOND, 2 * SECOND, 1, 100_000);
      handle(node, new Start(random.nextLong(), new Settings(node, nodes, 0, List.of(requestClass), List.of(), RULES,
          new Limits(3, true, probes, false, false, true, SECOND, 100_000), new Prices(0, 0, 0, 0, 0),
          WeightMeaning.NOMINAL, false, true, false, probes, false, 1)));
      sendServerList(node);
    }

    private void sendServerList(int node) {
      List<ServerEntry> entries = new ArrayList<>();
      startedAt.forEach((s, at) -> entries.add(new ServerEntry(s, 0, 0, 0, at, ServerState.READY, 1)));
      handle(node, new ServerList(1, ListKind.FULL, entries));
    }

    /** Restarts a process; its clients return a moment later, also through other nodes. */
    void restart(int node) {
      incarnations[node]++;
      openRequests.get(node).forEach((id, server) -> {
        openConnections.merge(server, -1, Integer::sum);
        String group = groupByRequest.get(id);
        schedule(now + 50_000 + random.nextLong(SECOND / 2), () -> arrive(random.nextInt(nodes), group));
      });
      openRequests.get(node).clear();
      attemptCounts.get(node).clear();
      start(node);
    }

    void startColdServers(int count) {
      for (int s = 0; s < count; s++) {
        startedAt.put("cold" + s, now);
      }
      for (int n = 0; n < nodes; n++) {
        int node = n;
        schedule(now + random.nextLong(SECOND), () -> sendServerList(node));
      }
    }

    private void scheduleArrivals(int node) {
      double wait = -Math.log(1 - random.nextDouble()) / requestRates[node];
      schedule(now + 1 + (long) (wait * SECOND), () -> {
        arrive(node, "g" + random.nextInt(1000));
        scheduleArrivals(node);
      });
    }

    /** A burst of clients within a second, to each node in proportion to its traffic, of groups that rank a cold
     * server first, as with a large group, or when the clients of a zone return with it. */
    void burst(double share) {
      List<String> groups = new ArrayList<>();
      for (int g = 0; groups.size() < 5; g++) {
        if (topRanked("g" + g).startsWith("cold")) {
          groups.add("g" + g);
        }
      }
      for (int n = 0; n < nodes; n++) {
        int node = n;
        for (int i = 0; i < Math.max(share > 0 ? 1 : 0, requestRates[n] * MEAN_LIFETIME_SECONDS * share); i++) {
          schedule(now + random.nextLong(SECOND), () -> arrive(node, groups.get(random.nextInt(groups.size()))));
        }
      }
    }

    private String topRanked(String group) {
      return startedAt.keySet().stream().max(Comparator.comparingDouble(s ->
          Rendezvous.score(Rendezvous.hash(group), Rendezvous.hash(s), 1))).orElseThrow();
    }

    private void arrive(int node, String group) {
      String id = "r" + requestCount++;
      groupByRequest.put(id, group);
      attemptCounts.get(node).put(id, new int[1]);
      handle(node, new Arrived(new Request(id, now + 2 * SECOND, 0, id, group, Double.NaN, false, false, 0, false)));
    }

    private void handle(int node, Event event) {
      for (Action action : modules[node].on(now, event)) {
        if (action instanceof WakeAfter w) {
          scheduleForNode(node, w.delay(), () -> handle(node, new Wake(w.token())));
        } else if (action instanceof Probe p) {
          scheduleForNode(node, 1_000,
              () -> handle(node, new ProbeResult(p.server(), Outcome.SERVED, 1_000, report(p.server()))));
        } else if (action instanceof Send s) {
          sendTimes.computeIfAbsent(s.server(), k -> new ArrayList<>()).add(now);
          int attempt = attemptCounts.get(node).get(s.id())[0]++;
          scheduleForNode(node, 5_000, () -> connectionEstablished(node, s, attempt));
        } else if (action instanceof Refuse || action instanceof Fail) {
          String id = action instanceof Refuse r ? r.id() : ((Fail) action).id();
          schedule(now + SECOND / 2, () -> arrive(node, groupByRequest.get(id)));
        }
      }
    }

    private void scheduleForNode(int node, long delay, Runnable action) {
      int incarnation = incarnations[node];
      schedule(now + delay, () -> {
        if (incarnations[node] == incarnation) {
          action.run();
        }
      });
    }

    private void connectionEstablished(int node, Send send, int attempt) {
      servedCount++;
      openConnections.merge(send.server(), 1, Integer::sum);
      openRequests.get(node).put(send.id(), send.server());
      handle(node, new Established(send.id(), attempt, send.server(), 5_000));
      scheduleForNode(node, 1 + (long) (-Math.log(1 - random.nextDouble()) * MEAN_LIFETIME_SECONDS * SECOND), () -> {
        openRequests.get(node).remove(send.id());
        openConnections.merge(send.server(), -1, Integer::sum);
        handle(node, new Ended(send.id(), attempt, send.server(), Outcome.SERVED, 1, true, null));
      });
    }

    /** A server's report is as old as its last refresh. */
    private LoadReport report(String server) {
      if (now - reportedAt.getOrDefault(server, -REPORT_INTERVAL) >= REPORT_INTERVAL) {
        reportedAt.put(server, now);
        reportedConnections.put(server, openConnections.getOrDefault(server, 0));
      }
      int connections = staleReports ? reportedConnections.get(server) : openConnections.getOrDefault(server, 0);
      double noise = 0.85 + 0.3 * random.nextDouble();
      return new LoadReport(noise * connections / (CAPACITY * capacityShare(now - startedAt.get(server))), Double.NaN,
          connections, Double.NaN, Double.NaN);
    }

    private double capacityShare(long age) {
      return Math.min(1, RULES.coldCapacityShare() + (1 - RULES.coldCapacityShare()) * age / RULES.warmUpTime());
    }

    /** Requests that the server can take in the window from this time on: multiple x present capacity x window. */
    double budget(String server, long from) {
      double rate = CAPACITY / RULES.warmUpTime();
      double meanCapacityShare = capacityShare(from - startedAt.get(server) + RULES.overloadWindow() / 2);
      return RULES.overloadMultiple() * rate * meanCapacityShare * RULES.overloadWindow();
    }

    List<Long> sendsTo(String server) {
      return sendTimes.getOrDefault(server, List.of());
    }

    /** In no window of the rules' length, whenever it begins, may the sends exceed N by more than chance explains. */
    void assertBudgetKept(String description) {
      for (String server : startedAt.keySet()) {
        List<Long> times = sendsTo(server);
        int last = 0;
        for (int first = 0; server.startsWith("cold") && first < times.size(); first++) {
          while (last < times.size() && times.get(last) - times.get(first) < RULES.overloadWindow()) {
            last++;
          }
          double maxSends = budget(server, times.get(first));
          assertTrue(last - first <= maxSends + 2 * Math.sqrt(maxSends) + 2,
              description + ": " + server + " got " + (last - first)
              + " in a window, " + (times.get(first) - COLD_START) / 1000 + " ms after its start; N is " + maxSends);
        }
      }
    }
  }

  private static final int[] NODE_COUNTS = {2, 3, 20, 30, 100};

  private static String describe(int nodes, int cold, boolean probes) {
    return nodes + " nodes, " + cold + " cold, " + (probes ? "with reports" : "without reports");
  }

  /** Runs a simulation in which cold servers start, with bursts once a second beside the usual traffic. */
  private static ColdFleetSimulation simulate(int nodes, int cold, boolean probes, int bursts, double restartedShare,
      long... restartTimes) {
    ColdFleetSimulation simulation = new ColdFleetSimulation(nodes, nodes < 10 ? 6 : 20, probes, nodes * 100L + cold);
    simulation.schedule(COLD_START, () -> simulation.startColdServers(cold));
    for (int r = 0; r < bursts; r++) {
      simulation.schedule(COLD_START + r * SECOND, () -> simulation.burst(1.0 / bursts));
    }
    for (long after : restartTimes) {
      simulation.schedule(COLD_START + after, () -> {
        for (int n = 0; n < (int) (nodes * restartedShare); n++) {
          simulation.restart(n);
        }
      });
    }
    simulation.run();
    return simulation;
  }

  /** A share of the nodes restarts, once in the middle of the first burst and once after it. */
  private static List<ColdFleetSimulation> runAndCheckBudget(int bursts, double restartedShare, boolean probes) {
    List<ColdFleetSimulation> simulations = new ArrayList<>();
    for (int nodes : NODE_COUNTS) {
      for (int cold : new int[] {1, 5}) {
        ColdFleetSimulation simulation = simulate(nodes, cold, probes, bursts, restartedShare, 700_000, 3 * SECOND);
        simulation.assertBudgetKept(describe(nodes, cold, probes));
        simulations.add(simulation);
      }
    }
    return simulations;
  }

  @Test
  void aBurstKeepsToTheBudget() {
    runAndCheckBudget(1, 0, true);
    runAndCheckBudget(1, 0, false);
  }

  @Test
  void aBurstWhileNodesRestartKeepsToTheBudget() {
    runAndCheckBudget(1, 0.7, true);
    runAndCheckBudget(1, 0.7, false);
  }

  /** No node knows what others sent since the last refresh of a server's report. */
  @Test
  void aBurstKeepsToTheBudgetWithStaleReports() {
    for (int nodes : NODE_COUNTS) {
      for (int cold : new int[] {1, 5}) {
        ColdFleetSimulation simulation = new ColdFleetSimulation(nodes, nodes < 10 ? 6 : 20, true, nodes * 100L + cold);
        simulation.staleReports = true;
        simulation.schedule(COLD_START, () -> simulation.startColdServers(cold));
        simulation.schedule(COLD_START, () -> simulation.burst(1));
        simulation.run();
        simulation.assertBudgetKept(describe(nodes, cold, true) + " that are stale");
      }
    }
  }

  /** The previous process may have used the allowance of the present window. */
  @Test
  void aProcessThatJustStartedMaySendNothing() {
    ColdFleetSimulation simulation = new ColdFleetSimulation(3, 1, false, 7);
    simulation.now = COLD_START;
    simulation.startedAt.put("cold0", COLD_START - 8 * SECOND);
    simulation.startedAt.remove("warm0");
    for (int n = 0; n < 3; n++) {
      simulation.restart(n);
      simulation.arrive(n, "g");
    }
    assertEquals(List.of(), simulation.sendsTo("cold0"));
  }

  @Test
  void nodesThatRestartRepeatedlyKeepToTheBudget() {
    for (int nodes : NODE_COUNTS) {
      ColdFleetSimulation simulation =
          simulate(nodes, 1, true, 1, 1, 300_000, 600_000, 900_000, 1_200_000, 1_500_000, 1_800_000);
      simulation.assertBudgetKept(describe(nodes, 1, true) + ", all restart six times");
    }
  }

  /** Sustained demand over the whole warm-up fills the servers about as fast as they can be filled. */
  @Test
  void sustainedLoadKeepsToTheBudgetAndUsesIt() {
    for (boolean probes : new boolean[] {true, false}) {
      for (ColdFleetSimulation simulation : runAndCheckBudget(9, 0.1, probes)) {
        double connectionsToFill = CAPACITY * (1 + RULES.coldCapacityShare()) / 2;
        // Without reports a node estimates the capacity by its open connections, and so sees only the part in use.
        double knownCapacityShare = probes ? 1 : UTILIZATION;
        List<String> cold = simulation.startedAt.keySet().stream().filter(s -> s.startsWith("cold")).toList();
        long sent = cold.stream().flatMap(s -> simulation.sendsTo(s).stream())
            .filter(at -> at < COLD_START + RULES.warmUpTime()).count();
        assertTrue(sent >= 0.4 * knownCapacityShare * connectionsToFill * cold.size(),
            describe(simulation.nodes, cold.size(), probes) + ": " + sent
            + " sent in the warm-up, " + connectionsToFill + " fill each server");
      }
    }
  }
}
