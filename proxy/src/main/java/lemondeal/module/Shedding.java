package lemondeal.module;

import lemondeal.Balancer.MessageDelay;

/** A server whose messages come late sheds a share of its clients, the same ones at every node. */
record Shedding(Node node, Moves moves, Groups groups) {
  private static final double HOT = 0.5; // share of the shortest aim from which a server nears its limit
  private static final long HOT_FOR = 2_000_000; // after the word that it is hot: notes come once a second
  private static final double SHED_NEAR = 0.05; // share of its clients that leave at one step: near the aim
  private static final double SHED_PAST = 0.1; // past it
  private static final double SHED_FAR = 0.2; // far past it
  private static final double SHED_LOST = 0.5; // hopelessly late: whoever stays is served no more
  private static final double SHED_MOST = 0.8;
  private static final double FAR_LATE = 5; // times the aim from which servers are far behind
  private static final double HOPELESS = 16; // times the aim from which nobody stays: none is served
  private static final long SHED_PAUSE = 900_000; // what left must show first; just under that of notes
  private static final long SHED_HALF_LIFE = 15_000_000; // of the share, once it is cool

  boolean sheds(Server s, Flow flow) {
    return s.shed > 0 && flow.clientPoint(s) < shed(s);
  }

  private double shed(Server s) {
    long cool = Math.max(0, node.now - Math.max(s.shedAt, s.hotUntil));
    return s.shed * StrictMath.pow(0.5, (double) cool / SHED_HALF_LIFE);
  }

  void messageDelay(MessageDelay event) {
    Server s = node.servers.get(event.server());
    double times = event.millis() / node.shortestAimMillis;
    if (s == null || !(times >= 0) || Double.isInfinite(times)) {
      return;
    }
    if (times < HOT) {
      s.hotUntil = Node.NEVER; // its word that it has recovered: it must not be left out any longer
      s.lateUntil = Node.NEVER;
      return;
    }
    s.hotUntil = node.now + HOT_FOR;
    s.lateness = times;
    s.lateUntil = times >= 1 ? s.hotUntil : s.lateUntil;
    if (mostAreLate(1)) {
      groups.turnAwayMore(mostAreLate(FAR_LATE));
    } else if (node.now - s.shedAt >= SHED_PAUSE) {
      shedMore(s, times, event.millis());
    }
  }

  /** It cuts clients off: half of those left to it go elsewhere, the others come once it has rested. */
  void cutOff(Server s) {
    s.hotUntil = node.now + HOT_FOR;
    s.shed = Math.min(SHED_MOST, shed(s) + SHED_LOST * (1 - shed(s)));
    s.shedAt = node.now;
  }

  private void shedMore(Server s, double times, double millis) {
    double step = times < 1 ? SHED_NEAR : times < 2 ? SHED_PAST : times < FAR_LATE ? SHED_FAR : SHED_LOST;
    double before = shed(s);
    s.shed = Math.min(times < HOPELESS ? SHED_MOST : 1, before + step * (1 - before));
    s.shedAt = node.now;
    node.log(s, "hot, a message takes " + Math.round(millis) + " ms: sheds share "
        + Math.round(100 * s.shed) + "%");
    for (Flow flow : s.open) {
      if (sheds(s, flow)) {
        moves.move(flow);
      }
    }
  }

  /** Whether most servers that work are late by so many aims: moves would only add work. Not only those heard
   * of count: of a large fleet that is two or three, and one late one of them is no common overload. */
  private boolean mostAreLate(double times) {
    int working = 0;
    int late = 0;
    for (Server s : node.fleet) {
      if (s.works(node.now)) {
        working++;
        late += node.now < s.lateUntil && s.lateness >= times ? 1 : 0;
      }
    }
    return late * 2 > working;
  }
}
