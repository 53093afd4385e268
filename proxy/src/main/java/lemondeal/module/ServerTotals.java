package lemondeal.module;

import lemondeal.Balancer.ServerState;

/**
 * Sums over all servers that one placement needs for each of its candidates. Each is computed on first use
 * and cached for the placement: when computed for each candidate, the cost of a placement grew with the
 * square of the number of servers. The inputs of the sums do not change during a placement.
 */
final class ServerTotals {
  private static final double UNKNOWN = Double.NaN;

  private final NodeState node;
  private double availableWeight = UNKNOWN;
  private double hintedLoad = UNKNOWN;
  private double readyWeight = UNKNOWN;
  private double acceptingWeight = UNKNOWN;

  ServerTotals(NodeState node) {
    this.node = node;
  }

  /** Weight of the available servers. */
  double availableWeight() {
    if (Double.isNaN(availableWeight)) {
      double sum = 0;
      for (Server server : node.listedServers) {
        sum += server.isAvailable(node.now) ? server.weight : 0;
      }
      availableWeight = sum;
    }
    return availableWeight;
  }

  /** Hinted load of this node's attempts at all servers, including that of this request. */
  double hintedLoad(RequestState request) {
    if (Double.isNaN(hintedLoad)) {
      double sum = request.loadHint;
      for (Server server : node.listedServers) {
        sum += server.hintedLoad;
      }
      hintedLoad = sum;
    }
    return hintedLoad;
  }

  /** Weight of the servers that are ready according to the list. */
  double readyWeight() {
    if (Double.isNaN(readyWeight)) {
      double sum = 0;
      for (Server server : node.listedServers) {
        sum += server.state == ServerState.READY ? server.weight : 0;
      }
      readyWeight = sum;
    }
    return readyWeight;
  }

  /** Sum over the servers that accept clients now: weight times present capacity share. */
  double acceptingWeight(LoadEstimator load, SlowStart slowStart) {
    if (Double.isNaN(acceptingWeight)) {
      double sum = 0;
      for (Server server : node.listedServers) {
        boolean accepts = server.isAvailable(node.now) && !load.isFull(server);
        sum += accepts ? server.weight * slowStart.capacityShare(server) : 0;
      }
      acceptingWeight = sum;
    }
    return acceptingWeight;
  }
}
