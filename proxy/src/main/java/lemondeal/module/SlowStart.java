package lemondeal.module;

import static lemondeal.module.Rendezvous.*;

import lemondeal.Balancer.*;

/** Keeps what the fleet sends together to a server started lately within what that can take. */
final class SlowStart {
  private static final double ASSUMED_EXTRA_SENDS = 0.5; // sends reckoned beside those of the last window: it saw few

  private final NodeState node;
  private final LoadEstimator load;
  private int openConnections;
  private int peakOpenConnections;
  private double decayedSends;
  private long decayedSendsAt = NodeState.NEVER;

  SlowStart(NodeState node, LoadEstimator load) {
    this.node = node;
    this.load = load;
  }

  void connectionsChanged(int delta) {
    openConnections += delta;
    peakOpenConnections = Math.max(peakOpenConnections, openConnections);
  }

  void recordSend(Server server) {
    if (age(server) < node.settings.rules().warmUpTime()) {
      rollWindow(server);
      server.coldSends++;
    }
    decayedSends = 1 + recentSends();
    decayedSendsAt = node.now;
  }

  /** Sends of this node in the last window, by a count that fades. */
  private double recentSends() {
    double elapsedWindows = (double) (node.now - decayedSendsAt) / Math.max(1, node.settings.rules().overloadWindow());
    return decayedSends * StrictMath.exp(-elapsedWindows);
  }

  private long age(Server server) {
    return server.startedAt == 0 ? Long.MAX_VALUE : Math.max(0, node.now - server.startedAt);
  }

  /** Share of its capacity that a server has for certain: grows evenly from the cold share to all. */
  double capacityShare(Server server) {
    long age = age(server);
    Rules rules = node.settings.rules();
    if (age >= rules.warmUpTime()) {
      return 1;
    }
    double startShare = Math.max(0.01, Math.min(1, rules.coldCapacityShare()));
    return startShare + (1 - startShare) * age / rules.warmUpTime();
  }

  /** Slow start: of a server's keys, the share of clients that it has the capacity for by now. Cut by
   * client, not by a lower weight: a whole group of clients would push over what is still cold. */
  boolean holdsBack(Server server, RequestState request) {
    return age(server) < node.settings.rules().warmUpTime() && request.clientUnitHash(server) < 1 - capacityShare(server);
  }

  /** Whether this node may send to the server now without eating into the other nodes' cold budget. */
  boolean admits(Server server, ServerTotals totals) {
    if (age(server) >= node.settings.rules().warmUpTime()) {
      return true;
    }
    rollWindow(server);
    return server.coldSends < sendAllowance(server, totals);
  }

  private void rollWindow(Server server) {
    long window = age(server) / Math.max(1, node.settings.rules().overloadWindow());
    if (server.coldWindow != window) {
      server.coldWindow = window;
      server.coldSends = 0;
    }
  }

  /** This node's sends to a cold server in the present window. The fleet's budget is dealt out send by send,
   * from a node that changes with the window: the shares sum to it without a word among the nodes. While few
   * requests come most shares lapse, and where servers report a node may use one out of turn: what others
   * sent is in the report. Without, a hundred nodes with a call each would overspend it. None in the
   * window in which this node began. */
  private int sendAllowance(Server server, ServerTotals totals) {
    Rules rules = node.settings.rules();
    double budget = rules.overloadMultiple() * capacityShare(server) * fillRate(server, totals) * rules.overloadWindow() / 1e6;
    long rotation = mix(server.hash ^ mix(server.startedAt + server.coldWindow));
    long fleetSends = (long) (budget + toUnitInterval(mix(rotation)));
    int nodeCount = Math.max(1, node.settings.nodeCount());
    long position = Math.floorMod(node.settings.nodeIndex() + rotation, (long) nodeCount);
    long allowance = Math.max(0, (fleetSends - position + nodeCount - 1) / nodeCount);
    boolean mayExceedAllowance = loadReportsAvailable() && fleetSends > 0 && allowance == 0 && !wouldOverspend(server, budget, totals);
    boolean nodeJustStarted = server.startedAt < node.startedAt && node.now - node.startedAt < rules.overloadWindow();
    return nodeJustStarted ? 0 : mayExceedAllowance ? 1 : (int) Math.min(Integer.MAX_VALUE, allowance);
  }

  /** Whether a server's own word on its load can be had before a request is sent there. */
  private boolean loadReportsAvailable() {
    return node.settings.probesReportLoad() && node.settings.limits().mayProbe();
  }

  /** New connections a second that fill a server of this weight over its warm-up, judged low: from the most
   * connections that this node held, which a node just restarted has not seen. */
  private double fillRate(Server server, ServerTotals totals) {
    double connectionsPerSecond = peakOpenConnections / (node.settings.rules().warmUpTime() / 1e6);
    double totalWeight = totals.readyWeight();
    return totalWeight > 0 ? connectionsPerSecond * node.settings.nodeCount() * server.weight / totalWeight : 0;
  }

  /** Whether the nodes together would overspend the budget if all sent as this one does lately. Counts only
   * servers that take clients now: with the others passed over, a cold one would get the herd. */
  private boolean wouldOverspend(Server server, double budget, ServerTotals totals) {
    double acceptingWeight = totals.acceptingWeight(load, this);
    double share = acceptingWeight > 0 ? Math.min(1, server.weight * capacityShare(server) / acceptingWeight) : 1;
    return node.settings.nodeCount() * (ASSUMED_EXTRA_SENDS + recentSends()) * share > budget;
  }
}
