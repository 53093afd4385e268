package lemondeal.module;

import static lemondeal.module.Rendezvous.hash;

import java.util.*;
import lemondeal.Balancer.*;

/** State of one request from its arrival to its final answer or the end of its connection, and the rules for
 * its retries. */
final class RequestState {
  final Request details;
  final long arrivedAt;
  final RequestClass requestClass; // null if the class is not in the settings
  final long groupHash;
  final long clientHash;
  final double loadHint; // expected load, by the request's hint; 0 without one
  final List<Server> triedServers = new ArrayList<>(2);
  boolean attemptInFlight;
  boolean established;
  Server boundServer; // of the first attempt that may have run or is in flight; limits retries
  long boundAt; // when that attempt was sent
  boolean mayHaveRun;
  int probeCount;
  boolean queued;
  long wakeUpToken; // of its latest wake-up
  boolean moveSent;
  boolean clientLeft; // only the outcome of the attempt in flight is awaited

  RequestState(Request details, Settings settings, long now) {
    this.details = details;
    this.arrivedAt = now;
    this.loadHint = details.cost() > 0 && details.cost() < Double.POSITIVE_INFINITY ? details.cost() : 0;
    int classIndex = details.requestClass();
    this.requestClass = classIndex >= 0 && classIndex < settings.classes().size()
        ? settings.classes().get(classIndex) : null;
    String key = settings.groupsShareWork() && details.group() != null ? details.group() : details.key();
    this.groupHash = hash(key != null ? key : details.id());
    this.clientHash = hash(details.key() != null ? details.key() : details.id());
  }

  /** An attempt starts at the server, or started there before this node did. */
  void attemptStarted(Server server, long now) {
    triedServers.add(server);
    server.hintedLoad += loadHint;
    attemptInFlight = true;
    if (!mayHaveRun) {
      boundServer = server;
      boundAt = now;
    }
  }

  /** The server of the latest attempt. */
  Server currentServer() {
    return triedServers.get(triedServers.size() - 1);
  }

  /** Hash of client and server in (0, 1). Shares of a server's clients are selected by it, so that a client
   * that returns gets the same decision. */
  double clientUnitHash(Server server) {
    return Rendezvous.toUnitInterval(Rendezvous.mix(clientHash + server.hash));
  }

  private Idempotency idempotency() {
    return requestClass == null ? Idempotency.UNSAFE : requestClass.idempotency();
  }

  /** How long the next attempt may still be sent. Ensures that no request takes effect twice. */
  long remainingRepeatTime(long now) {
    return !mayHaveRun || idempotency() == Idempotency.SAFE ? Long.MAX_VALUE
        : idempotency() == Idempotency.KEYED ? boundAt + requestClass.dedupWindow() - now : 0;
  }

  /** A refusal promises the client that a retry is safe. */
  boolean mayRefuse() {
    return !mayHaveRun || idempotency() == Idempotency.SAFE
        || (idempotency() == Idempotency.KEYED && requestClass.dedupScope() == DedupScope.ALL);
  }

  /** A keyed request that may have run is retried only on servers that deduplicate it. */
  boolean mayRetryOn(Server server) {
    return !mayHaveRun || idempotency() != Idempotency.KEYED || requestClass.dedupScope() == DedupScope.ALL
        || (server.zone == boundServer.zone
            && (requestClass.dedupScope() == DedupScope.ZONE || server.cell == boundServer.cell));
  }
}
