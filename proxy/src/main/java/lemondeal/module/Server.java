package lemondeal.module;

import static lemondeal.module.Node.NEVER;

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
  int strikes;
  long passUntil = NEVER;
  int trials = Integer.MAX_VALUE; // set-ups let in before word of one comes back; after a failure few
  int trialsNext = trials; // let in after that
  double errorShare;
  int losses;
  long lossesSince = NEVER;
  long unansweredAt = NEVER; // when a line there last went unanswered
  long unreachedAt = NEVER; // when it last could not be reached
  long coldWindow = -1;
  int coldSends;
  double shed; // share of its clients that pass over it because it was hot, as of shedAt
  long shedAt = NEVER;
  long hotUntil = NEVER;
  long lateUntil = NEVER;
  double lateness; // times the shortest aim that a message took there by the last note
  long loggedAt = NEVER;
  double demand = Double.NaN;
  long demandAt = NEVER;
  double held; // connections that it held by its last report
  int sentSince; // by this node since that report
  long probedAt = NEVER;
  boolean probeOut;
  double ownLoad; // that this node's clients there ask for, by their hints
  final Set<Flow> open = new LinkedHashSet<>();
  final List<Flow> awaiting = new ArrayList<>(0);

  Server(String name) {
    this.name = name;
    this.hash = Rendezvous.hash(name);
  }

  /** Whether it is ready and did not fail lately. */
  boolean works(long now) {
    return state == ServerState.READY && now >= passUntil;
  }

  void answers() {
    unansweredAt = NEVER;
    unreachedAt = NEVER;
  }

  /** What was learnt of the process before says nothing of the one that started now. */
  void restarted(long startedAt) {
    this.startedAt = startedAt;
    strikes = 0;
    passUntil = NEVER;
    trials = trialsNext = Integer.MAX_VALUE;
    errorShare = 0;
    probeOut = false;
    coldWindow = -1;
    shed = 0;
  }
}
