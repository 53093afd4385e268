import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Servers from Consul, read by four proxies. Consul is down for 20 s; two of four servers become critical meanwhile,
 * which it tells whoever asks once it is back. They stop in the end.
 */
final class ConsulReturns {
  private static final long DOWN_MILLIS = 20_000;
  /** STANDING: a change counts as told at the latest so long after discovery had it and could be reached. */
  private static final long TOLD_AFTER_MILLIS = 6000;
  private static final long DRAIN_GRACE_MILLIS = 1000;
  /** The draining servers stop so long after no new work may come. */
  private static final long STOP_AFTER_MILLIS = 5000;
  private static final int PROXIES = 4;

  public static void main(String[] arguments) {
    Rig.main(arguments, ConsulReturns::run);
  }

  private static int run(Rig rig) throws Exception {
    Consul consul = new Consul(rig);
    Consul.Agent agent = consul.agent("a-1");
    List<LinkServer> servers = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      servers.add(new LinkServer(rig, "s-" + i));
      consul.register(servers.get(i - 1), "hobart");
    }
    String operator = "version: 1\ndiscovery:\n  consul:\n    agents: ['" + agent.address()
        + "']\n    service: link\n    wait: 30s\n    zone: {from: tag, key: 'zone='}\n";
    Map<String, String> environment = new HashMap<>();
    environment.put("GW_OPERATOR_CONFIG", rig.write("operator.yaml", operator).toString());
    List<Clients> clients = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      environment.put("GW_CONFIG", rig.write("config-" + i + ".json",
          Site.config("n" + i, i, PROXIES, "127.0.0.1:1", "")).toString());
      Rig.Proxy proxy = rig.startProxy(environment);
      if (proxy.awaitLine("lemondeal: ready", 15_000) == null) {
        rig.say("could not run: a proxy was not ready");
        return Rig.NOT_RUN;
      }
      clients.add(new Clients(rig, proxy.port));
    }
    clients.forEach(some -> some.start(100, 3000));
    rig.sleepUntil(rig.now() + 4000);
    List<LinkServer> draining = servers.subList(0, 2);
    double told;
    if (rig.trouble) {
      agent.stop();
      rig.sleepUntil(rig.now() + DOWN_MILLIS / 2);
      consul.setStatus("critical", draining);
      rig.sleepUntil(rig.now() + DOWN_MILLIS / 2);
      agent.restart();
      told = rig.now() + TOLD_AFTER_MILLIS;
    } else {
      told = rig.now() + TOLD_AFTER_MILLIS;
      consul.setStatus("critical", draining);
    }
    double lastAllowed = told + DRAIN_GRACE_MILLIS + Rig.SOCKET_SLACK_MILLIS;
    rig.say(String.format("the change counts as told at %.0f at the latest, sends end by %.0f", told, lastAllowed));
    rig.sleepUntil(lastAllowed + STOP_AFTER_MILLIS);
    for (LinkServer server : draining) {
      server.stop();
    }
    rig.sleepUntil(lastAllowed + (rig.trouble ? 15_000 : 7000));
    clients.forEach(Clients::end);
    clients.forEach(some -> rig.say(some.summary()));
    return Verdicts.drained(rig, draining, lastAllowed, clients.get(0));
  }
}
