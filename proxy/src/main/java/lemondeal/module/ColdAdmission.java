package lemondeal.module;

import static lemondeal.module.Rendezvous.mix;

import lemondeal.Balancer.*;

/** Keeps what the fleet sends together to a server started lately within what that can take: each call is one
 * node's turn, by number, so that the shares sum to the budget without a word among the nodes. That holds for
 * shares of less than a call in the window too, and with uneven traffic: no node ever sends out of turn. */
final class ColdAdmission {
  private static final double WINDOWS = 2; // that a budget is dealt over: half comes in each, half lasts on

  private final Node node;
  private final Load load;
  private int openHere;
  private int mostOpenHere;

  ColdAdmission(Node node, Load load) {
    this.node = node;
    this.load = load;
  }

  void opened(int more) {
    openHere += more;
    mostOpenHere = Math.max(mostOpenHere, openHere);
  }

  /** Whatever it is sent for counts: a first attempt, a repeat, or a connection in mid-flow. */
  void sent(Server s) {
    s.turns--;
  }

  private long age(Server s, long at) {
    return s.startedAt == 0 ? Long.MAX_VALUE : Math.max(0, at - s.startedAt);
  }

  private boolean isCold(Server s) {
    return age(s, node.now) < node.settings.rules().warmWithin();
  }

  /** Share of its capacity that a cold server has for certain: grows evenly from the cold share to all. */
  private double warmth(double age) {
    double from = Math.max(0.01, Math.min(1, node.settings.rules().coldFrom()));
    return from + (1 - from) * age / node.settings.rules().warmWithin();
  }

  /** That share added up since its start: the time in which it could have done as much, had it been warm. */
  private double warmTime(Server s, long at) {
    return age(s, at) * warmth(age(s, at) / 2.0);
  }

  /** Slow start: of a server's keys, the share of clients that it has the capacity for by now. Cut by
   * client, not by a lower weight: a whole group of clients would push over what is still cold. */
  boolean slowStarts(Server s, Flow flow) {
    return isCold(s) && flow.clientPoint(s) < 1 - warmth(age(s, node.now));
  }

  /** Whether this node may send to the server now without eating into the other nodes' turns. */
  boolean admits(Server s) {
    return !isCold(s) || deal(s) >= 1;
  }

  /** Adds the turns that came since the last look. Half a budget comes in a window, and turns lapse once half
   * a budget of them is there: so no window sees more than the budget, though a turn lasts until a node with
   * little traffic has a use for it. */
  private double deal(Server s) {
    Rules rules = node.settings.rules();
    double share = Math.max(rules.fallMultiple() * intake(s), 1.0 / Math.max(1, rules.overloadFor()))
        / WINDOWS / Math.max(1, node.settings.nodes());
    double lasting = share * warmth(age(s, node.now)) * (WINDOWS - 1) * rules.overloadFor();
    if (s.dealtAt == Node.NEVER) {
      s.turns = place(s) + lasting + share * warmTime(s, node.now);
      // What came before this process began was perhaps used by the one before it.
      s.turns = s.startedAt < node.beganAt ? s.turns % 1 : s.turns;
    } else {
      s.turns += share * (warmTime(s, node.now) - warmTime(s, s.dealtAt));
    }
    s.dealtAt = node.now;
    return s.turns -= Math.max(0, Math.floor(s.turns - lasting));
  }

  /** Where this node stands in the round of all: by its number, from a point that is each server's own. */
  private double place(Server s) {
    long nodes = Math.max(1, node.settings.nodes());
    return (double) Math.floorMod(node.settings.node() + mix(s.hash ^ mix(s.startedAt)), nodes) / nodes;
  }

  /** New connections a microsecond that fill a server of this size over its warm-up, judged low: over the
   * longest one, by what warm servers say that they carry, which all nodes are told alike. Where none does,
   * by the most that this node held: over all nodes that sums to what was held. */
  private double intake(Server s) {
    double sizes = 0;
    for (Server other : node.fleet) {
      sizes += other.state == ServerState.READY ? load.size(other) : 0;
    }
    double carried = load.carried();
    double each = carried > 0 ? carried : sizes > 0 ? mostOpenHere * node.settings.nodes() / sizes : 0;
    return each * load.size(s) / node.settings.rules().warmWithin();
  }
}
