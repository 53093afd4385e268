package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerState;
import org.apache.commons.rng.UniformRandomProvider;

/** Lets a scenario's faults happen. Whom they happen to is drawn, the same for every policy with one seed. */
final class FaultPlayer {
  /** How long a draining server keeps its clients where the fault says nothing. */
  private static final long DRAIN = 10 * Scenario.SECOND;

  private final World world;
  private final UniformRandomProvider draws;

  FaultPlayer(World world, Draws draws) {
    this.world = world;
    this.draws = draws.stream("faults");
  }

  void plan(List<Fault> faults) {
    for (Fault fault : faults) {
      world.agenda().at(fault.at(), () -> begin(fault));
    }
  }

  private void begin(Fault fault) {
    switch (fault.kind()) {
      case SLOW -> servers(fault, server -> {
        server.slow(fault.factor());
        later(fault, () -> server.slow(1));
      });
      case HANG -> servers(fault, server -> {
        server.become(Server.State.HUNG);
        later(fault, () -> backFrom(server, Server.State.HUNG));
      });
      case KILL -> kill(fault);
      case DRAIN -> servers(fault, server -> drain(server, fault.length() > 0 ? fault.length() : DRAIN));
      case REPLACE -> replace(fault);
      case CUT -> {
        int zone = (int) fault.factor();
        world.cut(zone, true);
        later(fault, () -> world.cut(zone, false));
      }
      case DISCOVERY -> {
        world.discovery().down(true);
        later(fault, () -> world.discovery().down(false));
      }
      case STORE -> {
        world.store().slow(fault.factor());
        later(fault, () -> world.store().slow(1));
      }
      case RECONNECT -> reconnect(fault.factor());
      default -> throw new IllegalStateException("no such fault: " + fault.kind());
    }
  }

  private void later(Fault fault, Runnable end) {
    if (fault.length() > 0) {
      world.agenda().after(fault.length(), end);
    }
  }

  private void backFrom(Server server, Server.State state) {
    if (server.state() == state) {
      server.become(Server.State.RUNNING);
    }
  }

  /** So many of a fleet, or of all servers, that run now: drawn, and in the order drawn. */
  private List<Server> some(Fault fault) {
    List<Server> running = new ArrayList<>();
    for (Server server : world.servers().values()) {
      if (server.state() == Server.State.RUNNING
          && (fault.whom().equals("servers") || fault.whom().equals(server.fleet().name()))) {
        running.add(server);
      }
    }
    return drawn(running, fault.count());
  }

  private <T> List<T> drawn(List<T> from, int count) {
    for (int i = from.size() - 1; i > 0; i--) {
      Collections.swap(from, i, draws.nextInt(i + 1));
    }
    return count > 0 ? from.subList(0, Math.min(count, from.size())) : from;
  }

  private void servers(Fault fault, Consumer<Server> each) {
    some(fault).forEach(each);
  }

  private void kill(Fault fault) {
    if (fault.whom().equals("proxies")) {
      for (ProxyNode proxy : drawn(new ArrayList<>(world.proxies()), fault.count())) {
        proxy.die();
        later(fault, () -> proxy.start(world.discovery().list(lemondeal.Balancer.ListKind.FULL)));
      }
      return;
    }
    servers(fault, server -> {
      die(server);
      later(fault, () -> {
        server.restart();
        world.discovery().tell(server, ServerState.READY);
      });
    });
  }

  private void die(Server server) {
    server.become(Server.State.DEAD);
    for (Connection connection : List.copyOf(server.connections())) {
      connection.proxy().serverEnds(connection, false);
    }
  }

  /** Told as draining; what it still holds after a while is asked to leave, and it is gone. */
  private void drain(Server server, long length) {
    server.become(Server.State.DRAINING);
    world.discovery().tell(server, ServerState.DRAINING);
    world.agenda().after(length, () -> {
      for (Connection connection : List.copyOf(server.connections())) {
        connection.proxy().serverEnds(connection, true);
      }
      server.become(Server.State.DEAD);
      world.discovery().tell(server, ServerState.GONE);
    });
  }

  private void replace(Fault fault) {
    List<Server> all = some(fault);
    long step = all.isEmpty() || fault.length() <= 0 ? 0 : fault.length() / all.size();
    for (int i = 0; i < all.size(); i++) {
      Server server = all.get(i);
      world.agenda().after(i * step, () -> {
        world.replacement(server);
        drain(server, DRAIN / 2);
      });
    }
  }

  private void reconnect(double share) {
    for (Client client : List.copyOf(world.present())) {
      if (client.connection() != null && draws.nextDouble() < share) {
        Connection connection = client.connection();
        connection.proxy().clientEnds(connection);
        client.cutOff();
      }
    }
  }
}
