package lemondeal.module;

import java.util.Arrays;
import lemondeal.Balancer.Outcome;

/** Which servers fail, and for how long they are passed over. */
record Health(Node node, Moves moves, Load load, Shedding shedding) {
  private static final long EJECT_FIRST = 1_000_000; // first pass-over; doubles with each further failure
  private static final long REFUSED_FIRST = 250_000; // the same after a refusal: it lives and is full now
  private static final int EJECT_DOUBLINGS = 4; // to 16 s, near the longest that lists take to notice death
  private static final int TRIALS_MOST = 16; // let in after a pause at once; one success more lets all in
  private static final double ERROR_GAIN = 0.25; // weight of the newest set-up: about four count
  private static final double ERROR_HIGH = 0.3; // share from which one success does not clear it
  private static final long UNANSWERED_FOR = 3_000_000; // about the time between two lines of a client
  private static final int LOSSES_FOR_DEATH = 3; // so many within the window tell death from shedding
  private static final long LOSS_WINDOW = 500_000;

  /** Whether all ready servers are passed over: then the fault is not theirs. One that works proves that the
   * others don't: with half as the limit, attempts were spent on dead ones beside sound ones with room. */
  boolean commonFault() {
    return Arrays.stream(node.fleet).noneMatch(s -> s.works(node.now));
  }

  /** Passed over, or half-open: once its pause is over a server gets one set-up until one succeeds, and then
   * twice as many each time. All of its keys once came back at once, to time out together. */
  boolean struck(Server s) {
    return node.now < s.passUntil || s.trials <= 0;
  }

  private void strike(Server s, long first, String why) {
    long pause = first << Math.min(s.strikes, EJECT_DOUBLINGS);
    s.passUntil = Math.max(s.passUntil, node.now + pause);
    s.strikes++;
    s.trials = s.trialsNext = 1;
    node.log(s, "passed over " + pause / 1000 + " ms: " + why + ", strike " + s.strikes);
  }

  /** Learns from how a set-up ended. */
  void setupEnded(Server s, Outcome outcome) {
    switch (outcome) {
      case NO_CONNECTION, TIMED_OUT, RESET -> unreached(s, "set-up " + outcome);
      case REFUSED -> strike(s, REFUSED_FIRST, "says it is full");
      case ERROR -> {
        s.errorShare += ERROR_GAIN * (1 - s.errorShare);
        strike(s, EJECT_FIRST, "answers with errors");
      }
      case SERVED -> succeeded(s);
      default -> s.trials = Math.max(1, s.trials); // it says nothing: another may try
    }
  }

  /** A success ends probation, but not that of a server which fails a large share of its set-ups. */
  private void succeeded(Server s) {
    s.answers();
    s.errorShare -= ERROR_GAIN * s.errorShare;
    s.strikes = s.errorShare > ERROR_HIGH ? s.strikes / 2 : 0;
    s.passUntil = s.strikes == 0 ? Node.NEVER : s.passUntil;
    s.trials = s.trialsNext = s.trialsNext < TRIALS_MOST ? 2 * s.trialsNext : Integer.MAX_VALUE;
  }

  void probed(Server s, Outcome outcome) {
    s.probeOut = false;
    switch (outcome) {
      case NO_CONNECTION, TIMED_OUT, RESET -> unreached(s, "probe " + outcome);
      case NOT_SENT, CANCELLED -> { }
      default -> s.answers();
    }
  }

  private void unreached(Server s, String how) {
    strike(s, EJECT_FIRST, how);
    s.unreachedAt = node.now;
    if (node.now - s.unansweredAt < UNANSWERED_FOR) {
      moves.abandon(s);
    }
  }

  /** Asks a server that left a line unanswered: one that holds few of its connections else knows late. */
  void unanswered(Server s) {
    s.unansweredAt = node.now;
    if (node.now - s.unreachedAt < UNANSWERED_FOR) {
      moves.abandon(s);
    } else if (node.settings.limits().mayProbe() && !s.probeOut) {
      load.probe(s);
    }
  }

  /** Several connections reset within a moment mean that the server died, long before the list says so, or
   * cuts off what is too much for it. Where none reports its load, that is hot: a set-up that succeeds ends
   * the pass-over and proves nothing, and clients once came back when one stood, to be cut off with it. */
  void connectionLost(Server s) {
    if (node.now - s.lossesSince > LOSS_WINDOW) {
      s.lossesSince = node.now;
      s.losses = 0;
    }
    if (++s.losses == LOSSES_FOR_DEATH) {
      strike(s, EJECT_FIRST, "connections lost together");
      if (!node.settings.probesReport()) {
        shedding.cutOff(s);
      }
    }
  }
}
