package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** Takes the servers' list, and asks for it where it does not come unasked. */
final class Membership {
  private static final long ASK_SPREAD_PER_NODE = 10_000; // of first calls, for each node of the tier
  private static final long ASK_BACKOFF = 300_000; // mean of the first pause after a failed call; doubles
  private static final long ASK_BACKOFF_MOST = 600_000; // calls discovery in its first second back
  private static final long ASK_WAITED = 300_000; // a call that failed so late waited for its turn in vain
  private static final long ASK_OVERRUN_PER_NODE = 30_000; // mean pause then: 33 calls a second of all
  private static final long ASK_OVERRUN_MOST = 3_000_000;
  private static final long ASK_AGAIN_MOST = 5_000_000; // no answer came: its changes count after 6 s
  static final long TOKEN_ASK = 0;

  private final Node node;
  private boolean subscribed;
  boolean listed; // whether discovery has told a list since the start
  private int askFailures;
  private int waitedInVain; // calls since the last list
  private long askedAt;
  private long nextAsk;

  Membership(Node node) {
    this.node = node;
  }

  void start() {
    if (node.settings.mustAskForList()) {
      long spread = ASK_SPREAD_PER_NODE * node.settings.nodes();
      askAt(1 + node.random.nextLong(Math.max(1, Math.min(spread, node.settings.rules().drainGrace() / 2))));
    }
  }

  void ask() {
    if (subscribed || node.now < nextAsk) {
      return;
    }
    node.out.add(new Subscribe(true));
    askedAt = node.now;
    askAt(Math.min(node.settings.rules().askEvery() / 2, ASK_AGAIN_MOST));
  }

  private void askAt(long pause) {
    nextAsk = node.now + Math.max(1, pause);
    node.out.add(new WakeAfter(Math.max(1, pause), TOKEN_ASK));
  }

  /** Calls again after a pause that doubles and is drawn: nodes turned away must not return together. A
   * discovery that is down is cheap to call; one that is overrun may never come out of it by itself. */
  private void askLater() {
    boolean waited = !subscribed && node.now - askedAt >= ASK_WAITED;
    subscribed = false;
    long overrun = Math.min(ASK_OVERRUN_MOST, ASK_OVERRUN_PER_NODE * node.settings.nodes());
    long most = waited ? Math.max(ASK_BACKOFF_MOST, overrun) : ASK_BACKOFF_MOST;
    long pause = waited ? ASK_BACKOFF_MOST << Math.min(waitedInVain++, 8)
        : ASK_BACKOFF << Math.min(askFailures++, 8);
    askAt(Math.min(most, pause) / 2 + node.random.nextLong(Math.min(most, pause)));
  }

  void serverList(ServerList event) {
    if (event.kind() == ListKind.FAILED) {
      askLater();
      return;
    }
    if (event.kind() != ListKind.SAVED) {
      subscribed = true;
      listed = true;
      askFailures = 0;
      waitedInVain = 0;
    }
    if (event.kind() != ListKind.CHANGES) {
      node.servers.values().forEach(s -> s.state = ServerState.GONE);
    }
    for (ServerEntry entry : event.entries()) {
      update(node.server(entry.server()), entry);
    }
    node.servers.values().removeIf(s -> s.state == ServerState.GONE);
    node.fleet = node.servers.values().toArray(new Server[0]);
    Arrays.sort(node.fleet, (a, b) -> a.name.compareTo(b.name));
    node.zones = (int) node.servers.values().stream().mapToInt(s -> s.zone).distinct().count();
  }

  private void update(Server s, ServerEntry entry) {
    s.zone = entry.zone();
    s.cell = entry.cell();
    boolean drains = entry.state() != ServerState.READY;
    s.drainingSince = !drains ? Node.NEVER : s.drainingSince == Node.NEVER ? node.now : s.drainingSince;
    s.state = entry.state();
    // Zero is taken at its word (last in every ranking); what is no weight at all counts as 1.
    boolean sane = entry.weight() >= 0 && entry.weight() < Double.POSITIVE_INFINITY;
    s.weight = sane ? entry.weight() : 1;
    if (entry.startedAt() != s.startedAt) {
      s.restarted(entry.startedAt());
    }
  }
}
