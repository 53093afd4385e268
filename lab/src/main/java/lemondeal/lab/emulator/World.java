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

/** One run: a scenario, a policy and a seed, from the first arrival until all that is owed was due. One thread's. */
public final class World implements PolicyMaker.Truth {
  /** What a run brought. */
  public record Result(Map<String, Double> figures, List<double[]> course, List<Breach> breaches,
      Map<String, Integer> breachCounts, long digest, long events) {}

  /** Ends a run at once: the policy has failed. */
  private static final class PolicyFailed extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private final Scenario scenario;
  private final PolicyMaker policy;
  private final long seed;
  private final Agenda agenda = new Agenda();
  private final Trace trace = new Trace(agenda);
  private final Draws draws;
  private final Checks checks;
  private final Figures figures;
  private final Front front;
  private final SessionStore store;
  private final DiscoveryNode discovery;
  private final List<ProxyNode> proxies = new ArrayList<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Set<Client> present = new java.util.LinkedHashSet<>();
  private final long[] wanting;
  private final Set<Integer> cut = new HashSet<>();
  private final UniformRandomProvider retryDraws;
  private final ContinuousSampler swingGaps;
  private final ContinuousSampler setUpDraws;
  private final List<ContinuousSampler> swings = new ArrayList<>();
  private final List<ContinuousSampler> loads = new ArrayList<>();
  private final List<ContinuousSampler> lives = new ArrayList<>();
  private final ContinuousSampler arrivals;
  private final IntSupplier classDraws;
  private final IntSupplier groupDraws;
  private final UniformRandomProvider zoneDraws;
  private long clients;
  private int replacements;

  public World(Scenario scenario, PolicyMaker policy, long seed) {
    this.scenario = scenario;
    this.policy = policy;
    this.seed = seed;
    draws = new Draws(seed);
    checks = new Checks(agenda, trace, scenario);
    figures = new Figures(scenario);
    front = new Front(this, draws);
    store = new SessionStore(agenda, scenario.store());
    discovery = new DiscoveryNode(this);
    wanting = new long[scenario.classes().size()];
    retryDraws = draws.stream("retries");
    swingGaps = draws.exponential("swing gaps");
    setUpDraws = draws.exponential("set-up work");
    arrivals = draws.exponential("arrivals");
    zoneDraws = draws.stream("zones");
    classDraws = draws.weighted("classes", scenario.classes().stream().mapToDouble(Scenario.ClientClass::share).toArray());
    groupDraws = scenario.groups() > 0 ? draws.zipf("groups", scenario.groups(), scenario.groupZipf()) : () -> -1;
    ContinuousSampler withoutMemory = draws.exponential("lives");
    for (Scenario.ClientClass kind : scenario.classes()) {
      loads.add(draws.logNormal("load of " + kind.name(), Math.max(1e-9, kind.load()), kind.loadSigma()));
      swings.add(draws.logNormal("swing of " + kind.name(), 1, kind.swingSigma()));
      lives.add(kind.lifeSigma() < 0 ? () -> kind.life() * withoutMemory.sample()
          : draws.logNormal("life of " + kind.name(), kind.life(), kind.lifeSigma()));
    }
    for (int fleet = 0; fleet < scenario.fleets().size(); fleet++) {
      for (int i = 0; i < scenario.fleets().get(fleet).count(); i++) {
        discovery.begin(add(scenario.fleets().get(fleet).name() + "-" + (i + 1), fleet,
            servers.size() % scenario.zones(), -1));
      }
    }
    for (int i = 0; i < scenario.proxies(); i++) {
      proxies.add(new ProxyNode(this, i, i % scenario.zones()));
    }
  }

  private Server add(String name, int fleet, int zone, long startedAt) {
    Server server = new Server(agenda, name, scenario.fleets().get(fleet), fleet, zone, scenario.groupLoad(),
        scenario.classes().size(), startedAt);
    servers.put(name, server);
    return server;
  }

  // ---- The run ----------------------------------------------------------------------------------

  /** Plays it to the end. */
  public Result run() {
    for (ProxyNode proxy : proxies) {
      agenda.at(0, () -> proxy.start(discovery.list(ListKind.FULL)));
    }
    new FaultPlayer(this, draws).plan(scenario.faults());
    planArrival();
    agenda.at(Figures.sampleEvery(), this::sample);
    agenda.at(Scenario.SECOND, this::tellMessages);
    long longest = scenario.classes().stream().mapToLong(Scenario.ClientClass::deadline).max().orElse(0);
    try {
      agenda.runTo(scenario.seconds() * Scenario.SECOND + longest + scenario.rules().answerSlack() + 1);
    } catch (PolicyFailed e) {
      // Told as a breach where it happened; what was counted until then stands.
    }
    return new Result(figures.all(), figures.course(), checks.breaches(), checks.counts(), trace.digest(),
        agenda.happened());
  }

  private boolean isOver() {
    return agenda.now() > scenario.seconds() * Scenario.SECOND;
  }

  private void planArrival() {
    double rate = scenario.perSecond();
    for (Scenario.Burst burst : scenario.bursts()) {
      if (agenda.now() >= burst.at() && agenda.now() < burst.at() + burst.length()) {
        rate *= burst.factor();
      }
    }
    if (rate <= 0) {
      agenda.after(Scenario.SECOND / 10, this::planArrival);
      return;
    }
    agenda.after((long) (arrivals.sample() * Scenario.SECOND / rate), () -> {
      if (!isOver()) {
        arrive();
        planArrival();
      }
    });
  }

  private void arrive() {
    int classIndex = classDraws.getAsInt();
    Scenario.ClientClass kind = scenario.classes().get(classIndex);
    int group = groupDraws.getAsInt();
    double load = loads.get(classIndex).sample();
    long life = Math.max(1, (long) lives.get(classIndex).sample());
    Client client = new Client(this, ++clients, classIndex, group, zoneDraws.nextInt(scenario.zones()),
        kind.load() <= 0 ? 0 : load, agenda.now() + life);
    figures.client(classIndex);
    wanting[classIndex]++;
    present.add(client);
    client.come();
  }

  void clientLeft(Client client) {
    if (present.remove(client)) {
      wanting[client.classIndex()]--;
    }
  }

  private void sample() {
    if (!isOver()) {
      figures.sample(agenda, List.copyOf(servers.values()), wanting);
      agenda.after(Figures.sampleEvery(), this::sample);
    }
  }

  /** Once a second each proxy hears on one connection of each server how long messages take there, where that is long. */
  private void tellMessages() {
    long shortest = scenario.classes().stream().mapToLong(Scenario.ClientClass::messageAim).min().orElse(0);
    for (Server server : List.copyOf(servers.values())) {
      server.update();
      if (server.held() > 0 && server.state() != Server.State.DEAD) {
        double millis = server.state() == Server.State.HUNG ? 10_000 : server.messageMillis();
        boolean late = millis * 1000 > shortest / 3.0;
        Set<ProxyNode> told = new HashSet<>();
        for (Connection connection : List.copyOf(server.connections())) {
          if (told.size() < proxies.size() && !connection.isOver() && told.add(connection.proxy())) {
            connection.proxy().messages(connection, millis, late);
          }
        }
      }
    }
    agenda.after(Scenario.SECOND, this::tellMessages);
  }

  /** Asks the policy; what it throws ends the run with a breach that says when and at which event. */
  List<Action> decide(ProxyNode proxy, Balancer module, Event event) {
    try {
      List<Action> actions = module.on(agenda.now(), event);
      for (Action action : actions) {
        if (action == null) {
          throw new IllegalStateException("an action that is null");
        }
      }
      return actions;
    } catch (RuntimeException e) {
      checks.breach("policy", "proxy-" + proxy.number(), "threw " + e + " at " + event);
      throw new PolicyFailed();
    }
  }

  // ---- What the parts ask -----------------------------------------------------------------------

  Scenario scenario() {
    return scenario;
  }

  PolicyMaker policy() {
    return policy;
  }

  Agenda agenda() {
    return agenda;
  }

  Checks checks() {
    return checks;
  }

  Figures figures() {
    return figures;
  }

  Front front() {
    return front;
  }

  SessionStore store() {
    return store;
  }

  DiscoveryNode discovery() {
    return discovery;
  }

  List<ProxyNode> proxies() {
    return proxies;
  }

  Map<String, Server> servers() {
    return servers;
  }

  Set<Client> present() {
    return present;
  }

  /** Null where no server has had this name. */
  Server server(String name) {
    return servers.get(name);
  }

  long latency(int from, int to) {
    return from == to ? scenario.network().near() : scenario.network().far();
  }

  void cut(int zone, boolean off) {
    if (off) {
      cut.add(zone);
    } else {
      cut.remove(zone);
    }
  }

  /** Whether what one zone sends reaches the other. */
  boolean reaches(int from, int to) {
    return from == to || !cut.contains(from) && !cut.contains(to);
  }

  double retryDraw() {
    return retryDraws.nextDouble();
  }

  double swingGap() {
    return swingGaps.sample();
  }

  double swing(int classIndex) {
    return swings.get(classIndex).sample();
  }

  double setUpWork(int classIndex) {
    Scenario.ClientClass kind = scenario.classes().get(classIndex);
    return kind.setup() * (kind.setupWithoutMemory() ? setUpDraws.sample() : 1);
  }

  long seedOf(int node, int life) {
    return seed * 1_000_003 + node * 1009L + life;
  }

  /** A server in this one's place, with a name of its own, cold. */
  Server replacement(Server of) {
    Server fresh = add(of.fleet().name() + "-r" + ++replacements, of.model(), of.zone(), agenda.now());
    discovery.tell(fresh, ServerState.READY);
    return fresh;
  }

  Balancer.Settings settings(int node, int zone) {
    return SettingsMaker.of(scenario, node, zone);
  }

  @Override
  public double use(String name) {
    Server server = servers.get(name);
    if (server == null) {
      return Double.POSITIVE_INFINITY;
    }
    server.update();
    return server.use() + server.backlogSeconds() + server.queued() * 0.01;
  }

  @Override
  public boolean takes(String name) {
    Server server = servers.get(name);
    return server != null && server.hasRoom();
  }
}
