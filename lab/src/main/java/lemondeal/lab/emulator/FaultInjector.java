package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerState;
import org.apache.commons.rng.UniformRandomProvider;

/** Injects a scenario's faults. Their targets are random, and the same for every policy with the same seed. */
final class FaultInjector {
  /** How long a draining server keeps its clients if the fault has no duration. */
  private static final long DEFAULT_DRAIN_TIME = 10 * Scenario.SECOND;

  private final Simulation simulation;
  private final UniformRandomProvider random;

  FaultInjector(Simulation simulation, RandomStreams randomStreams) {
    this.simulation = simulation;
    this.random = randomStreams.stream("faults");
  }

  void schedule(List<Fault> faults) {
    for (Fault fault : faults) {
      simulation.scheduler().at(fault.startTime(), () -> inject(fault));
    }
  }

  private void inject(Fault fault) {
    switch (fault.kind()) {
      case SLOW -> forEachSelected(fault, server -> {
        server.setSlowdown(fault.factor());
        scheduleEnd(fault, () -> server.setSlowdown(1));
      });
      case HANG -> forEachSelected(fault, server -> {
        server.setState(Server.State.HUNG);
        scheduleEnd(fault, () -> resumeFrom(server, Server.State.HUNG));
      });
      case KILL -> kill(fault);
      case DRAIN -> forEachSelected(fault,
          server -> drain(server, fault.duration() > 0 ? fault.duration() : DEFAULT_DRAIN_TIME));
      case REPLACE -> replace(fault);
      case CUT -> {
        int zone = (int) fault.factor();
        simulation.setCutOff(zone, true);
        scheduleEnd(fault, () -> simulation.setCutOff(zone, false));
      }
      case DISCOVERY -> {
        simulation.discovery().setUnavailable(true);
        scheduleEnd(fault, () -> simulation.discovery().setUnavailable(false));
      }
      case STORE -> {
        simulation.sessionStore().setSlowdown(fault.factor());
        scheduleEnd(fault, () -> simulation.sessionStore().setSlowdown(1));
      }
      case RECONNECT -> reconnect(fault.factor());
      default -> throw new IllegalStateException("unknown kind of fault: " + fault.kind());
    }
  }

  private void scheduleEnd(Fault fault, Runnable undo) {
    if (fault.duration() > 0) {
      simulation.scheduler().after(fault.duration(), undo);
    }
  }

  private void resumeFrom(Server server, Server.State faultState) {
    if (server.state() == faultState) {
      server.setState(Server.State.RUNNING);
    }
  }

  /** The fault's number of random running servers, of one pool or of all, in random order. */
  private List<Server> selectServers(Fault fault) {
    List<Server> running = new ArrayList<>();
    for (Server server : simulation.servers().values()) {
      if (server.state() == Server.State.RUNNING
          && (fault.target().equals("servers") || fault.target().equals(server.pool().name()))) {
        running.add(server);
      }
    }
    return selectRandomly(running, fault.count());
  }

  private <T> List<T> selectRandomly(List<T> candidates, int count) {
    for (int i = candidates.size() - 1; i > 0; i--) {
      Collections.swap(candidates, i, random.nextInt(i + 1));
    }
    return count > 0 ? candidates.subList(0, Math.min(count, candidates.size())) : candidates;
  }

  private void forEachSelected(Fault fault, Consumer<Server> action) {
    selectServers(fault).forEach(action);
  }

  private void kill(Fault fault) {
    if (fault.target().equals("proxies")) {
      for (ProxyNode proxy : selectRandomly(new ArrayList<>(simulation.proxies()), fault.count())) {
        proxy.crash();
        scheduleEnd(fault, () -> proxy.start(simulation.discovery().currentList(lemondeal.Balancer.ListKind.FULL)));
      }
      return;
    }
    forEachSelected(fault, server -> {
      crash(server);
      scheduleEnd(fault, () -> {
        server.restart();
        simulation.discovery().publish(server, ServerState.READY);
      });
    });
  }

  private void crash(Server server) {
    server.setState(Server.State.DEAD);
    for (Connection connection : List.copyOf(server.connections())) {
      connection.proxy().closedByServer(connection, false);
    }
  }

  /**
   * Drains a server: publishes it as draining, closes the connections that remain after the drain time, and removes it.
   */
  private void drain(Server server, long drainTime) {
    server.setState(Server.State.DRAINING);
    simulation.discovery().publish(server, ServerState.DRAINING);
    simulation.scheduler().after(drainTime, () -> {
      for (Connection connection : List.copyOf(server.connections())) {
        connection.proxy().closedByServer(connection, true);
      }
      server.setState(Server.State.DEAD);
      simulation.discovery().publish(server, ServerState.GONE);
    });
  }

  private void replace(Fault fault) {
    List<Server> selected = selectServers(fault);
    long interval = selected.isEmpty() || fault.duration() <= 0 ? 0 : fault.duration() / selected.size();
    for (int i = 0; i < selected.size(); i++) {
      Server server = selected.get(i);
      simulation.scheduler().after(i * interval, () -> {
        simulation.addReplacement(server);
        drain(server, DEFAULT_DRAIN_TIME / 2);
      });
    }
  }

  private void reconnect(double share) {
    for (Client client : List.copyOf(simulation.activeClients())) {
      if (client.connection() != null && random.nextDouble() < share) {
        Connection connection = client.connection();
        connection.proxy().closedByClient(connection);
        client.connectionLost();
      }
    }
  }
}
