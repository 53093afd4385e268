package lemondeal.module;

import static lemondeal.module.Rendezvous.*;

import lemondeal.Balancer.*;

/** Slow start: bounds what all nodes together send to a recently started server by its capacity. */
final class SlowStart {
  private static final double ASSUMED_EXTRA_SENDS = 0.5; // beside the recent sends of a node, which are few

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

  /** Sends of this node in about the last window, as an exponentially decaying count. */
  private double recentSends() {
    double elapsedWindows = (double) (node.now - decayedSendsAt)
        / Math.max(1, node.settings.rules().overloadWindow());
    return decayedSends * StrictMath.exp(-elapsedWindows);
  }

  private long age(Server server) {
    return server.startedAt == 0 ? Long.MAX_VALUE : Math.max(0, node.now - server.startedAt);
  }

  /** Share of its capacity that a server certainly has: grows linearly from the cold share to 1. */
  double capacityShare(Server server) {
    long age = age(server);
    Rules rules = node.settings.rules();
    if (age >= rules.warmUpTime()) {
      return 1;
    }
    double startShare = Math.max(0.01, Math.min(1, rules.coldCapacityShare()));
    return startShare + (1 - startShare) * age / rules.warmUpTime();
  }

  /** Whether the client is outside the share of the server's clients that it has the capacity for so far. The
   * share is selected by client, not by a lower weight: a whole group of clients would overload a cold
   * server. */
  boolean holdsBack(Server server, RequestState request) {
    return age(server) < node.settings.rules().warmUpTime()
        && request.clientUnitHash(server) < 1 - capacityShare(server);
  }

  /** Whether this node may send to the server now without using the other nodes' part of the budget. */
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

  /** This node's sends to a cold server in the present window. The budget of all nodes is allotted send by
   * send in rotation, starting at a node that changes with the window: the allowances sum to the budget
   * without communication. With few requests most allowances go unused, so where servers report their load a
   * node without an allowance may send one request: the report shows what others sent. Without reports, a
   * hundred nodes with one send each would exceed the budget. No sends in the window in which this node
   * started. */
  private int sendAllowance(Server server, ServerTotals totals) {
    Rules rules = node.settings.rules();
    double budget = rules.overloadMultiple() * capacityShare(server) * fillRate(server, totals)
        * rules.overloadWindow() / 1e6;
    long rotation = mix(server.hash ^ mix(server.startedAt + server.coldWindow));
    long fleetSends = (long) (budget + toUnitInterval(mix(rotation)));
    int nodeCount = Math.max(1, node.settings.nodeCount());
    long position = Math.floorMod(node.settings.nodeIndex() + rotation, (long) nodeCount);
    long allowance = Math.max(0, (fleetSends - position + nodeCount - 1) / nodeCount);
    boolean mayExceedAllowance = loadReportsAvailable() && fleetSends > 0 && allowance == 0
        && !wouldOverspend(server, budget, totals);
    boolean nodeJustStarted = server.startedAt < node.startedAt
        && node.now - node.startedAt < rules.overloadWindow();
    return nodeJustStarted ? 0 : mayExceedAllowance ? 1 : (int) Math.min(Integer.MAX_VALUE, allowance);
  }

  /** Whether a server's load report can be obtained before a request is sent there. */
  private boolean loadReportsAvailable() {
    return node.settings.probesReportLoad() && node.settings.limits().mayProbe();
  }

  /** New connections per second that fill a server of this weight over its warm-up. A low estimate, from the
   * peak of this node's open connections, which is small after a restart. */
  private double fillRate(Server server, ServerTotals totals) {
    double connectionsPerSecond = peakOpenConnections / (node.settings.rules().warmUpTime() / 1e6);
    double totalWeight = totals.readyWeight();
    return totalWeight > 0
        ? connectionsPerSecond * node.settings.nodeCount() * server.weight / totalWeight : 0;
  }

  /** Whether the nodes together would exceed the budget if all sent at this node's recent rate. Counts
   * only servers that accept clients now: while the others are skipped, a cold one would get all of the
   * traffic. */
  private boolean wouldOverspend(Server server, double budget, ServerTotals totals) {
    double acceptingWeight = totals.acceptingWeight(load, this);
    double share = acceptingWeight > 0
        ? Math.min(1, server.weight * capacityShare(server) / acceptingWeight) : 1;
    return node.settings.nodeCount() * (ASSUMED_EXTRA_SENDS + recentSends()) * share > budget;
  }
}
