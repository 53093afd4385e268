package lemondeal.module;

import static lemondeal.module.NodeState.NEVER;

import java.util.*;
import lemondeal.Balancer.ServerState;

/** One server of the list, with what this node has learnt of it. */
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
  int halfOpenPermits = Integer.MAX_VALUE; // set-ups let in before word of one comes back; after a failure few
  int nextHalfOpenPermits = halfOpenPermits; // let in after that
  double errorRate;
  int lostConnections;
  long lossWindowStart = NEVER;
  long unansweredAt = NEVER; // when a line there last went unanswered
  long unreachableAt = NEVER; // when it last could not be reached
  long coldWindow = -1;
  int coldSends;
  double shedShare; // share of its clients that pass over it because it was hot, as of shedAt
  long shedShareAt = NEVER;
  long highLatencyUntil = NEVER;
  long overTargetUntil = NEVER;
  double latencyRatio; // times the shortest aim that a message took there by the last note
  long loggedAt = NEVER;
  double reportedDemand = Double.NaN;
  long reportedAt = NEVER;
  double reportedConnections; // connections that it held by its last report
  int sendsSinceReport; // by this node since that report
  long probedAt = NEVER;
  boolean probeInFlight;
  double hintedLoad; // that this node's clients there ask for, by their hints
  final Set<RequestState> openConnections = new LinkedHashSet<>();
  final List<RequestState> awaitingProbe = new ArrayList<>(0);

  Server(String name) {
    this.name = name;
    this.hash = Rendezvous.hash(name);
  }

  /** Whether it is ready and did not fail lately. */
  boolean isAvailable(long now) {
    return state == ServerState.READY && now >= ejectedUntil;
  }

  void markReachable() {
    unansweredAt = NEVER;
    unreachableAt = NEVER;
  }

  /** What was learnt of the process before says nothing of the one that started now. */
  void restarted(long startedAt) {
    this.startedAt = startedAt;
    consecutiveFailures = 0;
    ejectedUntil = NEVER;
    halfOpenPermits = nextHalfOpenPermits = Integer.MAX_VALUE;
    errorRate = 0;
    probeInFlight = false;
    coldWindow = -1;
    shedShare = 0;
  }
}
