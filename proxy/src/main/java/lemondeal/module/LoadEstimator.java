package lemondeal.module;

import lemondeal.Balancer.*;

/** Estimates server load from reports, message latency and sends since the report; decides when to probe. */
record LoadEstimator(NodeState node) {
  // Load divided by capacity above which new clients skip the server.
  private static final double FULL_DEMAND = 0.65;
  private static final double OVERLOAD_DEMAND = 1; // above this it gets no requests at all
  private static final long REPORT_VALIDITY = 1_500_000; // a few of the longest refresh intervals
  // Validity of assumed sends of other nodes: longest refresh interval and network delay.
  private static final long ASSUMPTION_VALIDITY = 300_000;
  // Multiple of its fair share of this node's load that a server may get.
  private static final double FAIR_SHARE_FACTOR = 1.5;
  // Connections that a server may get in addition: a node may have few.
  private static final double FAIR_SHARE_EXTRA_CONNECTIONS = 3;
  // Lower bound of the divisor when the load per connection is computed.
  private static final double MIN_CONNECTIONS_PER_ESTIMATE = 5;
  private static final double DEFAULT_FREE_SHARE = 0.35; // free share of capacity without a fresh report
  private static final double MIN_FREE_SHARE = 0.02;
  private static final double HIGH_LATENCY_FACTOR = 0.3; // applied to a score at high latency
  private static final double EJECTED_FACTOR = 0.1; // applied to a score while ejected
  static final long PROBE_WAIT = 25_000; // how long a request waits for a probe: a few round trips
  private static final int MAX_PROBES_PER_REQUEST = 4;

  void recordReport(Server server, LoadReport report) {
    if (report != null && report.demand() >= 0 && report.demand() < Double.POSITIVE_INFINITY) {
      server.reportedDemand = report.demand();
      server.reportedAt = node.now;
      server.reportedConnections = report.openConnections();
      server.sendsSinceReport = 0;
    }
  }

  boolean isReportFresh(Server server) {
    return node.now - server.reportedAt < REPORT_VALIDITY;
  }

  /** The reported load plus that of sends since the report. The other nodes are assumed to send as much as
   * this one, and each connection to add the mean load of those there. Prevents a whole burst from going to
   * one server because of an old report. */
  private double expectedDemand(Server server) {
    double demandPerConnection = server.reportedConnections > 0
        ? server.reportedDemand / Math.max(MIN_CONNECTIONS_PER_ESTIMATE, server.reportedConnections) : 0;
    return server.reportedDemand + demandPerConnection * server.sendsSinceReport
        * Math.max(1, node.settings.nodeCount());
  }

  /** Whether it is full only by the assumed sends of other nodes; such a server is probed again soon.
   * Otherwise a burst makes all servers look full to all nodes of a large fleet, and the rest of the burst
   * goes by rank to one that is nearly full. */
  private boolean isFullByAssumption(Server server) {
    return server.reportedDemand <= FULL_DEMAND && expectedDemand(server) > FULL_DEMAND;
  }

  boolean isFull(Server server) {
    return node.now < server.highLatencyUntil
        || (isReportFresh(server) && expectedDemand(server) > FULL_DEMAND
            && !(isFullByAssumption(server) && node.now - server.reportedAt > ASSUMPTION_VALIDITY));
  }

  /** Until when the server gets no requests, not even as a last resort, because it is over its latency target
   * or capacity: one more client costs the present ones more than it gains. Such a request is held while
   * capacity may become free in time, and otherwise refused. */
  long overLimitUntil(Server server) {
    long byDemand = server.reportedDemand > OVERLOAD_DEMAND ? server.reportedAt + REPORT_VALIDITY
        : isFullByAssumption(server) && expectedDemand(server) > OVERLOAD_DEMAND
            ? server.reportedAt + ASSUMPTION_VALIDITY : NodeState.NEVER;
    return Math.max(server.overTargetUntil, byDemand);
  }

  /** Factor on the score of a skipped server, by which skipped servers are ranked against each other. */
  double freeCapacityFactor(Server server) {
    double freeShare = isReportFresh(server) ? Math.max(MIN_FREE_SHARE, 1 - expectedDemand(server))
        : DEFAULT_FREE_SHARE;
    double latencyFactor = node.now < server.highLatencyUntil ? HIGH_LATENCY_FACTOR : 1;
    return freeShare * freeShare * latencyFactor * (node.now < server.ejectedUntil ? EJECTED_FACTOR : 1);
  }

  /** Without load reports: whether the hinted load of this node's requests there far exceeds the server's
   * fair share. Groups are few and spread unevenly: one server once ranked first for four of six. */
  boolean exceedsFairShare(Server server, RequestState request, ServerTotals totals) {
    if (node.settings.probesReportLoad()) {
      return false;
    }
    double maxLoad = FAIR_SHARE_FACTOR * totals.hintedLoad(request)
        * server.weight / totals.availableWeight();
    return server.hintedLoad - FAIR_SHARE_EXTRA_CONNECTIONS * request.loadHint > maxLoad;
  }

  boolean shouldProbe(Server server, RequestState request) {
    boolean mayProbe = node.settings.probesReportLoad() && node.settings.limits().mayProbe();
    return mayProbe && request.probeCount < MAX_PROBES_PER_REQUEST
        && node.now - server.reportedAt > (isFullByAssumption(server) ? ASSUMPTION_VALIDITY : REPORT_VALIDITY)
        && node.now - server.probedAt > PROBE_WAIT;
  }

  void probe(Server server) {
    server.probedAt = node.now;
    server.probeInFlight = true;
    node.actions.add(new Probe(server.name));
  }

  /** An unanswered probe shows that a server hangs earlier than any set-up can. */
  boolean isProbeOverdue(Server server) {
    return server.probeInFlight && node.now - server.probedAt >= PROBE_WAIT;
  }
}
