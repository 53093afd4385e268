package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ListValidity;
import lemondeal.Balancer.ServerList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.clock.ListClock;
import lemondeal.figures.RequestCounters;
import lemondeal.net.Timers;

/**
 * Holds the settings in force, and the older ones that still apply to requests that began under them. Reloaded settings
 * start a generation of their own, which alone serves new requests. On the I/O thread.
 */
final class Generations {
  /** How often to check whether an older generation has ended, in microseconds: what it keeps is little. */
  private static final long CHECK_INTERVAL = 1_000_000;
  /**
   * Limit on the servers that all older settings keep in memory together: as many as the largest fleet has (see the
   * platform's page STANDING), some 800 bytes each. One client that stayed was enough to keep them all.
   */
  private static final int MAX_OLDER_SERVERS = 3_200;

  /** Two pauses of the process, in microseconds. */
  private static final long PAUSE_ALLOWANCE = 2 * RequestRules.MAX_PROCESS_PAUSE;

  private final Generation.SharedServices shared;
  private final Runnable onListReceived;
  private final long seed;
  private final Set<Generation> older = new LinkedHashSet<>();
  private Generation newest;
  /** The previous generation while its watch continues, as the newest one's has delivered nothing yet; else null. */
  private Generation previousWatching;
  private Timers.Timer checkTimer;
  /** Null if changed settings take effect at the next start only. */
  private Supplier<Balancer> moduleFactory;

  /** {@code onListReceived} runs whenever discovery has delivered a list. */
  Generations(Generation.SharedServices shared, Config config, Balancer module, Runnable onListReceived) {
    this.shared = shared;
    this.onListReceived = onListReceived;
    seed = config.seed();
    newest = new Generation(this, shared, config, module, new RequestCounters(config.names().classes()));
  }

  void start() throws ProtocolException {
    newest.start(seed);
  }

  /** From now on changed settings take effect at once, each version with a module from this factory. */
  void setModuleFactory(Supplier<Balancer> moduleFactory) {
    this.moduleFactory = moduleFactory;
  }

  Generation newest() {
    return newest;
  }

  boolean isNewest(Generation generation) {
    return generation == newest;
  }

  /** The addresses of the servers by their ids, which are the same under all settings. */
  HostGroup group() {
    return newest.group();
  }

  /**
   * Until when new requests may be sent by the pool's held list, whatever settings they began under: all follow the
   * lists of each watch that is open. Allows for two pauses of this process, one before it reads what discovery or a
   * server has written and one before it writes the request.
   */
  ListValidity listValidity(int pool) {
    ListClock.Validity validity = newest.listValidity(pool);
    if (previousWatching != null && previousWatching.listValidity(pool).until() > validity.until()) {
      validity = previousWatching.listValidity(pool);
    }
    if (validity.until() >= ListClock.NEVER) {
      return new ListValidity(pool, ListValidity.UNLIMITED, false, 0);
    }
    return new ListValidity(pool, validity.until() - PAUSE_ALLOWANCE, validity.outagePossible(),
        Math.max(0, validity.afterAcceptance() - PAUSE_ALLOWANCE));
  }

  /** Whether the held list of any pool has expired: most of its servers get no new requests. */
  boolean isAnyListExpired() {
    for (int pool = 0; pool < newest.poolCount(); pool++) {
      if (shared.wheel().now() >= listValidity(pool).until()) {
        return true;
      }
    }
    return false;
  }

  /** Takes over a new address of discovery; the settings stay as they are. */
  void reconfigureDiscovery(Config fresh) {
    newest.reconfigure(fresh);
  }

  /** Takes over a configuration that was reloaded and validated. If it can't be served, one line in the log says so. */
  void reconfigure(Config fresh) {
    if (fresh.hasSameServiceSettings(newest.config())) {
      reconfigureDiscovery(fresh);
    } else if (moduleFactory == null) {
      shared.log().info("settings-kept", "lemondeal: the new settings take effect at the next start");
      reconfigureDiscovery(fresh);
    } else {
      startNewGeneration(fresh);
    }
  }

  private void startNewGeneration(Config fresh) {
    Generation previous = newest;
    Set<ClientLink> clients = activeClients();
    older.forEach(generation -> clients.removeAll(generation.remainingClients(activeClients())));
    newest = new Generation(this, shared, fresh, moduleFactory.get(),
        previous.counters().withClasses(fresh.names().classes()));
    try {
      newest.startAfter(previous, seed);
    } catch (ProtocolException e) {
      rollBack(previous, "known: " + e.getMessage());
      return;
    } catch (RuntimeException | OutOfMemoryError e) {
      // A generation that was started only in part would serve new requests with an incomplete list.
      rollBack(previous, e.toString());
      return;
    }
    previous.supersede(clients);
    older.add(previous);
    takeOverWatch(previous);
    limitOlder();
    dropEnded();
    shared.log().info("settings", "lemondeal: new settings serve what comes from now on; "
        + "connections that keep their settings: " + clients.size());
  }

  private void rollBack(Generation previous, String reason) {
    newest.stopWatching();
    newest.drop();
    newest = previous;
    shared.log().warn("reload-refused", "lemondeal: the configuration stays as it was: " + reason);
  }

  /**
   * Two sources watch discovery only until the new one has received a list, and none at an outdated address. Guards
   * against missed drain notices: proxies that all reload together are served by discovery one after another, and until
   * a proxy's turn only its previous watch reports drains.
   */
  private void takeOverWatch(Generation previous) {
    stopPreviousWatch();
    if (previous.config().discovery().equals(newest.config().discovery())) {
      previousWatching = previous;
    } else {
      previous.stopWatching();
    }
  }

  private void stopPreviousWatch() {
    if (previousWatching != null) {
      previousWatching.stopWatching();
      previousWatching = null;
    }
  }

  /** Passes a source's list to all generations; one from a source that is no longer watched is ignored. */
  void listReceived(Generation sender, ServerList list) {
    if (sender != newest && sender != previousWatching) {
      return;
    }
    if (sender == newest && list.kind() != ListKind.FAILED && list.kind() != ListKind.SAVED) {
      stopPreviousWatch();
    }
    sender.applyOwnList(list);
    Set<Generation> others = new LinkedHashSet<>(older);
    others.add(newest);
    others.remove(sender);
    others.forEach(generation -> generation.applyForeignList(list, sender));
    onListReceived.run();
  }

  /**
   * Bounds the memory when settings change again and again while a client of each stays: the clients of the oldest
   * generations are moved, and what is kept for them is released with them. Waiting requests end at their own
   * deadlines.
   */
  private void limitOlder() {
    List<Generation> newestFirst = new ArrayList<>(older);
    Collections.reverse(newestFirst);
    int heldServers = 0;
    for (Generation generation : newestFirst) {
      heldServers += generation.serverCount();
      if (heldServers > MAX_OLDER_SERVERS) {
        generation.moveAll();
      }
    }
  }

  private Set<ClientLink> activeClients() {
    return new HashSet<>(shared.requests().all());
  }

  private void dropEnded() {
    Set<ClientLink> activeClients = activeClients();
    for (Generation generation : List.copyOf(older)) {
      if (generation.remainingClients(activeClients).isEmpty()) {
        older.remove(generation);
        generation.drop();
      }
    }
    Timers.cancel(checkTimer);
    checkTimer = older.isEmpty() ? null : shared.wheel().after(CHECK_INTERVAL, this::dropEnded);
  }
}
