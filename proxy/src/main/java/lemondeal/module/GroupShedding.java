package lemondeal.module;

import lemondeal.Balancer.Log;

/** Load shedding by group when most servers are overloaded: every node refuses the same groups. With all
 * groups admitted, messages would be late for all. */
final class GroupShedding {
  private static final double STEP_NEAR_TARGET = 0.1; // of the share of groups to shed
  // Measured: it is better to shed fast than to shed exactly as much as needed.
  private static final double STEP_FAR_OVER_TARGET = 0.4;
  private static final long STEP_INTERVAL = 900_000; // just under the second between two delay reports
  // Some groups of each class are always admitted, to keep measuring the latency.
  private static final double MAX_CLASS_SHARE = 0.9;
  // Share for the class of lowest worth; beyond 1 it grows for the other classes only.
  private static final double MAX_SHARE = 3;
  private static final long SHARE_HALF_LIFE = 8_000_000; // decays slower than it grows; bursts are short
  private static final double CLASS_LOAD_GAIN = 0.05; // weight of the newest load in its class's mean

  private final NodeState node;
  private final ConnectionMover mover;
  private double shedShare;
  private long shedShareAt = NodeState.NEVER;
  private long loggedAt = NodeState.NEVER;
  private double[] meanClassLoad = new double[0];
  private int classesWithLoad;

  GroupShedding(NodeState node, ConnectionMover mover) {
    this.node = node;
    this.mover = mover;
  }

  void start() {
    meanClassLoad = new double[node.settings.classes().size()];
  }

  void increaseShare(boolean farOverTarget) {
    if (node.now - shedShareAt < STEP_INTERVAL) {
      return;
    }
    shedShare = Math.min(MAX_SHARE,
        currentShare() + (farOverTarget ? STEP_FAR_OVER_TARGET : STEP_NEAR_TARGET));
    shedShareAt = node.now;
    if (node.now - loggedAt >= NodeState.LOG_INTERVAL) {
      loggedAt = node.now;
      long percent = Math.round(100 * shedShare);
      node.actions.add(new Log("most servers are over their latency target: shedding up to " + percent
          + "% of the groups"));
    }
    for (RequestState request : node.requests.values()) {
      if (request.established && isShed(request)) {
        mover.move(request);
      }
    }
  }

  private double currentShare() {
    double halfLives = (double) Math.max(0, node.now - shedShareAt - STEP_INTERVAL) / SHARE_HALF_LIFE;
    double share = shedShare * StrictMath.pow(0.5, halfLives);
    return share < STEP_NEAR_TARGET / 2 ? 0 : share;
  }

  boolean isShed(RequestState request) {
    return shedShare > 0 && Rendezvous.toUnitInterval(Rendezvous.mix(request.groupHash))
        < Math.min(MAX_CLASS_SHARE, currentShare() * shareFactor(request));
  }

  /** 1 for the class whose work has the lowest worth, less for others: they are shed later. */
  private double shareFactor(RequestState request) {
    double lowestWorth = Double.POSITIVE_INFINITY;
    for (int classIndex = 0; classIndex < meanClassLoad.length; classIndex++) {
      lowestWorth = Math.min(lowestWorth, worthPerWork(classIndex));
    }
    return request.requestClass == null || !(lowestWorth > 0) ? 1
        : lowestWorth / worthPerWork(request.details.requestClass());
  }

  /** Worth of a class per unit of work. Until this node knows the load of every class, the worth in the
   * settings is used as it is. */
  private double worthPerWork(int classIndex) {
    double worth = node.settings.classes().get(classIndex).worth();
    boolean asGiven = node.settings.worthIsPerWork() || classesWithLoad < meanClassLoad.length;
    return asGiven ? worth : worth / meanClassLoad[classIndex];
  }

  void recordLoad(RequestState request, double load) {
    if (request != null && request.requestClass != null && load > 0 && load < Double.POSITIVE_INFINITY) {
      int classIndex = request.details.requestClass();
      classesWithLoad += meanClassLoad[classIndex] == 0 ? 1 : 0;
      meanClassLoad[classIndex] = meanClassLoad[classIndex] == 0 ? load
          : meanClassLoad[classIndex] + CLASS_LOAD_GAIN * (load - meanClassLoad[classIndex]);
    }
  }
}
