package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.ListKind;
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
import lemondeal.figures.RequestCounters;
import lemondeal.net.Timers;

/**
 * Which settings are in force, and which others still hold for requests that came under them. Settings read anew begin
 * a generation of their own; what comes from then on is served by it alone. On the I/O thread.
 */
final class Generations {
  /** How often it is looked whether an older generation has ended: what it keeps is little. */
  private static final long CHECK_INTERVAL = 1_000_000;
  /**
   * Servers that older settings keep in memory together at most: as many as the largest fleet has (STANDING), some
   * 800 bytes each. One client that stays was enough to keep them all.
   */
  private static final int MAX_OLDER_SERVERS = 3_200;

  private final Generation.SharedServices shared;
  private final Runnable onListReceived;
  private final long seed;
  private final Set<Generation> older = new LinkedHashSet<>();
  private Generation newest;
  /** The one before, while its watch goes on because the newest one's has told nothing yet; null otherwise. */
  private Generation previousWatching;
  private Timers.Timer checkTimer;
  /** Null where settings count from the next start. */
  private Supplier<Balancer> moduleFactory;

  /** {@code told} is run whenever discovery has told a list. */
  Generations(Generation.SharedServices shared, Config config, Balancer module, Runnable onListReceived) {
    this.shared = shared;
    this.onListReceived = onListReceived;
    seed = config.seed();
    newest = new Generation(this, shared, config, module, new RequestCounters(config.names().classes()));
  }

  void start() throws ProtocolException {
    newest.start(seed);
  }

  /** From now on each change of the settings is taken over, with a module of its own. */
  void setModuleFactory(Supplier<Balancer> moduleFactory) {
    this.moduleFactory = moduleFactory;
  }

  Generation newest() {
    return newest;
  }

  boolean isNewest(Generation generation) {
    return generation == newest;
  }

  /** Where servers are: by their ids, which are the same under all settings. */
  HostGroup group() {
    return newest.group();
  }

  /** Discovery is elsewhere; the settings stay as they are. */
  void reconfigureDiscovery(Config fresh) {
    newest.reconfigure(fresh);
  }

  /** Takes a configuration over that was read anew and checked. What can't be served is one line in the log. */
  void reconfigure(Config fresh) {
    if (fresh.hasSameServiceSettings(newest.config())) {
      reconfigureDiscovery(fresh);
    } else if (moduleFactory == null) {
      shared.log().info("settings-kept", "lemondeal: the new settings count from the next start");
      reconfigureDiscovery(fresh);
    } else {
      startNewGeneration(fresh);
    }
  }

  private void startNewGeneration(Config fresh) {
    Generation previous = newest;
    Set<ClientLink> clients = activeClients();
    older.forEach(generation -> clients.removeAll(generation.remainingClients(activeClients())));
    newest = new Generation(this, shared, fresh, moduleFactory.get(), previous.figures().withClasses(fresh.names().classes()));
    try {
      newest.startAfter(previous, seed);
    } catch (ProtocolException e) {
      rollBack(previous, "known: " + e.getMessage());
      return;
    } catch (RuntimeException | OutOfMemoryError e) {
      // One that has begun by half would serve whoever comes by half a list.
      rollBack(previous, e.toString());
      return;
    }
    previous.supersede(clients);
    older.add(previous);
    takeOverWatch(previous);
    limitOlder();
    dropEnded();
    shared.log().info("settings", "lemondeal: new settings serve what comes from now on; " + clients.size()
        + " under way end by those that they came in with");
  }

  private void rollBack(Generation previous, String reason) {
    newest.stopWatching();
    newest.drop();
    newest = previous;
    shared.log().warn("reload-refused", "lemondeal: the configuration stays as it was: " + reason);
  }

  /**
   * Discovery is not asked by two sources for longer than it takes the new one to be told, nor at an address that is no
   * longer the one. Guards against drains that nobody hears: proxies that are all told to reload ask one after another.
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

  /** What a source tells goes to all; one that is no longer asked is not heard any more. */
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
   * Guards the memory when settings change again and again while a client of each stays: the oldest ones' clients are
   * moved, and what is kept for them goes with them. Requests that wait end by their own deadlines.
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
