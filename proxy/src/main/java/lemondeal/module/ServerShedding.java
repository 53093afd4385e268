package lemondeal.module;

import lemondeal.Balancer.MessageDelay;

/** Moves a share of the clients from a server whose messages are slow, the same clients at every node. */
record ServerShedding(NodeState node, ConnectionMover mover, GroupShedding groupShedding) {
  // Share of the shortest latency target from which a server counts as near its limit.
  private static final double HIGH_LATENCY_RATIO = 0.5;
  private static final long HIGH_LATENCY_TIME = 2_000_000; // after a delay note; notes come once a second
  private static final double STEP_NEAR_TARGET = 0.05; // share of its clients that one step moves
  private static final double STEP_OVER_TARGET = 0.1;
  private static final double STEP_FAR_OVER_TARGET = 0.2;
  private static final double STEP_HOPELESS = 0.5; // clients that stay get no useful service
  private static final double MAX_SHARE = 0.8;
  private static final double FAR_OVER_TARGET_RATIO = 5; // latency over target that counts as far over
  // Latency over target from which all clients may move: none is served in time.
  private static final double HOPELESS_RATIO = 16;
  // A step must take effect before the next one; just under the interval of notes.
  private static final long STEP_INTERVAL = 900_000;
  private static final long SHARE_HALF_LIFE = 15_000_000; // once the latency is normal

  boolean isShed(Server server, RequestState request) {
    return server.shedShare > 0 && request.clientUnitHash(server) < currentShare(server);
  }

  private double currentShare(Server server) {
    long normalTime = Math.max(0, node.now - Math.max(server.shedShareAt, server.highLatencyUntil));
    return server.shedShare * StrictMath.pow(0.5, (double) normalTime / SHARE_HALF_LIFE);
  }

  void messageDelay(MessageDelay event) {
    Server server = node.servers.get(event.server());
    double ratio = event.millis() / node.shortestLatencyTargetMillis;
    if (server == null || !(ratio >= 0) || Double.isInfinite(ratio)) {
      return;
    }
    if (ratio < HIGH_LATENCY_RATIO) {
      server.highLatencyUntil = NodeState.NEVER; // it has recovered and may get clients again at once
      server.overTargetUntil = NodeState.NEVER;
      return;
    }
    server.highLatencyUntil = node.now + HIGH_LATENCY_TIME;
    server.latencyRatio = ratio;
    server.overTargetUntil = ratio >= 1 ? server.highLatencyUntil : server.overTargetUntil;
    if (mostServersOver(1)) {
      groupShedding.increaseShare(mostServersOver(FAR_OVER_TARGET_RATIO));
    } else if (node.now - server.shedShareAt >= STEP_INTERVAL) {
      increaseShare(server, ratio, event.millis());
    }
  }

  /** After the server reset connections: sheds half of its remaining clients; the others return after the
   * high-latency time. */
  void shedAfterResets(Server server) {
    server.highLatencyUntil = node.now + HIGH_LATENCY_TIME;
    server.shedShare = Math.min(MAX_SHARE, currentShare(server) + STEP_HOPELESS * (1 - currentShare(server)));
    server.shedShareAt = node.now;
  }

  private void increaseShare(Server server, double ratio, double millis) {
    double step = ratio < 1 ? STEP_NEAR_TARGET : ratio < 2 ? STEP_OVER_TARGET
        : ratio < FAR_OVER_TARGET_RATIO ? STEP_FAR_OVER_TARGET : STEP_HOPELESS;
    double previousShare = currentShare(server);
    server.shedShare = Math.min(ratio < HOPELESS_RATIO ? MAX_SHARE : 1,
        previousShare + step * (1 - previousShare));
    server.shedShareAt = node.now;
    node.log(server, "message latency " + Math.round(millis) + " ms: shedding "
        + Math.round(100 * server.shedShare) + "% of its clients");
    for (RequestState request : server.openConnections) {
      if (isShed(server, request)) {
        mover.move(request);
      }
    }
  }

  /** Whether most available servers are over the target with at least this latency ratio: then moving clients
   * would only add work. Servers without delay notes are counted, too: in a large fleet a node has notes from
   * two or three, and one late server among those is no common overload. */
  private boolean mostServersOver(double ratio) {
    int availableCount = 0;
    int overCount = 0;
    for (Server server : node.listedServers) {
      if (server.isAvailable(node.now)) {
        availableCount++;
        overCount += node.now < server.overTargetUntil && server.latencyRatio >= ratio ? 1 : 0;
      }
    }
    return overCount * 2 > availableCount;
  }
}
