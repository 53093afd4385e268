package lemondeal.module;

import java.util.Arrays;
import lemondeal.Balancer.ServerState;

/** Chooses the server of each attempt. */
record Ranking(NodeState node, LoadEstimator load, Health health, ServerShedding serverShedding,
    SlowStart slowStart, ZoneAdmission zoneAdmission) {
  // Added weight in the local zone per unit of the crossing price.
  private static final double LOCAL_ZONE_GAIN = 50;

  /** The first usable server in the request's ranking, or null. Ejected and saturated servers come last, so
   * that a fault of all servers does not empty the ranking. Their scores are scaled by free capacity: by
   * rank alone, many requests that find all servers full would go to the same one. */
  Server choose(RequestState request) {
    boolean midFlow = request.details.midFlow();
    boolean allEjected = health.allServersEjected();
    ServerTotals totals = new ServerTotals(node);
    Server best = null;
    double bestScore = 0;
    boolean bestSkipped = true;
    for (Server server : node.listedServers) {
      if (!usable(server, request) || (!midFlow && node.now < load.overLimitUntil(server))) {
        continue;
      }
      boolean ejected = !allEjected && health.isEjected(server);
      boolean skipped = midFlow ? serverShedding.isShed(server, request)
          : ejected || isSaturated(server, request, totals);
      if (best != null && skipped && !bestSkipped) {
        continue;
      }
      double capacityFactor = skipped ? load.freeCapacityFactor(server) : 1;
      double score = Rendezvous.score(request.groupHash, server.hash, server.weight * zoneFactor(server))
          * capacityFactor;
      boolean better = best == null || (bestSkipped && !skipped) || score > bestScore
          || (score == bestScore && server.name.compareTo(best.name) < 0);
      if (better && slowStart.admits(server, totals)) {
        best = server;
        bestScore = score;
        bestSkipped = skipped;
      }
    }
    return best;
  }

  /** A mid-flow request may go to a draining server, which likely holds its state, within the drain grace. */
  private boolean usable(Server server, RequestState request) {
    boolean drainingHolder = server.state == ServerState.DRAINING && request.details.midFlow()
        && request.triedServers.isEmpty()
        && node.now - server.drainingSince < node.settings.rules().drainGrace();
    return (server.state == ServerState.READY || drainingHolder) && !request.triedServers.contains(server)
        && request.mayRetryOn(server) && zoneAdmission.admits(server, request) && !node.isListExpired(server);
  }

  /** Whether a new client skips the server: it is at its limit, or the client is in the share that it sheds
   * or cannot take yet. */
  private boolean isSaturated(Server server, RequestState request, ServerTotals totals) {
    return load.isFull(server) || load.isProbeOverdue(server) || serverShedding.isShed(server, request)
        || slowStart.holdsBack(server, request) || load.exceedsFairShare(server, request, totals);
  }

  /** Prefers the local zone, more so the more crossing costs. Not with fewer nodes than zones: the zones with
   * nodes would get everything. */
  private double zoneFactor(Server server) {
    boolean local = server.zone == node.settings.zone() && node.settings.nodeCount() >= node.zoneCount;
    return local ? 1 + LOCAL_ZONE_GAIN * node.settings.prices().crossZone() : 1;
  }

  /** Time until a server may take the request, as far as known: 0 if one may do so at any time, unlimited if
   * all servers are in zones that are closed to it. */
  long timeUntilCapacity(RequestState request) {
    long soonest = Long.MAX_VALUE;
    for (Server server : node.listedServers) {
      if (usable(server, request)) {
        soonest = Math.min(soonest, Math.max(0, load.overLimitUntil(server) - node.now));
      }
    }
    return soonest == Long.MAX_VALUE && !zoneAdmission.anyRestricted() ? 0 : soonest;
  }

  /** Whether a shed group may be admitted again: no server has high latency, and one reports free capacity or
   * can be probed for it. Needed because the shed share decays slowly: clients were refused while servers
   * were free. */
  boolean hasCapacityAgain(RequestState request) {
    Server candidate = Arrays.stream(node.listedServers)
        .anyMatch(server -> node.now < server.highLatencyUntil) ? null : choose(request);
    return candidate != null && !health.isEjected(candidate)
        && !isSaturated(candidate, request, new ServerTotals(node))
        && (load.isReportFresh(candidate)
            || (request.probeCount == 0 && load.shouldProbe(candidate, request)));
  }

  /** Number of servers that get no new client: draining, ejected, or at their limit. */
  int avoidedCount() {
    boolean allEjected = health.allServersEjected();
    int count = 0;
    for (Server server : node.listedServers) {
      boolean skipped = (!allEjected && health.isEjected(server)) || node.now < load.overLimitUntil(server)
          || load.isFull(server) || load.isProbeOverdue(server);
      count += server.state != ServerState.READY || skipped ? 1 : 0;
    }
    return count;
  }
}
