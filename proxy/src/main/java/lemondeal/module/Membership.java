package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** Applies server lists, and subscribes to them where discovery requires it. */
final class Membership {
  private static final long FIRST_CALL_SPREAD_PER_NODE = 10_000; // per node of the tier
  // Mean of the first back-off after a failed call; doubles.
  private static final long FIRST_BACKOFF = 300_000;
  // Short enough that each node calls within a second after discovery recovers.
  private static final long MAX_BACKOFF = 600_000;
  // A call that takes this long to fail has waited in discovery's queue.
  private static final long QUEUED_CALL_TIME = 300_000;
  // Mean back-off after such a call: 33 calls per second from all nodes together.
  private static final long OVERLOAD_BACKOFF_PER_NODE = 30_000;
  private static final long MAX_OVERLOAD_BACKOFF = 3_000_000;
  // An unanswered call is repeated after this: changes must take effect within 6 s.
  private static final long MAX_UNANSWERED_TIME = 5_000_000;
  static final long SUBSCRIBE_TOKEN = 0;

  private final NodeState node;
  private boolean subscribed;
  boolean listReceived; // whether discovery has delivered a list since the start
  private int failedCalls;
  private int failedQueuedCalls; // since the last list
  private long lastCallAt;
  private long nextCallAt;

  Membership(NodeState node) {
    this.node = node;
  }

  void start() {
    if (node.settings.mustSubscribe()) {
      long spread = FIRST_CALL_SPREAD_PER_NODE * node.settings.nodeCount();
      scheduleCall(1 + node.random.nextLong(
          Math.max(1, Math.min(spread, node.settings.rules().drainGrace() / 2))));
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

  /** Calls again after an exponential back-off with jitter: refused nodes must not return together. Calls to
   * a discovery that is down are cheap; an overloaded one may never recover by itself, so they back off
   * longer. */
  private void retryWithBackoff() {
    boolean wasQueued = !subscribed && node.now - lastCallAt >= QUEUED_CALL_TIME;
    subscribed = false;
    long overloadBackoff = Math.min(MAX_OVERLOAD_BACKOFF,
        OVERLOAD_BACKOFF_PER_NODE * node.settings.nodeCount());
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
    server.drainingSince = !draining ? NodeState.NEVER
        : server.drainingSince == NodeState.NEVER ? node.now : server.drainingSince;
    server.state = entry.state();
    // Weight 0 is valid (last in every ranking); an invalid weight counts as 1.
    boolean valid = entry.weight() >= 0 && entry.weight() < Double.POSITIVE_INFINITY;
    server.weight = valid ? entry.weight() : 1;
    if (entry.startedAt() != server.startedAt) {
      server.restarted(entry.startedAt());
    }
  }
}
