import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Servers from Consul: six of ten become critical in one transaction, without trouble one after another, and stop some
 * seconds later. Their replacements register within six seconds.
 */
final class ManyCritical {
  private static final long DRAIN_GRACE_MILLIS = 1000;
  /** The critical servers stop so long after the proxy was told. */
  private static final long STOP_AFTER_MILLIS = 3500;

  public static void main(String[] arguments) {
    Rig.main(arguments, ManyCritical::run);
  }

  private static int run(Rig rig) throws Exception {
    Consul consul = new Consul(rig);
    Consul.Agent agent = consul.agent("a-1");
    List<LinkServer> servers = new ArrayList<>();
    for (int i = 1; i <= 10; i++) {
      servers.add(new LinkServer(rig, "s-" + i));
      consul.register(servers.get(i - 1), "hobart");
    }
    String operator = "version: 1\ndiscovery:\n  consul:\n    agents: ['" + agent.address()
        + "']\n    service: link\n    wait: 30s\n    zone: {from: tag, key: 'zone='}\n";
    Rig.Proxy proxy = rig.startProxy(Map.of(
        "GW_CONFIG", rig.write("config.json", Site.config("127.0.0.1:1", "")).toString(),
        "GW_OPERATOR_CONFIG", rig.write("operator.yaml", operator).toString()));
    if (proxy.awaitLine("lemondeal: ready", 15_000) == null) {
      rig.say("could not run: the proxy was not ready");
      return Rig.NOT_RUN;
    }
    Clients clients = new Clients(rig, proxy.port);
    clients.start(50, 3000);
    rig.sleepUntil(rig.now() + 5000);
    List<LinkServer> draining = servers.subList(0, 6);
    long index = 0;
    if (rig.trouble) {
      index = consul.setStatus("critical", draining);
    } else {
      for (LinkServer server : draining) {
        rig.sleepUntil(rig.now() + 500);
        index = consul.setStatus("critical", List.of(server));
      }
    }
    for (int i = 11; i <= 13; i++) {
      rig.sleepUntil(rig.now() + 1000);
      consul.register(new LinkServer(rig, "s-" + i), "hobart");
    }
    double told = consul.toldAt(index);
    if (Double.isNaN(told)) {
      rig.say("could not run: the proxy did not ask Consul");
      return Rig.NOT_RUN;
    }
    double lastAllowed = told + DRAIN_GRACE_MILLIS + Rig.SOCKET_SLACK_MILLIS;
    rig.say(String.format("told at %.0f, sends end by %.0f", told, lastAllowed));
    rig.sleepUntil(told + STOP_AFTER_MILLIS);
    for (LinkServer server : draining) {
      server.stop();
    }
    for (int i = 14; i <= 16; i++) {
      rig.sleepUntil(rig.now() + 1000);
      consul.register(new LinkServer(rig, "s-" + i), "hobart");
    }
    rig.sleepUntil(rig.now() + 5000);
    clients.end();
    rig.say(clients.summary());
    return Verdicts.drained(rig, draining, lastAllowed, clients);
  }
}
