import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Servers from Consul with two agents. The agent that is asked falls silent under a blocking query; a second later two
 * of four servers become critical, which the other agent would tell at once.
 */
final class SilentAgent {
  /** Of the blocking query, as CONSUL.md's example has it. */
  private static final long WAIT_MILLIS = 30_000;
  private static final long DRAIN_GRACE_MILLIS = 1000;

  public static void main(String[] arguments) {
    Rig.main(arguments, SilentAgent::run);
  }

  private static int run(Rig rig) throws Exception {
    Consul consul = new Consul(rig);
    Consul.Agent first = consul.agent("a-1");
    Consul.Agent second = consul.agent("a-2");
    List<LinkServer> servers = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      servers.add(new LinkServer(rig, "s-" + i));
      consul.register(servers.get(i - 1), "hobart");
    }
    String operator = "version: 1\ndiscovery:\n  consul:\n    agents: ['" + first.address() + "', '" + second.address()
        + "']\n    service: link\n    wait: " + WAIT_MILLIS / 1000 + "s\n    zone: {from: tag, key: 'zone='}\n";
    Rig.Proxy proxy = rig.startProxy(Map.of(
        "GW_CONFIG", rig.write("config.json", Site.config("127.0.0.1:1", "")).toString(),
        "GW_OPERATOR_CONFIG", rig.write("operator.yaml", operator).toString()));
    if (proxy.awaitLine("lemondeal: ready", 15_000) == null) {
      rig.say("could not run: the proxy was not ready");
      return Rig.NOT_RUN;
    }
    Clients clients = new Clients(rig, proxy.port);
    clients.start(25, 3000);
    rig.sleepUntil(rig.now() + 3000);
    double queryAt = consul.lastQueryAt;
    if (rig.trouble) {
      first.fallSilent();
    }
    rig.sleepUntil(rig.now() + 1000);
    List<LinkServer> draining = servers.subList(0, 2);
    long index = consul.setStatus("critical", draining);
    // A long poll: what a silent watch misses counts as told 2 s after its wait is over. Consul may lengthen the wait
    // by a sixteenth, which is allowed for.
    double told = queryAt + WAIT_MILLIS + WAIT_MILLIS / 16 + 2000;
    rig.sleepUntil(rig.now() + (rig.trouble ? 0 : 2000));
    if (!Double.isNaN(consul.toldAt(index))) {
      told = Math.min(told, consul.toldAt(index));
    }
    double lastAllowed = told + DRAIN_GRACE_MILLIS + Rig.SOCKET_SLACK_MILLIS;
    rig.say(String.format("the query was made at %.0f; the change counts as told at %.0f, sends end by %.0f", queryAt,
        told, lastAllowed));
    rig.sleepUntil(queryAt + WAIT_MILLIS + 10_000);
    clients.end();
    rig.say(clients.summary());
    return Verdicts.drained(rig, draining, lastAllowed, clients);
  }
}
