import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A proxy with sound servers and usual clients, for cases with bad clients at it, and a second proxy of the same kind
 * without any: if that one's clients are not answered either, the machine is to blame and the case could not run.
 */
final class Exchange {
  private static final int SERVERS = 10;
  private static final int CLIENT_INTERVAL_MILLIS = 150;
  private static final int CLIENT_STAY_MILLIS = 3000;
  /** The longest deadline of a class, and what is added before a request counts as unanswered. */
  private static final long LAST_ANSWER_MILLIS = 6000;

  final Rig.Proxy proxy;
  private final Rig rig;
  private final List<Clients> usual = new ArrayList<>();

  /** Starts everything; the usual clients come from now on. */
  Exchange(Rig rig) throws Exception {
    this.rig = rig;
    Discovery discovery = new Discovery(rig);
    for (int i = 1; i <= SERVERS; i++) {
      discovery.put(new LinkServer(rig, "s-" + i), "hobart", "in_service");
    }
    proxy = start(discovery, 0);
    Rig.Proxy other = start(discovery, 1);
    usual.add(new Clients(rig, proxy.port));
    usual.add(new Clients(rig, other.port));
    usual.forEach(clients -> clients.start(CLIENT_INTERVAL_MILLIS, CLIENT_STAY_MILLIS));
  }

  private Rig.Proxy start(Discovery discovery, int slot) throws Exception {
    Rig.Proxy started = rig.startProxy(Map.of("GW_CONFIG", rig.write("config-" + slot + ".json",
        Site.config("n" + slot, slot, 2, discovery.address(), "")).toString()));
    if (started.awaitLine("lemondeal: ready", 15_000) == null) {
      throw new IllegalStateException("a proxy was not ready");
    }
    return started;
  }

  /** Whether each usual request so far was answered, at both proxies. */
  boolean isSound() {
    usual.forEach(clients -> rig.say("so far " + clients.summary()));
    return usual.stream().allMatch(clients -> clients.up.get() > 0 && clients.unanswered.get() == 0);
  }

  /** Ends the usual clients, and tells whether each request of theirs got a line in time. */
  int verdict() throws InterruptedException {
    usual.forEach(Clients::end);
    rig.sleepUntil(rig.now() + LAST_ANSWER_MILLIS);
    Clients here = usual.get(0);
    Clients elsewhere = usual.get(1);
    rig.say("at the proxy with the bad clients: " + here.summary());
    rig.say("at the other proxy: " + elsewhere.summary());
    if (elsewhere.unanswered.get() > 0) {
      rig.say("could not run: the machine was too slow for the other proxy, too");
      return Rig.NOT_RUN;
    }
    if (!proxy.isAlive()) {
      rig.say("broken: the proxy has ended");
      return Rig.BROKEN;
    }
    if (here.unanswered.get() > 0) {
      rig.say("broken: " + here.unanswered + " usual requests got no answer by 0.6 s after their time");
      return Rig.BROKEN;
    }
    rig.say("held: every usual request was answered");
    return Rig.HELD;
  }
}
