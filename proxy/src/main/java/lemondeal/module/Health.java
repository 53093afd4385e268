package lemondeal.module;

import java.util.Arrays;
import lemondeal.Balancer.Outcome;

/** Passive health checks: ejects servers that fail, with exponential back-off and a half-open state. */
record Health(NodeState node, ConnectionMover mover, LoadEstimator load, ServerShedding serverShedding) {
  // Time of the first ejection; doubles with each further failure.
  private static final long FAILURE_EJECTION_TIME = 1_000_000;
  // Time of the first ejection after a refusal: the server is alive but full.
  private static final long REFUSAL_EJECTION_TIME = 250_000;
  // Up to 16 s, about the longest time until lists show that a server is dead.
  private static final int MAX_EJECTION_DOUBLINGS = 4;
  // Most set-ups at once in the half-open state; a further success removes the limit.
  private static final int MAX_HALF_OPEN_PERMITS = 16;
  private static final double ERROR_RATE_GAIN = 0.25; // weight of the newest set-up: averages about four
  private static final double HIGH_ERROR_RATE = 0.3; // above it, one success does not end the ejection
  private static final long UNANSWERED_WINDOW = 3_000_000; // about the time between two lines of a client
  // Number of resets within the window that indicate a dead server rather than load shedding.
  private static final int LOSS_THRESHOLD = 3;
  private static final long LOSS_WINDOW = 500_000;

  /** Whether all ready servers are ejected: then the fault is likely not theirs. A single working server
   * shows that it is: with a threshold of half, attempts were wasted on dead servers while working ones had
   * capacity. */
  boolean allServersEjected() {
    return Arrays.stream(node.listedServers).noneMatch(s -> s.isAvailable(node.now));
  }

  /** Ejected, or half-open without permits: after an ejection a server gets one set-up until one succeeds,
   * and after each success twice as many. Without this all of its keys once returned together and timed
   * out. */
  boolean isEjected(Server server) {
    return node.now < server.ejectedUntil || server.halfOpenPermits <= 0;
  }

  private void eject(Server server, long baseTime, String reason) {
    long ejectionTime = baseTime << Math.min(server.consecutiveFailures, MAX_EJECTION_DOUBLINGS);
    server.ejectedUntil = Math.max(server.ejectedUntil, node.now + ejectionTime);
    server.consecutiveFailures++;
    server.halfOpenPermits = server.nextHalfOpenPermits = 1;
    node.log(server, "ejected for " + ejectionTime / 1000 + " ms: " + reason + ", consecutive failures: "
        + server.consecutiveFailures);
  }

  /** Updates the server's health by the outcome of a set-up. */
  void setupEnded(Server server, Outcome outcome) {
    switch (outcome) {
      case NO_CONNECTION, TIMED_OUT, RESET -> markUnreachable(server, "set-up " + outcome);
      case REFUSED -> eject(server, REFUSAL_EJECTION_TIME, "set-up refused as full");
      case ERROR -> {
        server.errorRate += ERROR_RATE_GAIN * (1 - server.errorRate);
        eject(server, FAILURE_EJECTION_TIME, "set-up answered with an error");
      }
      case SERVED -> setupSucceeded(server);
      // No information: allow another set-up.
      default -> server.halfOpenPermits = Math.max(1, server.halfOpenPermits);
    }
  }

  /** A success ends the ejection and resets the failure count, unless a large share of the set-ups fails. */
  private void setupSucceeded(Server server) {
    server.markReachable();
    server.errorRate -= ERROR_RATE_GAIN * server.errorRate;
    server.consecutiveFailures = server.errorRate > HIGH_ERROR_RATE ? server.consecutiveFailures / 2 : 0;
    server.ejectedUntil = server.consecutiveFailures == 0 ? NodeState.NEVER : server.ejectedUntil;
    server.halfOpenPermits = server.nextHalfOpenPermits = server.nextHalfOpenPermits < MAX_HALF_OPEN_PERMITS
        ? 2 * server.nextHalfOpenPermits : Integer.MAX_VALUE;
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

  /** Probes a server that left a line unanswered: with few connections there, a node would otherwise detect a
   * failure late. */
  void unanswered(Server server) {
    server.unansweredAt = node.now;
    if (node.now - server.unreachableAt < UNANSWERED_WINDOW) {
      mover.moveAllFrom(server);
    } else if (node.settings.limits().mayProbe() && !server.probeInFlight) {
      load.probe(server);
    }
  }

  /** Several connections reset within a short time mean that the server died, long before the list shows it,
   * or that it drops excess load. Without load reports this also counts as high latency: a successful set-up
   * ends the ejection but does not prove capacity, and after one all clients once returned and were reset
   * again. */
  void connectionLost(Server server) {
    if (node.now - server.lossWindowStart > LOSS_WINDOW) {
      server.lossWindowStart = node.now;
      server.lostConnections = 0;
    }
    if (++server.lostConnections == LOSS_THRESHOLD) {
      eject(server, FAILURE_EJECTION_TIME, "several connections reset together");
      if (!node.settings.probesReportLoad()) {
        serverShedding.shedAfterResets(server);
      }
    }
  }
}
