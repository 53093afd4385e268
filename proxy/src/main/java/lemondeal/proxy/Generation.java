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
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.ListSource;
import lemondeal.figures.Figures;
import lemondeal.log.EventLog;
import lemondeal.net.Net;
import lemondeal.resume.Continuity;

/**
 * The requests that came while one set of settings was in force, and all that goes by these settings: the module that
 * decides on them and what it has learnt, its probes, what is measured and counted for it. What a request came in with
 * is what it ends by; nothing of it is left once the last one has ended.
 */
final class Generation {

  /** What all generations of a proxy have in common. */
  record Means(Net net, TimerWheel wheel, Requests requests, ListSource.Maker sources, EventLog log, String name,
      StartTimes starts, RuleGuard guard, RequestTrace trace, Function<OpenLine, Continuity> continuities) {}

  private final Generations all;
  private final Means means;
  /** Without the list of servers. */
  private final Config config;
  /** Null once this generation was dropped. */
  private Balancer module;
  private final HostGroup group;
  private final Decisions decisions;
  private final ListSource source;
  private final Figures figures;
  private final Context context;
  private final KnownServers servers;
  private final Map<String, Prober> probers = new HashMap<>();
  /** The clients under way, once newer settings are in force; this generation has no others any more. */
  private final Set<ClientLink> left = new HashSet<>();
  /** Whether it began with a list: none from before the process's start is to be told later. */
  private boolean begunWithList;
  /** The configuration's list in discovery's form, until this generation has begun: it is large. */
  private Map<String, Object> known;
  /** Of that list, to tell whether newer settings bring another one. */
  private final long knownFingerprint;
  private boolean dropped;

  Generation(Generations all, Means means, Config config, Balancer module, Figures figures) {
    this.all = all;
    this.means = means;
    this.config = config.withoutKnown();
    known = config.known();
    knownFingerprint = config.knownFingerprint();
    this.module = module;
    this.figures = figures;
    group = new HostGroup(config.names());
    servers = new KnownServers(config.names(), means.wheel()::now);
    decisions = new Decisions(module, means.wheel()::now, this::act);
    source = means.sources().make(means.net(), means.wheel(), config.limits(), config, group,
        list -> all.listed(this, list));
    DelayMeter delays = new DelayMeter(config.settings(), config.limits(), decisions::tell);
    context = new Context(all, this.config, means.net(), means.wheel(), decisions, delays, figures,
        new FinalAnswer(figures, means.trace()), servers, means.guard(), means.trace(), means.continuities());
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

  Figures figures() {
    return figures;
  }

  ServerSummary standing() {
    return module.serverSummary(means.wheel().now());
  }

  void tell(Event event) {
    decisions.tell(event);
  }

  // ---- Beginning and end ---------------------------------------------------------------------

  /** The first one of a process: it knows the list of the configuration. */
  void start(long seed) throws ProtocolException {
    known = Map.of();
    decisions.tell(new Start(seed, config.settings()));
    source.saved().forEach(this::hear);
  }

  /**
   * Goes on from here, with the list that the one before holds, unless the new configuration brings another one: that
   * of another fleet, say, at another discovery.
   *
   * @throws ProtocolException if the new list can't be read: nothing has begun then
   */
  void startAfter(Generation before, long seed) throws ProtocolException {
    ServerList listed = group.saved(known);
    known = Map.of();
    boolean same = knownFingerprint == before.knownFingerprint || listed.entries().isEmpty();
    if (same && before.servers.names().isEmpty()) {
      start(seed);
      return;
    }
    ServerList list = same ? servers.takenOver(before.servers, listed) : before.servers.withEndsTold(listed);
    begunWithList = true;
    decisions.tell(new Start(seed, config.settings()));
    source.saved();
    if (same) {
      group.tell(group.generation(), list.kind(), list.entries(), before.addresses(), 0);
    }
    servers.take(list);
    tellList(list);
    if (config.settings().mustSubscribe() && !config.discovery().equals(before.config.discovery())) {
      // What discovery has there counts soon, and no watch of before goes on in the meantime.
      source.watchAhead();
    }
  }

  private Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (String server : servers.names()) {
      if (group.address(server) != null) {
        addresses.put(server, group.address(server));
      }
    }
    return addresses;
  }

  /** Newer settings are in force: only these clients are left here. */
  void supersede(Set<ClientLink> clients) {
    left.addAll(clients);
  }

  /** How many servers it keeps in memory. */
  int serversHeld() {
    return servers.names().size();
  }

  /** Sends the clients away that are up: they come again and are served by the newest settings. */
  void moveAll() {
    left.forEach(client -> client.link().guarded(() -> client.move(EndReason.SETTINGS_REPLACED)));
  }

  /** Discovery is asked no more under these settings. */
  void stopAsking() {
    source.watch(false);
  }

  /** Those left here that are still under way. */
  Set<ClientLink> left(Set<ClientLink> underWay) {
    left.retainAll(underWay);
    return left;
  }

  /** Ends what is kept for requests; there are none any more. */
  void drop() {
    dropped = true;
    List.copyOf(probers.values()).forEach(prober -> prober.end(Outcome.CANCELLED));
    // Timers that it has set may hold it for seconds yet.
    decisions.end();
    module = null;
    servers.clear();
    group.clear();
  }

  // ---- Lists ---------------------------------------------------------------------------------

  /** Discovery is elsewhere, or the same; nothing else has changed. */
  void reconfigure(Config fresh) {
    source.reconfigure(fresh);
  }

  /** What this generation's own source tells. */
  void hear(ServerList list) {
    if (list.kind() == ListKind.SAVED && begunWithList) {
      return;
    }
    servers.take(list);
    if (!dropped) {
      tellList(list);
    }
  }

  /** What the source of other settings tells, in their terms: drains and ends are for all to know. */
  void overhear(ServerList list, Generation other) {
    if (list.kind() == ListKind.FULL || list.kind() == ListKind.CHANGES) {
      ServerList own = servers.translated(list, other.servers);
      group.tell(group.generation(), own.kind(), own.entries(), other.addresses(), 0);
      tellList(own);
    }
  }

  private void tellList(ServerList list) {
    decisions.tell(means.starts().here(list));
    if (list.kind() == ListKind.FULL || list.entries().stream().anyMatch(entry -> entry.state() == ServerState.GONE)) {
      forgetGone();
    }
  }

  /** Guards the memory of a process that runs for months, in a fleet where each new server has a new name. */
  private void forgetGone() {
    means.starts().keepOnly(servers.names());
    context.delays().keepOnly(servers.names());
  }

  // ---- Actions -------------------------------------------------------------------------------

  /** A chain of tests rather than a switch: pattern switches are only a preview in Java 17. */
  private void act(Action action) {
    if (action instanceof Send a) {
      with(a.id(), client -> client.execute(a.server(), a.timeout()));
    } else if (action instanceof WakeAfter a) {
      means.wheel().after(a.delay(), () -> wake(a.token()));
    } else if (action instanceof Move a) {
      with(a.id(), client -> client.move(EndReason.MOVED_BY_MODULE));
    } else if (action instanceof Refuse a) {
      with(a.id(), client -> client.throttle(a.retryAfter(), EndReason.REFUSED_BY_MODULE));
    } else if (action instanceof Fail a) {
      with(a.id(), client -> client.fail(EndReason.FAILED_BY_MODULE));
    } else if (action instanceof CancelAttempt a) {
      with(a.id(), client -> client.cancel(a.attempt()));
    } else if (action instanceof Probe a) {
      probe(a.server());
    } else if (action instanceof CloseIdle a && probers.get(a.server()) != null) {
      probers.get(a.server()).end(Outcome.CANCELLED);
    } else if (action instanceof Subscribe a && all.isNewest(this)) {
      source.watch(a.on());
    } else if (action instanceof FetchList && all.isNewest(this)) {
      source.fetch();
    } else if (action instanceof Log a) {
      means.log().info("module", means.name() + " " + a.text());
    }
  }

  /** A module that has no request left must not go on by itself. */
  private void wake(long token) {
    if (!dropped) {
      decisions.tell(new Wake(token));
    }
  }

  /** The module may name a request that has gone in the meantime; its slot may have a new holder. */
  private void with(String id, Consumer<ClientLink> act) {
    ClientLink client = means.requests().find(id);
    if (client != null) {
      client.link().guarded(() -> act.accept(client));
    }
  }

  private void probe(String server) {
    if (!dropped) {
      probers.computeIfAbsent(server, s -> new Prober(context, s, () -> probers.remove(s))).probe();
    }
  }
}
