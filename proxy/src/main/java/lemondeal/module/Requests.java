package lemondeal.module;

import java.util.List;
import lemondeal.Balancer.*;

/** The life of a request: its attempts, its waits and its final answer. */
record Requests(Node node, Load load, Health health, Groups groups, ColdAdmission cold, Setups setups,
    Ranking ranking, ZoneAdmission zoneAdmission) {
  private static final long HOLD = 100_000; // before a held request looks again for a server
  private static final long ANSWER_LEAD = 30_000; // before the client leaves; a few ticks of any node

  void arrived(Request request) {
    Flow flow = new Flow(request, node.settings);
    node.flows.put(request.id(), flow);
    proceed(flow);
  }

  void adopted(Adopted event) {
    Flow flow = new Flow(event.request(), node.settings);
    flow.sent(node.server(event.server()), node.now);
    opened(flow);
    node.flows.put(event.request().id(), flow);
  }

  private void opened(Flow flow) {
    flow.established = true;
    flow.server().open.add(flow);
    cold.opened(1);
  }

  /** Sends the next attempt, holds the request, or gives its final answer. */
  private void proceed(Flow flow) {
    long left = flow.request.due() - node.now;
    if (left <= ANSWER_LEAD
        || (groups.turnedAway(flow) && !flow.request.midFlow() && !ranking.findsRoom(flow))
        || flow.tried.size() >= node.settings.limits().maxAttempts() || flow.mayRepeatFor(node.now) <= 0
        || left < setups.expected(flow)) {
      giveUp(flow);
      return;
    }
    if (!setups.mayStart()) {
      if (!flow.queued) {
        flow.queued = true;
        setups.queue.add(flow);
      }
      hold(flow, left);
      return;
    }
    Server s = ranking.choose(flow);
    if (s != null && load.worthProbing(s, flow)) {
      flow.probes++;
      s.awaiting.add(flow);
      load.probe(s);
      hold(flow, Math.min(left, Load.PROBE_WAIT + ANSWER_LEAD));
    } else if (s != null) {
      send(flow, s, left);
    } else if (flow.tried.size() < Math.max(1, node.fleet.length)
        && ranking.placeIn(flow) < left - ANSWER_LEAD) {
      hold(flow, left);
    } else {
      giveUp(flow);
    }
  }

  private void proceedIfWaiting(Flow flow) {
    if (!flow.outstanding && node.flows.get(flow.request.id()) == flow) {
      proceed(flow);
    }
  }

  private void send(Flow flow, Server s, long left) {
    cold.sent(s);
    zoneAdmission.sent(s);
    s.sentSince++;
    s.trials--;
    flow.sent(s, node.now);
    setups.out++;
    node.out.add(new Send(flow.request.id(), s.name, setups.timeout(flow, left)));
  }

  private void hold(Flow flow, long left) {
    flow.wake = node.nextToken++;
    node.held.put(flow.wake, flow);
    node.out.add(new WakeAfter(Math.max(1, Math.min(HOLD, left - ANSWER_LEAD)), flow.wake));
  }

  private void giveUp(Flow flow) {
    String id = flow.request.id();
    forget(flow);
    node.out.add(flow.mayRefuse() ? new Refuse(id, retryAfter(flow)) : new Fail(id));
  }

  private void forget(Flow flow) {
    node.flows.remove(flow.request.id());
    setups.queue.remove(flow);
  }

  /** When coming again makes sense: the client is told, rather than held so that it does not come. */
  private long retryAfter(Flow flow) {
    Limits limits = node.settings.limits();
    long pause = groups.turnedAway(flow) ? limits.maxRetryAfter() : Math.max(HOLD, ranking.placeIn(flow));
    return !limits.retryAfter() ? 0
        : Math.min(limits.maxRetryAfter(), Math.max(pause, setups.heldUntil - node.now));
  }

  void established(Established event) {
    Server s = node.servers.get(event.server());
    if (s != null) {
      health.setupEnded(s, Outcome.SERVED);
    }
    Flow flow = node.flows.get(event.id());
    if (flow != null) {
      opened(flow);
      setups.succeeded(event.elapsed());
    }
  }

  void ended(Ended event) {
    Flow flow = node.flows.get(event.id());
    Server s = node.servers.get(event.server());
    boolean wasEstablished = flow != null && flow.established;
    if (s != null && !wasEstablished) {
      health.setupEnded(s, event.outcome());
    } else if (s != null && event.outcome() == Outcome.RESET) {
      health.connectionLost(s);
    }
    if (flow == null || !flow.outstanding) {
      return;
    }
    flow.outstanding = false;
    flow.server().ownLoad -= flow.load;
    if (wasEstablished) {
      flow.server().open.remove(flow);
      cold.opened(-1);
      flow.established = false;
    } else {
      setups.failed(s, event.outcome(), event.elapsed());
    }
    if (event.over() || flow.gone) {
      node.flows.remove(event.id());
      return;
    }
    flow.mayHaveRun |= event.outcome().mayHaveRun;
    proceed(flow);
  }

  void probed(ProbeResult event) {
    Server s = node.servers.get(event.server());
    health.probed(s, event.outcome());
    load.reported(s, event.report());
    List<Flow> awaiting = List.copyOf(s.awaiting);
    s.awaiting.clear();
    awaiting.forEach(this::proceedIfWaiting);
  }

  void clientGone(String id) {
    Flow flow = node.flows.get(id);
    if (flow != null && !flow.outstanding) {
      forget(flow);
    } else if (flow != null) {
      flow.gone = true;
      if (node.settings.limits().mayCancel() && !flow.established) {
        node.out.add(new CancelAttempt(id, flow.tried.size() - 1));
      }
    }
  }

  /** Only the newest wake-up of a request counts: each look sets one, and they would add up. */
  void wake(long token) {
    Flow flow = node.held.remove(token);
    if (flow != null && flow.wake == token) {
      proceedIfWaiting(flow);
    }
  }

  /** Goes on with those that wait for a set-up, as far as may start by now. */
  void drainQueue() {
    while (!setups.queue.isEmpty() && setups.mayStart()) {
      Flow flow = setups.queue.poll();
      flow.queued = false;
      proceedIfWaiting(flow);
    }
  }
}
