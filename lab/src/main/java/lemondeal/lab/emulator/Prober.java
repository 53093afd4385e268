package lemondeal.lab.emulator;

import java.util.function.Consumer;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.ProbeResult;

/** Sends a proxy's probes. A running server answers them outside its queue; others fail the probe or do not answer. */
final class Prober {
  private static final int PROBE_WORK = 200;

  private final Simulation simulation;
  private final ProxyNode proxy;
  private final Consumer<Event> resultHandler;

  Prober(Simulation simulation, ProxyNode proxy, Consumer<Event> resultHandler) {
    this.simulation = simulation;
    this.proxy = proxy;
    this.resultHandler = resultHandler;
  }

  void sendProbe(String serverName) {
    Server server = simulation.server(serverName);
    int zone = proxy.zone();
    int incarnation = proxy.incarnation();
    long startTime = simulation.scheduler().now();
    simulation.figures().probeSent();
    if (server == null || !simulation.canReach(zone, server.zone()) || server.state() == Server.State.HUNG) {
      simulation.scheduler().after(Scenario.SECOND / 2,
          () -> report(serverName, incarnation, startTime, Outcome.TIMED_OUT, null));
      return;
    }
    simulation.scheduler().after(2 * simulation.latency(zone, server.zone()), () -> {
      if (server.state() == Server.State.DEAD) {
        report(serverName, incarnation, startTime, Outcome.NO_CONNECTION, null);
      } else {
        server.update();
        server.setUp(PROBE_WORK, () -> { });
        report(serverName, incarnation, startTime, Outcome.SERVED,
            new LoadReport(server.utilization(), server.backlogSeconds(), server.openConnections(),
                server.setUpsInProgress(), Math.min(1, server.utilization())));
      }
    });
  }

  /** Results of probes from an earlier incarnation of the proxy are dropped. */
  private void report(String serverName, int incarnation, long startTime, Outcome outcome, LoadReport loadReport) {
    if (proxy.incarnation() == incarnation) {
      resultHandler.accept(new ProbeResult(serverName, outcome, simulation.scheduler().now() - startTime, loadReport));
    }
  }
}
