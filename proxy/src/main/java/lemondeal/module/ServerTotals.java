package lemondeal.module;

import lemondeal.Balancer.ServerState;

/**
 * Sums over all servers that one placement needs for each of its candidates. Each is made on first use and
 * kept for the placement: made anew for each candidate, a placement's cost grew with the square of the number
 * of servers. Nothing that a sum rests on changes while one server is chosen.
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

  /** Weight of the servers that work. */
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

  /** Load that this node's clients ask for at all servers and that this request would add, by their hints. */
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

  /** Weight of the servers that take new clients by the list. */
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

  /** Weight, as warm as each is, of the servers that take clients now. */
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
