package lemondeal.module;

import static lemondeal.module.NodeState.NEVER;

import java.util.*;
import lemondeal.Balancer.ServerState;

/** One server, with what this node knows of it. */
final class Server {
  final String name;
  final long hash;
  int zone;
  int cell;
  ServerState state = ServerState.GONE;
  long drainingSince = NEVER;
  double weight = 1;
  long startedAt;
  int consecutiveFailures;
  long ejectedUntil = NEVER;
  int halfOpenPermits = Integer.MAX_VALUE; // set-ups allowed before one of them ends; few after a failure
  int nextHalfOpenPermits = halfOpenPermits; // allowed after that
  double errorRate;
  int lostConnections;
  long lossWindowStart = NEVER;
  long unansweredAt = NEVER; // when a line sent there last went unanswered
  long acceptedAt = NEVER; // when the latest request that it accepted was sent
  boolean refusedLast; // whether it has refused a request since
  long unreachableAt = NEVER; // when an attempt or probe last failed to reach it
  long coldWindow = -1;
  int coldSends;
  double shedShare; // share of its clients that skip it because of its latency, at shedShareAt
  long shedShareAt = NEVER;
  long highLatencyUntil = NEVER;
  long overTargetUntil = NEVER;
  double latencyRatio; // last reported message latency over the shortest target
  long loggedAt = NEVER;
  double reportedDemand = Double.NaN;
  long reportedAt = NEVER;
  double reportedConnections; // open connections by its last report
  int sendsSinceReport; // sends of this node since that report
  long probedAt = NEVER;
  boolean probeInFlight;
  double hintedLoad; // load of this node's attempts there, by their hints
  final Set<RequestState> openConnections = new LinkedHashSet<>();
  final List<RequestState> awaitingProbe = new ArrayList<>(0);

  Server(String name) {
    this.name = name;
    this.hash = Rendezvous.hash(name);
  }

  /** Whether it is ready and not ejected. */
  boolean isAvailable(long now) {
    return state == ServerState.READY && now >= ejectedUntil;
  }

  void markReachable() {
    unansweredAt = NEVER;
    unreachableAt = NEVER;
  }

  /** Resets what was learnt of the previous process: it says nothing about the new one. */
  void restarted(long startedAt) {
    this.startedAt = startedAt;
    consecutiveFailures = 0;
    ejectedUntil = NEVER;
    halfOpenPermits = nextHalfOpenPermits = Integer.MAX_VALUE;
    errorRate = 0;
    probeInFlight = false;
    coldWindow = -1;
    shedShare = 0;
    acceptedAt = NEVER;
    refusedLast = false;
  }
}
