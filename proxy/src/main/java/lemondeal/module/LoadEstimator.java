package lemondeal.module;

import lemondeal.Balancer.*;

/** How full a server is, by its reports, its messages and what was sent to it since; when it is asked. */
record LoadEstimator(NodeState node) {
  private static final double FULL_DEMAND = 0.65; // reported load over capacity that new clients pass over
  private static final double OVERLOAD_DEMAND = 1; // the same from which it takes nobody at all
  private static final long REPORT_VALIDITY = 1_500_000; // a report speaks for a few of the longest refreshes
  private static final long ASSUMPTION_VALIDITY = 300_000; // assumptions on other nodes: longest refresh and the way
  private static final double FAIR_SHARE_FACTOR = 1.5; // times its part of the node's own load that a server may get
  private static final double FAIR_SHARE_EXTRA_CONNECTIONS = 3; // connections more than that: a node may hold few
  private static final double MIN_CONNECTIONS_PER_ESTIMATE = 5; // held at least, where one connection's load is reckoned
  private static final double DEFAULT_FREE_SHARE = 0.35; // free share of capacity where nothing was reported lately
  private static final double MIN_FREE_SHARE = 0.02;
  private static final double HIGH_LATENCY_FACTOR = 0.3; // what counts of a score where the server is hot
  private static final double EJECTED_FACTOR = 0.1; // the same where it failed lately
  static final long PROBE_WAIT = 25_000; // a request waits a few round trips for a probe
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

  /** The load reported and what came since: own sends, which the others are taken to make too, by the load of
   * a connection there. Guards against a burst that all goes to one server on the word of an old report. */
  private double expectedDemand(Server server) {
    double demandPerConnection = server.reportedConnections > 0 ? server.reportedDemand / Math.max(MIN_CONNECTIONS_PER_ESTIMATE, server.reportedConnections) : 0;
    return server.reportedDemand + demandPerConnection * server.sendsSinceReport * Math.max(1, node.settings.nodeCount());
  }

  /** Whether only what others are taken to have sent makes it full: that is soon asked again. Else a burst
   * makes all look full to all nodes of a large fleet, and rank alone sends the rest to one nearly full. */
  private boolean isFullByAssumption(Server server) {
    return server.reportedDemand <= FULL_DEMAND && expectedDemand(server) > FULL_DEMAND;
  }

  boolean isFull(Server server) {
    return node.now < server.highLatencyUntil || (isReportFresh(server) && expectedDemand(server) > FULL_DEMAND
        && !(isFullByAssumption(server) && node.now - server.reportedAt > ASSUMPTION_VALIDITY));
  }

  /** A server whose messages come late takes nobody, not even as a last resort: one more costs those that it
   * holds more than the newcomer gains, who waits while a place may come free in time and else is refused. */
  long overLimitUntil(Server server) {
    long byDemand = server.reportedDemand > OVERLOAD_DEMAND ? server.reportedAt + REPORT_VALIDITY
        : isFullByAssumption(server) && expectedDemand(server) > OVERLOAD_DEMAND ? server.reportedAt + ASSUMPTION_VALIDITY : NodeState.NEVER;
    return Math.max(server.overTargetUntil, byDemand);
  }

  /** How much a server that is passed over counts beside the others that are. */
  double freeCapacityFactor(Server server) {
    double freeShare = isReportFresh(server) ? Math.max(MIN_FREE_SHARE, 1 - expectedDemand(server)) : DEFAULT_FREE_SHARE;
    double latencyFactor = node.now < server.highLatencyUntil ? HIGH_LATENCY_FACTOR : 1;
    return freeShare * freeShare * latencyFactor * (node.now < server.ejectedUntil ? EJECTED_FACTOR : 1);
  }

  /** Where only hints tell of load: whether this node's clients there ask for far more than its part of what
   * they ask for in all. Groups are few and fall unevenly: one server was once first for four of six. */
  boolean exceedsFairShare(Server server, RequestState request, ServerTotals totals) {
    if (node.settings.probesReportLoad()) {
      return false;
    }
    double maxLoad = FAIR_SHARE_FACTOR * totals.hintedLoad(request) * server.weight / totals.availableWeight();
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

  /** A probe that is not answered when all others are tells of a server that hangs, before any set-up can. */
  boolean isProbeOverdue(Server server) {
    return server.probeInFlight && node.now - server.probedAt >= PROBE_WAIT;
  }
}
