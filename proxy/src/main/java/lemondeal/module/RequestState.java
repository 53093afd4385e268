package lemondeal.module;

import static lemondeal.module.Rendezvous.hash;

import java.util.*;
import lemondeal.Balancer.*;

/** One request, from its arrival to its final answer or its connection's end; which repeats it allows. */
final class RequestState {
  final Request details;
  final RequestClass requestClass; // null for a class that this node was never told of
  final long groupHash;
  final long clientHash;
  final double loadHint; // that it usually asks for, by its hint; 0 without one
  final List<Server> triedServers = new ArrayList<>(2);
  boolean attemptInFlight;
  boolean established;
  Server boundServer; // of the first attempt that may have run or is out: binds later ones
  long boundAt; // when that was sent
  boolean mayHaveRun;
  int probeCount;
  boolean queued;
  long wakeUpToken; // token of its newest wake-up
  boolean moveSent;
  boolean clientLeft; // the client has left; only the outcome of the attempt that is out is awaited

  RequestState(Request details, Settings settings) {
    this.details = details;
    this.loadHint = details.cost() > 0 && details.cost() < Double.POSITIVE_INFINITY ? details.cost() : 0;
    int classIndex = details.requestClass();
    this.requestClass = classIndex >= 0 && classIndex < settings.classes().size() ? settings.classes().get(classIndex) : null;
    String key = settings.groupsShareWork() && details.group() != null ? details.group() : details.key();
    this.groupHash = hash(key != null ? key : details.id());
    this.clientHash = hash(details.key() != null ? details.key() : details.id());
  }

  /** An attempt begins there, or began before this node did. */
  void attemptStarted(Server server, long now) {
    triedServers.add(server);
    server.hintedLoad += loadHint;
    attemptInFlight = true;
    if (!mayHaveRun) {
      boundServer = server;
      boundAt = now;
    }
  }

  /** The server of its latest attempt. */
  Server currentServer() {
    return triedServers.get(triedServers.size() - 1);
  }

  /** Its client's place among a server's: shares are cut by it, so that who comes again finds the same. */
  double clientUnitHash(Server server) {
    return Rendezvous.toUnitInterval(Rendezvous.mix(clientHash + server.hash));
  }

  private Idempotency idempotency() {
    return requestClass == null ? Idempotency.UNSAFE : requestClass.idempotency();
  }

  /** Guards the rule that no effect happens twice: for how long a server may still get the next attempt. */
  long remainingRepeatTime(long now) {
    return !mayHaveRun || idempotency() == Idempotency.SAFE ? Long.MAX_VALUE
        : idempotency() == Idempotency.KEYED ? boundAt + requestClass.dedupWindow() - now : 0;
  }

  /** A refusal promises that trying again is harmless. */
  boolean mayRefuse() {
    return !mayHaveRun || idempotency() == Idempotency.SAFE
        || (idempotency() == Idempotency.KEYED && requestClass.dedupScope() == DedupScope.ALL);
  }

  /** A keyed request that may have run goes only to servers that drop its repeats. */
  boolean mayRetryOn(Server server) {
    return !mayHaveRun || idempotency() != Idempotency.KEYED || requestClass.dedupScope() == DedupScope.ALL
        || (server.zone == boundServer.zone && (requestClass.dedupScope() == DedupScope.ZONE || server.cell == boundServer.cell));
  }
}
