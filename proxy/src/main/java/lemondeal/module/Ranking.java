package lemondeal.module;

import java.util.Arrays;
import lemondeal.Balancer.ServerState;

/** The order in which a request tries the servers. */
record Ranking(NodeState node, LoadEstimator load, Health health, ServerShedding serverShedding, SlowStart slowStart,
    ZoneAdmission zoneAdmission) {
  private static final double LOCAL_ZONE_GAIN = 50; // weight that a point of price for crossing adds at home

  /** The first server of the flow's ranking that may be used, or null. Passed-over ones come last, so that a
   * common fault does not empty the ranking; among them it bends to the room that each has: by rank alone, a
   * crowd that finds all full goes to one. */
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
      boolean skipped = midFlow ? serverShedding.isShed(server, request) : ejected || isSaturated(server, request, totals);
      if (best != null && skipped && !bestSkipped) {
        continue;
      }
      double capacityFactor = skipped ? load.freeCapacityFactor(server) : 1;
      double score = Rendezvous.score(request.groupHash, server.hash, server.weight * zoneFactor(server)) * capacityFactor;
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

  /** A mid-flow request may go to a draining server, which likely holds it; not past the grace. */
  private boolean usable(Server server, RequestState request) {
    boolean drainingHolder = server.state == ServerState.DRAINING && request.details.midFlow() && request.triedServers.isEmpty()
        && node.now - server.drainingSince < node.settings.rules().drainGrace();
    return (server.state == ServerState.READY || drainingHolder) && !request.triedServers.contains(server) && request.mayRetryOn(server)
        && zoneAdmission.admits(server, request);
  }

  /** A server known to be at its limit takes none, and one lately over it goes without a share. */
  private boolean isSaturated(Server server, RequestState request, ServerTotals totals) {
    return load.isFull(server) || load.isProbeOverdue(server) || serverShedding.isShed(server, request) || slowStart.holdsBack(server, request)
        || load.exceedsFairShare(server, request, totals);
  }

  /** The own zone counts for more, the more crossing costs; not with fewer nodes than zones: some get all. */
  private double zoneFactor(Server server) {
    boolean local = server.zone == node.settings.zone() && node.settings.nodeCount() >= node.zoneCount;
    return local ? 1 + LOCAL_ZONE_GAIN * node.settings.prices().crossZone() : 1;
  }

  /** Time until a server may take the flow, as far as it is known: 0 where one may do so any moment, and
   * without end where all that there is stands in zones that are not open to it. */
  long timeUntilCapacity(RequestState request) {
    long soonest = Long.MAX_VALUE;
    for (Server server : node.listedServers) {
      if (usable(server, request)) {
        soonest = Math.min(soonest, Math.max(0, load.overLimitUntil(server) - node.now));
      }
    }
    return soonest == Long.MAX_VALUE && !zoneAdmission.anyRestricted() ? 0 : soonest;
  }

  /** Whether the overload is over for a group turned away: no server is hot, and one has room by its own
   * word, for which it may be asked. The share falls slowly: clients were refused beside free servers. */
  boolean hasCapacityAgain(RequestState request) {
    Server candidate = Arrays.stream(node.listedServers).anyMatch(server -> node.now < server.highLatencyUntil) ? null : choose(request);
    return candidate != null && !health.isEjected(candidate) && !isSaturated(candidate, request, new ServerTotals(node))
        && (load.isReportFresh(candidate) || (request.probeCount == 0 && load.shouldProbe(candidate, request)));
  }

  /** Servers that the ranking leaves out for every new client: those that drain, and those passed over. */
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
