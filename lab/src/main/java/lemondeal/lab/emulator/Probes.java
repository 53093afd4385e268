package lemondeal.lab.emulator;

import java.util.function.Consumer;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.ProbeResult;

/** A proxy's probes: answered beside the queue by a server that runs, late or never by others. */
final class Probes {
  private static final int PROBE_WORK = 200;

  private final World world;
  private final ProxyNode node;
  private final Consumer<Event> told;

  Probes(World world, ProxyNode node, Consumer<Event> told) {
    this.world = world;
    this.node = node;
    this.told = told;
  }

  void probe(String name) {
    Server server = world.server(name);
    int zone = node.zone();
    int at = node.life();
    long began = world.agenda().now();
    world.figures().probed();
    if (server == null || !world.reaches(zone, server.zone()) || server.state() == Server.State.HUNG) {
      world.agenda().after(Scenario.SECOND / 2, () -> probed(name, at, began, Outcome.TIMED_OUT, null));
      return;
    }
    world.agenda().after(2 * world.latency(zone, server.zone()), () -> {
      if (server.state() == Server.State.DEAD) {
        probed(name, at, began, Outcome.NO_CONNECTION, null);
      } else {
        server.update();
        server.setUp(PROBE_WORK, () -> { });
        probed(name, at, began, Outcome.SERVED, new LoadReport(server.use(), server.backlogSeconds(), server.held(),
            server.queued(), Math.min(1, server.use())));
      }
    });
  }

  /** What was asked in an earlier life of the proxy is void. */
  private void probed(String server, int at, long began, Outcome outcome, LoadReport report) {
    if (node.life() == at) {
      told.accept(new ProbeResult(server, outcome, world.agenda().now() - began, report));
    }
  }
}
