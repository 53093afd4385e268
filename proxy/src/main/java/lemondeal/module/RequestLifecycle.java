package lemondeal.module;

import java.util.List;
import lemondeal.Balancer.*;

/** Handles a request from its arrival: its attempts, its waits and its final answer. */
record RequestLifecycle(NodeState node, LoadEstimator load, Health health, GroupShedding groupShedding,
    SlowStart slowStart, SetupLimiter setupLimiter, Ranking ranking, ZoneAdmission zoneAdmission) {
  private static final long HOLD_INTERVAL = 100_000; // between two placements of a held request
  // How long before the client's deadline its final answer is given: a few timer ticks of any node.
  private static final long ANSWER_MARGIN = 30_000;
  // How long a request waits for a new list once the held one has expired; calls to discovery take about that
  // long to be repeated.
  private static final long EXPIRED_LIST_WAIT = 1_000_000;

  void arrived(Request details) {
    RequestState request = new RequestState(details, node.settings, node.now);
    node.requests.put(details.id(), request);
    proceed(request);
  }

  void adopted(Adopted event) {
    RequestState request = new RequestState(event.request(), node.settings, node.now);
    request.attemptStarted(node.getOrCreateServer(event.server()), node.now);
    connectionOpened(request);
    node.requests.put(event.request().id(), request);
  }

  private void connectionOpened(RequestState request) {
    request.established = true;
    request.currentServer().openConnections.add(request);
    slowStart.connectionsChanged(1);
  }

  /** Sends the next attempt, holds the request, or gives its final answer. */
  private void proceed(RequestState request) {
    long timeLeft = request.details.due() - node.now;
    if (timeLeft <= ANSWER_MARGIN
        || (groupShedding.isShed(request) && !request.details.midFlow() && !ranking.hasCapacityAgain(request))
        || request.triedServers.size() >= node.settings.limits().maxAttempts()
        || request.remainingRepeatTime(node.now) <= 0
        || timeLeft < setupLimiter.expectedTime(request)) {
      giveUp(request);
      return;
    }
    if (!setupLimiter.mayStart()) {
      if (!request.queued) {
        request.queued = true;
        setupLimiter.queue.add(request);
      }
      hold(request, timeLeft);
      return;
    }
    Server server = ranking.choose(request);
    if (server != null && load.shouldProbe(server, request)) {
      request.probeCount++;
      server.awaitingProbe.add(request);
      load.probe(server);
      hold(request, Math.min(timeLeft, LoadEstimator.PROBE_WAIT + ANSWER_MARGIN));
    } else if (server != null) {
      send(request, server, timeLeft);
    } else if (node.isListExpired()) {
      node.logExpiredList();
      if (node.now - request.arrivedAt < EXPIRED_LIST_WAIT) {
        hold(request, timeLeft);
      } else {
        giveUp(request);
      }
    } else if (request.triedServers.size() < Math.max(1, node.listedServers.length)
        && ranking.timeUntilCapacity(request) < timeLeft - ANSWER_MARGIN) {
      hold(request, timeLeft);
    } else {
      giveUp(request);
    }
  }

  private void proceedIfWaiting(RequestState request) {
    if (!request.attemptInFlight && node.requests.get(request.details.id()) == request) {
      proceed(request);
    }
  }

  private void send(RequestState request, Server server, long timeLeft) {
    slowStart.recordSend(server);
    zoneAdmission.recordSend(server);
    server.sendsSinceReport++;
    server.halfOpenPermits--;
    request.attemptStarted(server, node.now);
    setupLimiter.inFlight++;
    node.actions.add(new Send(request.details.id(), server.name, setupLimiter.timeout(request, timeLeft)));
  }

  private void hold(RequestState request, long timeLeft) {
    request.wakeUpToken = node.nextWakeUpToken++;
    node.waitingRequests.put(request.wakeUpToken, request);
    node.actions.add(new WakeAfter(Math.max(1, Math.min(HOLD_INTERVAL, timeLeft - ANSWER_MARGIN)),
        request.wakeUpToken));
  }

  private void giveUp(RequestState request) {
    String id = request.details.id();
    forget(request);
    node.actions.add(request.mayRefuse() ? new Refuse(id, retryAfter(request)) : new Fail(id));
  }

  private void forget(RequestState request) {
    node.requests.remove(request.details.id());
    setupLimiter.queue.remove(request);
  }

  /** Time after which a retry may succeed. The client gets it instead of being held until its deadline. */
  private long retryAfter(RequestState request) {
    Limits limits = node.settings.limits();
    long delay = groupShedding.isShed(request) ? limits.maxRetryAfter()
        : Math.max(HOLD_INTERVAL, ranking.timeUntilCapacity(request));
    return !limits.mayAdviseRetryAfter() ? 0
        : Math.min(limits.maxRetryAfter(), Math.max(delay, setupLimiter.backoffUntil - node.now));
  }

  void established(Established event) {
    Server server = node.servers.get(event.server());
    if (server != null) {
      server.acceptedAt = Math.max(server.acceptedAt, node.now - event.elapsed());
      server.refusedLast = false;
      health.setupEnded(server, Outcome.SERVED);
    }
    RequestState request = node.requests.get(event.id());
    if (request != null) {
      connectionOpened(request);
      setupLimiter.succeeded(event.elapsed());
    }
  }

  void ended(Ended event) {
    RequestState request = node.requests.get(event.id());
    Server server = node.servers.get(event.server());
    boolean wasEstablished = request != null && request.established;
    if (server != null && !wasEstablished) {
      server.refusedLast |= event.outcome() == Outcome.REFUSED;
      health.setupEnded(server, event.outcome());
    } else if (server != null && event.outcome() == Outcome.RESET) {
      health.connectionLost(server);
    }
    if (request == null || !request.attemptInFlight) {
      return;
    }
    request.attemptInFlight = false;
    request.currentServer().hintedLoad -= request.loadHint;
    if (wasEstablished) {
      request.currentServer().openConnections.remove(request);
      slowStart.connectionsChanged(-1);
      request.established = false;
    } else {
      setupLimiter.failed(server, event.outcome(), event.elapsed());
    }
    if (event.requestFinished() || request.clientLeft) {
      node.requests.remove(event.id());
      return;
    }
    request.mayHaveRun |= event.outcome().mayHaveRun;
    proceed(request);
  }

  void probed(ProbeResult event) {
    Server server = node.servers.get(event.server());
    health.probeEnded(server, event.outcome());
    load.recordReport(server, event.report());
    List<RequestState> waiting = List.copyOf(server.awaitingProbe);
    server.awaitingProbe.clear();
    waiting.forEach(this::proceedIfWaiting);
  }

  void clientGone(String id) {
    RequestState request = node.requests.get(id);
    if (request != null && !request.attemptInFlight) {
      forget(request);
    } else if (request != null) {
      request.clientLeft = true;
      if (node.settings.limits().mayCancel() && !request.established) {
        node.actions.add(new CancelAttempt(id, request.triedServers.size() - 1));
      }
    }
  }

  /** Only a request's latest wake-up counts: each check schedules one, and they would accumulate. */
  void wakeUp(long token) {
    RequestState request = node.waitingRequests.remove(token);
    if (request != null && request.wakeUpToken == token) {
      proceedIfWaiting(request);
    }
  }

  /** Starts queued set-ups as far as the limit allows. */
  void drainQueue() {
    while (!setupLimiter.queue.isEmpty() && setupLimiter.mayStart()) {
      RequestState request = setupLimiter.queue.poll();
      request.queued = false;
      proceedIfWaiting(request);
    }
  }
}
