import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The platform's discovery has too many callers just when two of three proxies are killed at once; two of eight servers
 * begin to drain while they are away. The proxies come back with the list that they had.
 */
final class CrowdedDiscovery {
  private static final int PROXIES = 3;
  private static final int KILLED = 2;
  private static final long AWAY_MILLIS = 2600;
  private static final long CROWDED_MILLIS = 17_000;
  /** STANDING: a change counts as told at the latest so long after discovery had it and could be reached. */
  private static final long TOLD_AFTER_MILLIS = 6000;
  private static final long DRAIN_GRACE_MILLIS = 1000;

  public static void main(String[] arguments) {
    Rig.main(arguments, CrowdedDiscovery::run);
  }

  private static int run(Rig rig) throws Exception {
    Discovery discovery = new Discovery(rig);
    List<LinkServer> servers = new ArrayList<>();
    List<String> known = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      servers.add(new LinkServer(rig, "s-" + i));
      discovery.put(servers.get(i - 1), "hobart", "in_service");
      known.add(Discovery.entry(servers.get(i - 1), "hobart", "in_service"));
    }
    List<Rig.Proxy> proxies = new ArrayList<>();
    List<Clients> clients = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      proxies.add(start(rig, i, discovery, String.join(",", known)));
      clients.add(new Clients(rig, proxies.get(i).port));
    }
    clients.forEach(some -> some.start(100, 3000));
    rig.sleepUntil(rig.now() + 3000);
    for (int i = 0; i < KILLED; i++) {
      clients.get(i).end();
      proxies.get(i).kill();
      rig.note("proxy n" + i + " is killed");
    }
    double killedAt = rig.now();
    if (rig.trouble) {
      discovery.crowd(CROWDED_MILLIS);
    }
    rig.sleepUntil(killedAt + 1000);
    List<LinkServer> draining = servers.subList(0, 2);
    long version = 0;
    for (LinkServer server : draining) {
      server.drain();
      version = discovery.put(server, "hobart", "terminating");
    }
    double toldToOthers = rig.now();
    rig.sleepUntil(killedAt + AWAY_MILLIS);
    for (int i = 0; i < KILLED; i++) {
      proxies.set(i, start(rig, i, discovery, String.join(",", known)));
    }
    // Discovery had the change before the new processes began; the limit counts from when the last of them listened.
    double told = rig.now() + TOLD_AFTER_MILLIS;
    for (int i = 0; i < KILLED; i++) {
      clients.set(i, new Clients(rig, proxies.get(i).port));
      clients.get(i).start(100, 3000);
    }
    double lastAllowed = told + DRAIN_GRACE_MILLIS + Rig.SOCKET_SLACK_MILLIS;
    rig.sleepUntil(killedAt + CROWDED_MILLIS + 6000);
    clients.forEach(Clients::end);
    rig.say(String.format("changed at %.0f, counts as told at %.0f at the latest, sends end by %.0f", toldToOthers, told,
        lastAllowed));
    rig.note("first written to a proxy at " + discovery.toldAt(version));
    clients.forEach(some -> rig.say(some.summary()));
    return Verdicts.drained(rig, draining, lastAllowed, clients.get(0));
  }

  private static Rig.Proxy start(Rig rig, int slot, Discovery discovery, String known) throws Exception {
    return rig.startProxy(Map.of("GW_CONFIG", rig.write("config-" + slot + ".json",
        Site.config("n" + slot, slot, PROXIES, discovery.address(), known)).toString()));
  }
}
