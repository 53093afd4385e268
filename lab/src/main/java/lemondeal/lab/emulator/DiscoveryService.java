package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;

/**
 * Discovery as a single service: processes calls in order at a fixed rate, fails a call whose wait would exceed the
 * timeout, and sends changes to its watchers after a delay. It knows which processes run, drain or are gone, but
 * nothing about their health.
 */
final class DiscoveryService {
  private final Simulation simulation;
  private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
  private final Set<ProxyNode> watchers = new LinkedHashSet<>();
  private long version = 1;
  private long nextFreeTime;
  private boolean unavailable;

  DiscoveryService(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Adds a server that runs from the start, without publishing a change. */
  void addInitial(Server server) {
    entries.put(server.name(), entry(server, ServerState.READY));
  }

  private static ServerEntry entry(Server server, ServerState state) {
    return new ServerEntry(server.name(), server.zone(), 0, server.poolIndex(), Math.max(0, server.startedAt()), state,
        server.pool().weight());
  }

  /** Updates the list with a server's state at once, and sends the change to the watchers after the delay. */
  void publish(Server server, ServerState state) {
    ServerEntry entry = entry(server, state);
    if (state == ServerState.GONE) {
      entries.remove(server.name());
    } else {
      entries.put(server.name(), entry);
    }
    long changeVersion = ++version;
    simulation.scheduler().after(simulation.scenario().discovery().updateDelay(), () -> {
      ServerList change = new ServerList(changeVersion, ListKind.CHANGES, List.of(entry));
      for (ProxyNode proxy : List.copyOf(watchers)) {
        if (simulation.canReach(proxy.zone(), 0)) {
          proxy.listReceived(change);
        } else {
          endWatch(proxy);
        }
      }
    });
  }

  /** The complete list in its present state. */
  ServerList currentList(ListKind kind) {
    return new ServerList(version, kind, new ArrayList<>(entries.values()));
  }

  /** While discovery is unavailable, watches are closed and calls fail after their timeout. */
  void setUnavailable(boolean nowUnavailable) {
    unavailable = nowUnavailable;
    if (nowUnavailable) {
      List.copyOf(watchers).forEach(this::endWatch);
    }
  }

  private void endWatch(ProxyNode proxy) {
    watchers.remove(proxy);
    proxy.listReceived(new ServerList(version, ListKind.FAILED, List.of()));
  }

  void removeWatcher(ProxyNode proxy) {
    watchers.remove(proxy);
  }

  void setWatching(ProxyNode proxy, boolean on) {
    if (on) {
      requestList(proxy, true);
    } else {
      watchers.remove(proxy);
    }
  }

  /** Requests the complete list; with {@code watch}, the proxy receives changes afterwards. */
  void requestList(ProxyNode proxy, boolean watch) {
    Scenario.Discovery settings = simulation.scenario().discovery();
    long now = simulation.scheduler().now();
    int incarnation = proxy.incarnation();
    long start = Math.max(now, nextFreeTime);
    if (unavailable || start - now > settings.callTimeout() || !simulation.canReach(proxy.zone(), 0)) {
      simulation.scheduler().after(settings.callTimeout(), () -> {
        if (proxy.incarnation() == incarnation) {
          proxy.listReceived(new ServerList(version, ListKind.FAILED, List.of()));
        }
      });
      return;
    }
    nextFreeTime = start + (long) (Scenario.SECOND / settings.callsPerSecond());
    simulation.scheduler().at(nextFreeTime + simulation.latency(0, proxy.zone()), () -> {
      if (proxy.incarnation() == incarnation) {
        if (watch) {
          watchers.add(proxy);
        }
        proxy.listReceived(currentList(ListKind.FULL));
      }
    });
  }
}
