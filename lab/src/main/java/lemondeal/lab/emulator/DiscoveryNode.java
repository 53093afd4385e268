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
final class DiscoveryNode {
  private final World world;
  private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
  private final Set<ProxyNode> watching = new LinkedHashSet<>();
  private long version = 1;
  private long freeAt;
  private boolean down;

  DiscoveryNode(World world) {
    this.world = world;
  }

  /** Takes in a server that has been there for long: nobody is told a change. */
  void begin(Server server) {
    entries.put(server.name(), entry(server, ServerState.READY));
  }

  private static ServerEntry entry(Server server, ServerState state) {
    return new ServerEntry(server.name(), server.zone(), 0, server.model(), Math.max(0, server.startedAt()), state,
        server.fleet().weight());
  }

  /** Takes a server in as it is to be told from now on, and tells it after its delay. */
  void tell(Server server, ServerState state) {
    ServerEntry entry = entry(server, state);
    if (state == ServerState.GONE) {
      entries.remove(server.name());
    } else {
      entries.put(server.name(), entry);
    }
    long told = ++version;
    world.agenda().after(world.scenario().discovery().delay(), () -> {
      ServerList change = new ServerList(told, ListKind.CHANGES, List.of(entry));
      for (ProxyNode proxy : List.copyOf(watching)) {
        if (world.reaches(proxy.zone(), 0)) {
          proxy.listed(change);
        } else {
          drop(proxy);
        }
      }
    });
  }

  /** The whole list as it stands. */
  ServerList list(ListKind kind) {
    return new ServerList(version, kind, new ArrayList<>(entries.values()));
  }

  /** Down: watches end, and calls fail after their patience. */
  void down(boolean now) {
    down = now;
    if (now) {
      List.copyOf(watching).forEach(this::drop);
    }
  }

  private void drop(ProxyNode proxy) {
    watching.remove(proxy);
    proxy.listed(new ServerList(version, ListKind.FAILED, List.of()));
  }

  void forget(ProxyNode proxy) {
    watching.remove(proxy);
  }

  void watch(ProxyNode proxy, boolean on) {
    if (on) {
      call(proxy, true);
    } else {
      watching.remove(proxy);
    }
  }

  /** A call for the list; a watch goes on with what changes. */
  void call(ProxyNode proxy, boolean watch) {
    Scenario.Discovery settings = world.scenario().discovery();
    long now = world.agenda().now();
    int life = proxy.life();
    long start = Math.max(now, freeAt);
    if (down || start - now > settings.patience() || !world.reaches(proxy.zone(), 0)) {
      world.agenda().after(settings.patience(), () -> {
        if (proxy.life() == life) {
          proxy.listed(new ServerList(version, ListKind.FAILED, List.of()));
        }
      });
      return;
    }
    freeAt = start + (long) (Scenario.SECOND / settings.perSecond());
    world.agenda().at(freeAt + world.latency(0, proxy.zone()), () -> {
      if (proxy.life() == life) {
        if (watch) {
          watching.add(proxy);
        }
        proxy.listed(list(ListKind.FULL));
      }
    });
  }
}
