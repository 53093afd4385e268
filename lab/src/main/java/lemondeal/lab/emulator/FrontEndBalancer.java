package lemondeal.lab.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The load balancer in front of the proxies. Assigns each client to a random proxy of its zone, or of another zone if
 * none is alive in its own, as a balancer that hashes connections does. It detects a proxy's crash only after a
 * delay.
 */
final class FrontEndBalancer {
  private final Simulation simulation;
  private final UniformRandomProvider random;

  FrontEndBalancer(Simulation simulation, RandomStreams randomStreams) {
    this.simulation = simulation;
    this.random = randomStreams.stream("front");
  }

  /** Forwards a client's request to a proxy. */
  void forward(Client client, String requestId, long deadline) {
    ProxyNode proxy = pick(client.zone());
    simulation.checks().arrived(requestId, deadline);
    if (proxy == null) {
      simulation.checks().noProxyAvailable(requestId);
      client.rejected(0);
      return;
    }
    simulation.scheduler().after(simulation.latency(client.zone(), proxy.zone()),
        () -> proxy.requestReceived(client, requestId, deadline));
  }

  private ProxyNode pick(int zone) {
    List<ProxyNode> all = simulation.proxies();
    int start = random.nextInt(all.size());
    ProxyNode otherZoneProxy = null;
    for (int i = 0; i < all.size(); i++) {
      ProxyNode proxy = all.get((start + i) % all.size());
      if (proxy.believedAlive()) {
        if (proxy.zone() == zone) {
          return proxy;
        }
        otherZoneProxy = otherZoneProxy == null ? proxy : otherZoneProxy;
      }
    }
    return otherZoneProxy;
  }
}
