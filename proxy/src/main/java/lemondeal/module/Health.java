package lemondeal.module;

import java.util.Arrays;
import lemondeal.Balancer.Outcome;

/** Which servers fail, and for how long they are passed over. */
record Health(NodeState node, ConnectionMover mover, LoadEstimator load, ServerShedding serverShedding) {
  private static final long FAILURE_EJECTION_TIME = 1_000_000; // first pass-over; doubles with each further failure
  private static final long REFUSAL_EJECTION_TIME = 250_000; // the same after a refusal: it lives and is full now
  private static final int MAX_EJECTION_DOUBLINGS = 4; // to 16 s, near the longest that lists take to notice death
  private static final int MAX_HALF_OPEN_PERMITS = 16; // let in after a pause at once; one success more lets all in
  private static final double ERROR_RATE_GAIN = 0.25; // weight of the newest set-up: about four count
  private static final double HIGH_ERROR_RATE = 0.3; // share from which one success does not clear it
  private static final long UNANSWERED_WINDOW = 3_000_000; // about the time between two lines of a client
  private static final int LOSS_THRESHOLD = 3; // so many within the window tell death from shedding
  private static final long LOSS_WINDOW = 500_000;

  /** Whether all ready servers are passed over: then the fault is not theirs. One that works proves that the
   * others don't: with half as the limit, attempts were spent on dead ones beside sound ones with room. */
  boolean allServersEjected() {
    return Arrays.stream(node.listedServers).noneMatch(s -> s.isAvailable(node.now));
  }

  /** Passed over, or half-open: once its pause is over a server gets one set-up until one succeeds, and then
   * twice as many each time. All of its keys once came back at once, to time out together. */
  boolean isEjected(Server server) {
    return node.now < server.ejectedUntil || server.halfOpenPermits <= 0;
  }

  private void eject(Server server, long baseTime, String reason) {
    long ejectionTime = baseTime << Math.min(server.consecutiveFailures, MAX_EJECTION_DOUBLINGS);
    server.ejectedUntil = Math.max(server.ejectedUntil, node.now + ejectionTime);
    server.consecutiveFailures++;
    server.halfOpenPermits = server.nextHalfOpenPermits = 1;
    node.log(server, "passed over " + ejectionTime / 1000 + " ms: " + reason + ", strike " + server.consecutiveFailures);
  }

  /** Learns from how a set-up ended. */
  void setupEnded(Server server, Outcome outcome) {
    switch (outcome) {
      case NO_CONNECTION, TIMED_OUT, RESET -> markUnreachable(server, "set-up " + outcome);
      case REFUSED -> eject(server, REFUSAL_EJECTION_TIME, "says it is full");
      case ERROR -> {
        server.errorRate += ERROR_RATE_GAIN * (1 - server.errorRate);
        eject(server, FAILURE_EJECTION_TIME, "answers with errors");
      }
      case SERVED -> setupSucceeded(server);
      default -> server.halfOpenPermits = Math.max(1, server.halfOpenPermits); // it says nothing: another may try
    }
  }

  /** A success ends probation, but not that of a server which fails a large share of its set-ups. */
  private void setupSucceeded(Server server) {
    server.markReachable();
    server.errorRate -= ERROR_RATE_GAIN * server.errorRate;
    server.consecutiveFailures = server.errorRate > HIGH_ERROR_RATE ? server.consecutiveFailures / 2 : 0;
    server.ejectedUntil = server.consecutiveFailures == 0 ? NodeState.NEVER : server.ejectedUntil;
    server.halfOpenPermits = server.nextHalfOpenPermits = server.nextHalfOpenPermits < MAX_HALF_OPEN_PERMITS ? 2 * server.nextHalfOpenPermits : Integer.MAX_VALUE;
  }

  void probeEnded(Server server, Outcome outcome) {
    server.probeInFlight = false;
    switch (outcome) {
      case NO_CONNECTION, TIMED_OUT, RESET -> markUnreachable(server, "probe " + outcome);
      case NOT_SENT, CANCELLED -> { }
      default -> server.markReachable();
    }
  }

  private void markUnreachable(Server server, String reason) {
    eject(server, FAILURE_EJECTION_TIME, reason);
    server.unreachableAt = node.now;
    if (node.now - server.unansweredAt < UNANSWERED_WINDOW) {
      mover.moveAllFrom(server);
    }
  }

  /** Asks a server that left a line unanswered: one that holds few of its connections else knows late. */
  void unanswered(Server server) {
    server.unansweredAt = node.now;
    if (node.now - server.unreachableAt < UNANSWERED_WINDOW) {
      mover.moveAllFrom(server);
    } else if (node.settings.limits().mayProbe() && !server.probeInFlight) {
      load.probe(server);
    }
  }

  /** Several connections reset within a moment mean that the server died, long before the list says so, or
   * cuts off what is too much for it. Where none reports its load, that is hot: a set-up that succeeds ends
   * the pass-over and proves nothing, and clients once came back when one stood, to be cut off with it. */
  void connectionLost(Server server) {
    if (node.now - server.lossWindowStart > LOSS_WINDOW) {
      server.lossWindowStart = node.now;
      server.lostConnections = 0;
    }
    if (++server.lostConnections == LOSS_THRESHOLD) {
      eject(server, FAILURE_EJECTION_TIME, "connections lost together");
      if (!node.settings.probesReportLoad()) {
        serverShedding.shedAfterResets(server);
      }
    }
  }
}
