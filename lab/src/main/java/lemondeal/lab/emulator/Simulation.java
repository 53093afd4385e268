package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;

/**
 * One run of a scenario with a policy and a seed, from the first arrival until the last final answer was due. Used by
 * one thread.
 */
public final class Simulation implements PolicyFactory.Oracle {
  /** The results of a run. */
  public record Result(Map<String, Double> figures, List<double[]> servedOverTime, List<Breach> breaches,
      Map<String, Integer> breachCounts, long digest, long eventCount) {}

  /** Stops a run because the policy threw an exception. */
  private static final class PolicyFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private final Scenario scenario;
  private final PolicyFactory policyFactory;
  private final long seed;
  private final EventScheduler scheduler = new EventScheduler();
  private final EventTrace trace = new EventTrace(scheduler);
  private final RandomStreams randomStreams;
  private final RuleCheckers checks;
  private final Figures figures;
  private final FrontEndBalancer frontEnd;
  private final SessionStore sessionStore;
  private final DiscoveryService discovery;
  private final List<ProxyNode> proxies = new ArrayList<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Set<Client> activeClients = new java.util.LinkedHashSet<>();
  private final long[] activeClientsByClass;
  private final Set<Integer> cutOffZones = new HashSet<>();
  private final UniformRandomProvider retryJitter;
  private final ContinuousSampler loadChangeGaps;
  private final ContinuousSampler setUpWorkFactors;
  private final List<ContinuousSampler> loadFactors = new ArrayList<>();
  private final List<ContinuousSampler> clientLoads = new ArrayList<>();
  private final List<ContinuousSampler> lifetimes = new ArrayList<>();
  private final ContinuousSampler arrivalGaps;
  private final IntSupplier classSampler;
  private final IntSupplier groupSampler;
  private final UniformRandomProvider zoneRandom;
  private long clientCount;
  private int replacementCount;

  public Simulation(Scenario scenario, PolicyFactory policyFactory, long seed) {
    this.scenario = scenario;
    this.policyFactory = policyFactory;
    this.seed = seed;
    randomStreams = new RandomStreams(seed);
    checks = new RuleCheckers(scheduler, trace, scenario);
    figures = new Figures(scenario);
    frontEnd = new FrontEndBalancer(this, randomStreams);
    sessionStore = new SessionStore(scheduler, scenario.store());
    discovery = new DiscoveryService(this);
    activeClientsByClass = new long[scenario.classes().size()];
    retryJitter = randomStreams.stream("retries");
    loadChangeGaps = randomStreams.exponential("swing gaps");
    setUpWorkFactors = randomStreams.exponential("set-up work");
    arrivalGaps = randomStreams.exponential("arrivals");
    zoneRandom = randomStreams.stream("zones");
    classSampler = randomStreams.weighted("classes",
        scenario.classes().stream().mapToDouble(Scenario.ClientClass::share).toArray());
    groupSampler = scenario.groupCount() > 0
        ? randomStreams.zipf("groups", scenario.groupCount(), scenario.groupSizeExponent()) : () -> -1;
    ContinuousSampler exponentialLifetimes = randomStreams.exponential("lives");
    for (Scenario.ClientClass clientClass : scenario.classes()) {
      clientLoads.add(randomStreams.logNormal("load of " + clientClass.name(), Math.max(1e-9, clientClass.load()),
          clientClass.loadSigma()));
      loadFactors.add(randomStreams.logNormal("swing of " + clientClass.name(), 1, clientClass.loadChangeSigma()));
      lifetimes.add(clientClass.lifetimeSigma() < 0 ? () -> clientClass.meanLifetime() * exponentialLifetimes.sample()
          : randomStreams.logNormal("life of " + clientClass.name(), clientClass.meanLifetime(),
              clientClass.lifetimeSigma()));
    }
    for (int poolIndex = 0; poolIndex < scenario.pools().size(); poolIndex++) {
      for (int i = 0; i < scenario.pools().get(poolIndex).count(); i++) {
        discovery.addInitial(addServer(scenario.pools().get(poolIndex).name() + "-" + (i + 1), poolIndex,
            servers.size() % scenario.zoneCount(), -1));
      }
    }
    for (int i = 0; i < scenario.proxyCount(); i++) {
      proxies.add(new ProxyNode(this, i, i % scenario.zoneCount()));
    }
  }

  private Server addServer(String name, int poolIndex, int zone, long startedAt) {
    Server server = new Server(scheduler, name, scenario.pools().get(poolIndex), poolIndex, zone, scenario.groupLoad(),
        scenario.classes().size(), startedAt);
    servers.put(name, server);
    return server;
  }

  // ---- Run --------------------------------------------------------------------------------------

  /** Runs the simulation to its end. */
  public Result run() {
    for (ProxyNode proxy : proxies) {
      scheduler.at(0, () -> proxy.start(discovery.currentList(ListKind.FULL)));
    }
    new FaultInjector(this, randomStreams).schedule(scenario.faults());
    scheduleArrival();
    scheduler.at(Figures.sampleInterval(), this::sampleFigures);
    scheduler.at(Scenario.SECOND, this::reportMessageDelays);
    long longestDeadline = scenario.classes().stream().mapToLong(Scenario.ClientClass::deadline).max().orElse(0);
    try {
      scheduler.runUntil(scenario.seconds() * Scenario.SECOND + longestDeadline + scenario.rules().answerSlack() + 1);
    } catch (PolicyFailedException e) {
      // Already recorded as a breach; the figures counted up to this time are kept.
    }
    return new Result(figures.byName(), figures.servedOverTime(), checks.breaches(), checks.counts(), trace.digest(),
        scheduler.executedCount());
  }

  private boolean arrivalsEnded() {
    return scheduler.now() > scenario.seconds() * Scenario.SECOND;
  }

  private void scheduleArrival() {
    double rate = scenario.clientsPerSecond();
    for (Scenario.Burst burst : scenario.bursts()) {
      if (scheduler.now() >= burst.startTime() && scheduler.now() < burst.startTime() + burst.duration()) {
        rate *= burst.factor();
      }
    }
    if (rate <= 0) {
      scheduler.after(Scenario.SECOND / 10, this::scheduleArrival);
      return;
    }
    scheduler.after((long) (arrivalGaps.sample() * Scenario.SECOND / rate), () -> {
      if (!arrivalsEnded()) {
        createClient();
        scheduleArrival();
      }
    });
  }

  private void createClient() {
    int classIndex = classSampler.getAsInt();
    Scenario.ClientClass clientClass = scenario.classes().get(classIndex);
    int group = groupSampler.getAsInt();
    double load = clientLoads.get(classIndex).sample();
    long lifetime = Math.max(1, (long) lifetimes.get(classIndex).sample());
    Client client = new Client(this, ++clientCount, classIndex, group, zoneRandom.nextInt(scenario.zoneCount()),
        clientClass.load() <= 0 ? 0 : load, scheduler.now() + lifetime);
    figures.clientArrived(classIndex);
    activeClientsByClass[classIndex]++;
    activeClients.add(client);
    client.requestConnection();
  }

  void clientLeft(Client client) {
    if (activeClients.remove(client)) {
      activeClientsByClass[client.classIndex()]--;
    }
  }

  private void sampleFigures() {
    if (!arrivalsEnded()) {
      figures.sample(scheduler, List.copyOf(servers.values()), activeClientsByClass);
      scheduler.after(Figures.sampleInterval(), this::sampleFigures);
    }
  }

  /**
   * Once a second, reports to each proxy the message delay of each slow server, on one of the proxy's connections to
   * it.
   */
  private void reportMessageDelays() {
    long shortestTarget = scenario.classes().stream().mapToLong(Scenario.ClientClass::messageLatencyTarget).min()
        .orElse(0);
    for (Server server : List.copyOf(servers.values())) {
      server.update();
      if (server.openConnections() > 0 && server.state() != Server.State.DEAD) {
        double millis = server.state() == Server.State.HUNG ? 10_000 : server.meanMessageMillis();
        boolean isLate = millis * 1000 > shortestTarget / 3.0;
        Set<ProxyNode> notifiedProxies = new HashSet<>();
        for (Connection connection : List.copyOf(server.connections())) {
          if (notifiedProxies.size() < proxies.size() && !connection.isEnded()
              && notifiedProxies.add(connection.proxy())) {
            connection.proxy().messageDelayMeasured(connection, millis, isLate);
          }
        }
      }
    }
    scheduler.after(Scenario.SECOND, this::reportMessageDelays);
  }

  /** Calls the policy. An exception from it ends the run with a breach that names the time and the event. */
  List<Action> decide(ProxyNode proxy, Balancer module, Event event) {
    try {
      List<Action> actions = module.on(scheduler.now(), event);
      for (Action action : actions) {
        if (action == null) {
          throw new IllegalStateException("an action that is null");
        }
      }
      return actions;
    } catch (RuntimeException e) {
      checks.breach("policy", "proxy-" + proxy.number(), "threw " + e + " at " + event);
      throw new PolicyFailedException();
    }
  }

  // ---- Access for the simulated components ------------------------------------------------------

  Scenario scenario() {
    return scenario;
  }

  PolicyFactory policyFactory() {
    return policyFactory;
  }

  EventScheduler scheduler() {
    return scheduler;
  }

  RuleCheckers checks() {
    return checks;
  }

  Figures figures() {
    return figures;
  }

  FrontEndBalancer frontEnd() {
    return frontEnd;
  }

  SessionStore sessionStore() {
    return sessionStore;
  }

  DiscoveryService discovery() {
    return discovery;
  }

  List<ProxyNode> proxies() {
    return proxies;
  }

  Map<String, Server> servers() {
    return servers;
  }

  Set<Client> activeClients() {
    return activeClients;
  }

  /** Null if no server has ever had this name. */
  Server server(String name) {
    return servers.get(name);
  }

  long latency(int fromZone, int toZone) {
    return fromZone == toZone ? scenario.network().delayInZone() : scenario.network().delayBetweenZones();
  }

  void setCutOff(int zone, boolean cutOff) {
    if (cutOff) {
      cutOffZones.add(zone);
    } else {
      cutOffZones.remove(zone);
    }
  }

  /** Whether messages from one zone reach the other. */
  boolean canReach(int fromZone, int toZone) {
    return fromZone == toZone || !cutOffZones.contains(fromZone) && !cutOffZones.contains(toZone);
  }

  double nextRetryJitter() {
    return retryJitter.nextDouble();
  }

  double nextLoadChangeGap() {
    return loadChangeGaps.sample();
  }

  double nextLoadFactor(int classIndex) {
    return loadFactors.get(classIndex).sample();
  }

  double nextSetUpWork(int classIndex) {
    Scenario.ClientClass clientClass = scenario.classes().get(classIndex);
    return clientClass.setUpWork() * (clientClass.exponentialSetUp() ? setUpWorkFactors.sample() : 1);
  }

  long moduleSeed(int proxyNumber, int incarnation) {
    return seed * 1_000_003 + proxyNumber * 1009L + incarnation;
  }

  /** Adds a cold server with a new name in the pool and zone of the replaced one. */
  Server addReplacement(Server replaced) {
    Server newServer = addServer(replaced.pool().name() + "-r" + ++replacementCount, replaced.poolIndex(),
        replaced.zone(), scheduler.now());
    discovery.publish(newServer, ServerState.READY);
    return newServer;
  }

  Balancer.Settings settings(int proxyNumber, int zone) {
    return SettingsFactory.create(scenario, proxyNumber, zone);
  }

  @Override
  public double utilization(String name) {
    Server server = servers.get(name);
    if (server == null) {
      return Double.POSITIVE_INFINITY;
    }
    server.update();
    return server.utilization() + server.backlogSeconds() + server.setUpsInProgress() * 0.01;
  }

  @Override
  public boolean acceptsSetUp(String name) {
    Server server = servers.get(name);
    return server != null && server.acceptsSetUp();
  }
}
