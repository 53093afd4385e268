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
 * Discovery as one service: calls are worked off one after the other at a fixed rate and fail when they have waited too
 * long; changes are told to whoever watches, late. It knows processes that run, drain or are gone, and nothing of their
 * health.
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

  /** Takes in a server that has been there for long: nobody is told a change. */
  void addInitial(Server server) {
    entries.put(server.name(), entry(server, ServerState.READY));
  }

  private static ServerEntry entry(Server server, ServerState state) {
    return new ServerEntry(server.name(), server.zone(), 0, server.poolIndex(), Math.max(0, server.startedAt()), state,
        server.pool().weight());
  }

  /** Takes a server in as it is to be told from now on, and tells it after its delay. */
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

  /** The whole list as it stands. */
  ServerList currentList(ListKind kind) {
    return new ServerList(version, kind, new ArrayList<>(entries.values()));
  }

  /** Down: watches end, and calls fail after their patience. */
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

  /** A call for the list; a watch goes on with what changes. */
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
