package lemondeal.module;

import lemondeal.Balancer.Log;

/** In a common overload every node turns the same groups away: with all let in, messages are late for all. */
final class Groups {
  private static final double DROP_STEP = 0.1; // step of the share turned away, near the aim
  private static final double DROP_STEP_FAR = 0.4; // far past it: leaving fast measured better than exactly
  private static final long DROP_PAUSE = 900_000; // notes come once a second
  private static final double DROP_MOST = 0.9; // of any class: some are always let in, to learn from
  private static final double DROP_SHARE_MOST = 3; // of the class worth least; past 1 it grows for others
  private static final long DROP_HALF_LIFE = 8_000_000; // slower than it grows, and a burst passes
  private static final double LOAD_GAIN = 0.05; // of the newest load in its class's mean

  private final Node node;
  private final Moves moves;
  private double dropped;
  private long droppedAt = Node.NEVER;
  private long loggedAt = Node.NEVER;
  private double[] classLoad = new double[0];
  private int classesWeighed;

  Groups(Node node, Moves moves) {
    this.node = node;
    this.moves = moves;
  }

  void start() {
    classLoad = new double[node.settings.classes().size()];
  }

  void turnAwayMore(boolean far) {
    if (node.now - droppedAt < DROP_PAUSE) {
      return;
    }
    dropped = Math.min(DROP_SHARE_MOST, dropShare() + (far ? DROP_STEP_FAR : DROP_STEP));
    droppedAt = node.now;
    if (node.now - loggedAt >= Node.LOG_PAUSE) {
      loggedAt = node.now;
      long percent = Math.round(100 * dropped);
      node.out.add(new Log("most servers late: turns away up to " + percent + "% of the groups"));
    }
    for (Flow flow : node.flows.values()) {
      if (flow.established && turnedAway(flow)) {
        moves.move(flow);
      }
    }
  }

  private double dropShare() {
    double pauses = (double) Math.max(0, node.now - droppedAt - DROP_PAUSE) / DROP_HALF_LIFE;
    double share = dropped * StrictMath.pow(0.5, pauses);
    return share < DROP_STEP / 2 ? 0 : share;
  }

  boolean turnedAway(Flow flow) {
    return dropped > 0 && Rendezvous.unit(Rendezvous.mix(flow.groupHash))
        < Math.min(DROP_MOST, dropShare() * cheapness(flow));
  }

  /** 1 for the class whose work is worth least, less for others: they are turned away later. */
  private double cheapness(Flow flow) {
    double least = Double.POSITIVE_INFINITY;
    for (int c = 0; c < classLoad.length; c++) {
      least = Math.min(least, worthOfWork(c));
    }
    return flow.type == null || !(least > 0) ? 1 : least / worthOfWork(flow.request.requestClass());
  }

  /** Worth of a class for a unit of work, as far as its load is known here. */
  private double worthOfWork(int c) {
    double worth = node.settings.classes().get(c).worth();
    boolean unknown = node.settings.worthByWork() || classesWeighed < classLoad.length;
    return unknown ? worth : worth / classLoad[c];
  }

  void weigh(Flow flow, double load) {
    if (flow != null && flow.type != null && load > 0 && load < Double.POSITIVE_INFINITY) {
      int c = flow.request.requestClass();
      classesWeighed += classLoad[c] == 0 ? 1 : 0;
      classLoad[c] = classLoad[c] == 0 ? load : classLoad[c] + LOAD_GAIN * (load - classLoad[c]);
    }
  }
}
