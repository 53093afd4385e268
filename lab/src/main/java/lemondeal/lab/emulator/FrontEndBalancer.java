package lemondeal.lab.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Shares clients out among the proxies of their zone, or all others where it sees none there; by chance, as a front that
 * hashes connections does. It sees a proxy's death and return only a while later.
 */
final class FrontEndBalancer {
  private final Simulation simulation;
  private final UniformRandomProvider random;

  FrontEndBalancer(Simulation simulation, RandomStreams randomStreams) {
    this.simulation = simulation;
    this.random = randomStreams.stream("front");
  }

  /** Brings a client's request to a proxy. */
  void forward(Client client, String requestId, long deadline) {
    ProxyNode proxy = pick(client.zone());
    simulation.checks().arrived(requestId, deadline);
    if (proxy == null) {
      simulation.checks().noProxyAvailable(requestId);
      client.rejected(0);
      return;
    }
    simulation.scheduler().after(simulation.latency(client.zone(), proxy.zone()), () -> proxy.requestReceived(client, requestId, deadline));
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
