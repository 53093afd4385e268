package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** Takes the servers' list, and asks for it where it does not come unasked. */
final class Membership {
  private static final long FIRST_CALL_SPREAD_PER_NODE = 10_000; // of first calls, for each node of the tier
  private static final long FIRST_BACKOFF = 300_000; // mean of the first pause after a failed call; doubles
  private static final long MAX_BACKOFF = 600_000; // calls discovery in its first second back
  private static final long QUEUED_CALL_TIME = 300_000; // a call that failed so late waited for its turn in vain
  private static final long OVERLOAD_BACKOFF_PER_NODE = 30_000; // mean pause then: 33 calls a second of all
  private static final long MAX_OVERLOAD_BACKOFF = 3_000_000;
  private static final long MAX_UNANSWERED_TIME = 5_000_000; // no answer came: its changes count after 6 s
  static final long SUBSCRIBE_TOKEN = 0;

  private final NodeState node;
  private boolean subscribed;
  boolean listReceived; // whether discovery has told a list since the start
  private int failedCalls;
  private int failedQueuedCalls; // calls since the last list
  private long lastCallAt;
  private long nextCallAt;

  Membership(NodeState node) {
    this.node = node;
  }

  void start() {
    if (node.settings.mustSubscribe()) {
      long spread = FIRST_CALL_SPREAD_PER_NODE * node.settings.nodeCount();
      scheduleCall(1 + node.random.nextLong(Math.max(1, Math.min(spread, node.settings.rules().drainGrace() / 2))));
    }
  }

  void subscribe() {
    if (subscribed || node.now < nextCallAt) {
      return;
    }
    node.actions.add(new Subscribe(true));
    lastCallAt = node.now;
    scheduleCall(Math.min(node.settings.rules().listPollInterval() / 2, MAX_UNANSWERED_TIME));
  }

  private void scheduleCall(long delay) {
    nextCallAt = node.now + Math.max(1, delay);
    node.actions.add(new WakeAfter(Math.max(1, delay), SUBSCRIBE_TOKEN));
  }

  /** Calls again after a pause that doubles and is drawn: nodes turned away must not return together. A
   * discovery that is down is cheap to call; one that is overrun may never come out of it by itself. */
  private void retryWithBackoff() {
    boolean wasQueued = !subscribed && node.now - lastCallAt >= QUEUED_CALL_TIME;
    subscribed = false;
    long overloadBackoff = Math.min(MAX_OVERLOAD_BACKOFF, OVERLOAD_BACKOFF_PER_NODE * node.settings.nodeCount());
    long maxBackoff = wasQueued ? Math.max(MAX_BACKOFF, overloadBackoff) : MAX_BACKOFF;
    long backoff = wasQueued ? MAX_BACKOFF << Math.min(failedQueuedCalls++, 8)
        : FIRST_BACKOFF << Math.min(failedCalls++, 8);
    scheduleCall(Math.min(maxBackoff, backoff) / 2 + node.random.nextLong(Math.min(maxBackoff, backoff)));
  }

  void applyList(ServerList event) {
    if (event.kind() == ListKind.FAILED) {
      retryWithBackoff();
      return;
    }
    if (event.kind() != ListKind.SAVED) {
      subscribed = true;
      listReceived = true;
      failedCalls = 0;
      failedQueuedCalls = 0;
    }
    if (event.kind() != ListKind.CHANGES) {
      node.servers.values().forEach(s -> s.state = ServerState.GONE);
    }
    for (ServerEntry entry : event.entries()) {
      applyEntry(node.getOrCreateServer(entry.server()), entry);
    }
    node.servers.values().removeIf(s -> s.state == ServerState.GONE);
    node.listedServers = node.servers.values().toArray(new Server[0]);
    Arrays.sort(node.listedServers, (a, b) -> a.name.compareTo(b.name));
    node.zoneCount = (int) node.servers.values().stream().mapToInt(s -> s.zone).distinct().count();
  }

  private void applyEntry(Server server, ServerEntry entry) {
    server.zone = entry.zone();
    server.cell = entry.cell();
    boolean draining = entry.state() != ServerState.READY;
    server.drainingSince = !draining ? NodeState.NEVER : server.drainingSince == NodeState.NEVER ? node.now : server.drainingSince;
    server.state = entry.state();
    // Zero is taken at its word (last in every ranking); what is no weight at all counts as 1.
    boolean valid = entry.weight() >= 0 && entry.weight() < Double.POSITIVE_INFINITY;
    server.weight = valid ? entry.weight() : 1;
    if (entry.startedAt() != server.startedAt) {
      server.restarted(entry.startedAt());
    }
  }
}
