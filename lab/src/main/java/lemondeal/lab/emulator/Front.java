package lemondeal.lab.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Shares clients out among the proxies of their zone, or all others where it sees none there; by chance, as a front that
 * hashes connections does. It sees a proxy's death and return only a while later.
 */
final class Front {
  private final World world;
  private final UniformRandomProvider draws;

  Front(World world, Draws draws) {
    this.world = world;
    this.draws = draws.stream("front");
  }

  /** Brings a client's request to a proxy. */
  void open(Client client, String request, long due) {
    ProxyNode proxy = pick(client.zone());
    world.checks().arrived(request, due);
    if (proxy == null) {
      world.checks().noProxy(request);
      client.turnedAway(0);
      return;
    }
    world.agenda().after(world.latency(client.zone(), proxy.zone()), () -> proxy.arrives(client, request, due));
  }

  private ProxyNode pick(int zone) {
    List<ProxyNode> all = world.proxies();
    int start = draws.nextInt(all.size());
    ProxyNode elsewhere = null;
    for (int i = 0; i < all.size(); i++) {
      ProxyNode proxy = all.get((start + i) % all.size());
      if (proxy.looksAlive()) {
        if (proxy.zone() == zone) {
          return proxy;
        }
        elsewhere = elsewhere == null ? proxy : elsewhere;
      }
    }
    return elsewhere;
  }
}
