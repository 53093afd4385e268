package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.CloseIdle;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Log;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.ServerSummary;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.ListSource;
import lemondeal.discovery.clock.ListClock;
import lemondeal.figures.RequestCounters;
import lemondeal.log.EventLog;
import lemondeal.net.Net;
import lemondeal.resume.SessionContinuity;

/**
 * The requests that began while one version of the settings was in force, and all that depends on these settings: the
 * module that decides on them with what it has learnt, its probes, its measurements and its counters. A request ends
 * under the settings that it began with; everything is released once the last request has ended.
 */
final class Generation {

  /** What all generations of a proxy share. */
  record SharedServices(Net net, TimerWheel wheel, ActiveRequests requests, ListSource.Factory sourceFactory,
      EventLog log, String name, StartTimes startTimes, ViolationCounter violations, RequestTrace trace,
      Function<OpenLine, SessionContinuity> continuityFactory) {}

  private final Generations generations;
  private final SharedServices shared;
  /** The configuration without its list of servers. */
  private final Config config;
  /** Null once this generation was dropped. */
  private Balancer module;
  private final HostGroup group;
  private final EventDispatcher dispatcher;
  private final ListSource source;
  private final RequestCounters counters;
  private final Context context;
  private final KnownServers servers;
  private final Map<String, Prober> probers = new HashMap<>();
  /** The clients that are still served, once newer settings are in force; this generation gets no others any more. */
  private final Set<ClientLink> remainingClients = new HashSet<>();
  /** Whether it started with a list: one saved before the process's start is then ignored. */
  private boolean startedWithList;
  /** Whether its own source has delivered a list since the start. */
  private boolean listDelivered;
  /** The validity, by pool, of the list that it took over from an earlier generation; empty if there is none. */
  private List<ListClock.Validity> inheritedValidity = List.of();
  /** The configuration's server list in discovery's form, until this generation has started: it is large. */
  private Map<String, Object> configuredList;
  /** Fingerprint of that list, which shows whether newer settings bring another one. */
  private final long configuredListFingerprint;
  private boolean dropped;

  Generation(Generations generations, SharedServices shared, Config config, Balancer module, RequestCounters counters) {
    this.generations = generations;
    this.shared = shared;
    this.config = config.withoutKnownServers();
    configuredList = config.knownServers();
    configuredListFingerprint = config.knownServersFingerprint();
    this.module = module;
    this.counters = counters;
    group = new HostGroup(config.names());
    servers = new KnownServers(config.names(), shared.wheel()::now);
    source = shared.sourceFactory().create(shared.net(), shared.wheel(), config.limits(), config, group,
        list -> generations.listReceived(this, list));
    ListValidityTracker listValidity = new ListValidityTracker(source.poolCount(), generations::listValidity);
    dispatcher = new EventDispatcher(module, shared.wheel()::now, listValidity::changes, this::perform);
    DelayMeter delayMeter = new DelayMeter(config.settings(), config.limits(), dispatcher::dispatch);
    context = new Context(generations, this.config, shared.net(), shared.wheel(), dispatcher, delayMeter, counters,
        new FinalAnswer(counters, shared.trace()), servers, shared.violations(), shared.trace(),
        shared.continuityFactory());
  }

  Config config() {
    return config;
  }

  Context context() {
    return context;
  }

  HostGroup group() {
    return group;
  }

  RequestCounters counters() {
    return counters;
  }

  ServerSummary serverSummary() {
    return module.serverSummary(shared.wheel().now());
  }

  void dispatch(Event event) {
    dispatcher.dispatch(event);
  }

  // ---- Start and end -------------------------------------------------------------------------

  /** Starts the first generation of a process: it has the list of the configuration. */
  void start(long seed) throws ProtocolException {
    configuredList = Map.of();
    dispatcher.dispatch(new Start(seed, config.settings()));
    source.savedLists().forEach(this::applyOwnList);
  }

  /**
   * Starts with the list that the previous generation holds, unless the new configuration brings another one: that of
   * another fleet, for instance, at another discovery service.
   *
   * @throws ProtocolException if the new list can't be parsed: nothing has been started then
   */
  void startAfter(Generation previous, long seed) throws ProtocolException {
    ServerList configured = group.applySaved(configuredList);
    configuredList = Map.of();
    boolean sameList = configuredListFingerprint == previous.configuredListFingerprint
        || configured.entries().isEmpty();
    if (sameList && previous.servers.serverIds().isEmpty()) {
      start(seed);
      return;
    }
    if (config.discovery().equals(previous.config.discovery())) {
      inheritedValidity = IntStream.range(0, source.poolCount()).mapToObj(previous::listValidity).toList();
    }
    ServerList list = sameList ? servers.takeOver(previous.servers, configured)
        : previous.servers.withDrainsAndRemovals(configured);
    startedWithList = true;
    dispatcher.dispatch(new Start(seed, config.settings()));
    source.savedLists();
    source.continueHeldList();
    if (sameList) {
      group.applySourceUpdate(group.generation(), list.kind(), list.entries(), previous.addresses(), 0);
    }
    servers.apply(list);
    dispatchList(list);
    if (config.settings().mustSubscribe() && !config.discovery().equals(previous.config.discovery())) {
      // The list of the new discovery service is needed soon, and no earlier watch continues in the meantime.
      source.openWatchEarly();
    }
  }

  private Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (String server : servers.serverIds()) {
      if (group.address(server) != null) {
        addresses.put(server, group.address(server));
      }
    }
    return addresses;
  }

  /** Newer settings are in force: only these clients remain here. */
  void supersede(Set<ClientLink> clients) {
    remainingClients.addAll(clients);
  }

  /** How many servers it keeps in memory. */
  int serverCount() {
    return servers.serverIds().size();
  }

  /** Moves the clients that are up: they reconnect and are served under the newest settings. */
  void moveAll() {
    remainingClients.forEach(client -> client.link().runGuarded(() -> client.move(EndReason.SETTINGS_REPLACED)));
  }

  /** Ends the discovery watch under these settings. */
  void stopWatching() {
    source.watch(false);
  }

  /** The remaining clients that are still active. */
  Set<ClientLink> remainingClients(Set<ClientLink> activeClients) {
    remainingClients.retainAll(activeClients);
    return remainingClients;
  }

  /** Releases what is kept for requests; there are none any more. */
  void drop() {
    dropped = true;
    List.copyOf(probers.values()).forEach(prober -> prober.end(Outcome.CANCELLED));
    // Timers that this generation has set may keep it in memory for some seconds.
    dispatcher.stop();
    module = null;
    servers.clear();
    group.clear();
  }

  // ---- Lists ---------------------------------------------------------------------------------

  /** Takes over a configuration in which discovery's address may have changed, and nothing else. */
  void reconfigure(Config fresh) {
    source.reconfigure(fresh);
  }

  /** Applies a list from this generation's own source. */
  void applyOwnList(ServerList list) {
    if (list.kind() == ListKind.SAVED && startedWithList) {
      return;
    }
    listDelivered |= list.kind() == ListKind.FULL || list.kind() == ListKind.CHANGES;
    servers.apply(list);
    if (!dropped) {
      dispatchList(list);
    }
  }

  /** Applies a list from the source of other settings, translated to these: drains and removals concern all. */
  void applyForeignList(ServerList list, Generation other) {
    if (list.kind() == ListKind.FULL || list.kind() == ListKind.CHANGES) {
      ServerList translated = servers.translate(list, other.servers);
      group.applySourceUpdate(group.generation(), translated.kind(), translated.entries(), other.addresses(), 0);
      dispatchList(translated);
    }
  }

  /** For how long new requests may be sent by the list of this generation's own source, or by the inherited one. */
  ListClock.Validity listValidity(int pool) {
    ListClock.Validity own = source.validity(pool);
    boolean inherits = !listDelivered && !inheritedValidity.isEmpty();
    return inherits && inheritedValidity.get(pool).until() < own.until() ? inheritedValidity.get(pool) : own;
  }

  int poolCount() {
    return source.poolCount();
  }

  private void dispatchList(ServerList list) {
    dispatcher.dispatch(shared.startTimes().toLocalClock(list));
    if (list.kind() == ListKind.FULL || list.entries().stream().anyMatch(entry -> entry.state() == ServerState.GONE)) {
      pruneRemovedServers();
    }
  }

  /** Bounds the memory of a process that runs for months, in a fleet where each new server has a new name. */
  private void pruneRemovedServers() {
    shared.startTimes().keepOnly(servers.serverIds());
    context.delayMeter().keepOnly(servers.serverIds());
  }

  // ---- Actions -------------------------------------------------------------------------------

  /** An if-else chain, as pattern matching in a switch is only a preview in Java 17. */
  private void perform(Action action) {
    if (action instanceof Send a) {
      withClient(a.id(), client -> client.execute(a.server(), a.timeout()));
    } else if (action instanceof WakeAfter a) {
      shared.wheel().after(a.delay(), () -> wake(a.token()));
    } else if (action instanceof Move a) {
      withClient(a.id(), client -> client.move(EndReason.MOVED_BY_MODULE));
    } else if (action instanceof Refuse a) {
      withClient(a.id(), client -> client.throttle(a.retryAfter(), EndReason.REFUSED_BY_MODULE));
    } else if (action instanceof Fail a) {
      withClient(a.id(), client -> client.fail(EndReason.FAILED_BY_MODULE));
    } else if (action instanceof CancelAttempt a) {
      withClient(a.id(), client -> client.cancel(a.attempt()));
    } else if (action instanceof Probe a) {
      probe(a.server());
    } else if (action instanceof CloseIdle a && probers.get(a.server()) != null) {
      probers.get(a.server()).end(Outcome.CANCELLED);
    } else if (action instanceof Subscribe a && generations.isNewest(this)) {
      source.watch(a.on());
    } else if (action instanceof FetchList && generations.isNewest(this)) {
      source.fetch();
    } else if (action instanceof Log a) {
      shared.log().info("module", shared.name() + " " + a.text());
    }
  }

  /** A module that has no request left must not continue by itself. */
  private void wake(long token) {
    if (!dropped) {
      dispatcher.dispatch(new Wake(token));
    }
  }

  /** The module may name a request that has ended in the meantime; its slot may have been reused. */
  private void withClient(String id, Consumer<ClientLink> task) {
    ClientLink client = shared.requests().find(id);
    if (client != null) {
      client.link().runGuarded(() -> task.accept(client));
    }
  }

  private void probe(String server) {
    if (!dropped) {
      probers.computeIfAbsent(server, id -> new Prober(context, id, () -> probers.remove(id))).probe();
    }
  }
}
