package lemondeal.lab.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.lab.emulator.PendingRequest.Attempt;

/**
 * A simulated proxy: passes events to its own module and executes the module's actions, as the real proxy does, but
 * uses no processor time. Connections terminate at the proxy and break when it crashes; after a restart it knows its
 * last server list.
 */
final class ProxyNode {
  private final Simulation simulation;
  private final int number;
  private final int zone;
  private final Prober prober;
  private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private final ArrayDeque<Event> eventQueue = new ArrayDeque<>();
  private final Map<String, Boolean> slowServers = new HashMap<>();
  private Balancer module;
  private ServerList lastFullList;
  private boolean alive;
  private boolean handlingEvent;
  private boolean believedAlive;
  private int incarnation;

  ProxyNode(Simulation simulation, int number, int zone) {
    this.simulation = simulation;
    this.number = number;
    this.zone = zone;
    prober = new Prober(simulation, this, this::handle);
  }

  int number() {
    return number;
  }

  int zone() {
    return zone;
  }

  /** Increases with each start and crash; callbacks of an earlier incarnation are ignored. */
  int incarnation() {
    return incarnation;
  }

  boolean believedAlive() {
    return believedAlive;
  }

  // ---- Start and crash --------------------------------------------------------------------------

  /** Starts with a new module that knows only the last server list. */
  void start(ServerList initialList) {
    incarnation++;
    alive = true;
    believedAlive = true;
    module = simulation.policyFactory().create(number, simulation);
    pendingRequests.clear();
    eventQueue.clear();
    slowServers.clear();
    lastFullList = lastFullList == null ? initialList : lastFullList;
    handle(new Start(simulation.moduleSeed(number, incarnation), simulation.settings(number, zone)));
    ServerList saved = new ServerList(lastFullList.version(), ListKind.SAVED, lastFullList.entries());
    simulation.checks().listReceived(number, saved);
    handle(saved);
  }

  /** Crashes: its connections break, and the front end balancer detects it after a delay. */
  void crash() {
    alive = false;
    incarnation++;
    simulation.discovery().removeWatcher(this);
    simulation.scheduler().after(simulation.scenario().frontEnd().detectionDelay(), () -> believedAlive = alive);
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      cancelOverdueTimer(pending);
      if (pending.currentAttempt != null) {
        cancelAttempt(pending.currentAttempt);
        simulation.checks().attemptEnded(pending.id);
      }
      if (pending.connection != null) {
        pending.connection.end();
        pending.client.connectionLost();
      } else if (!pending.answered) {
        simulation.checks().lost(pending.id);
        pending.client.connectionLost();
      }
    }
    pendingRequests.clear();
  }

  // ---- Module -----------------------------------------------------------------------------------

  /** Passes an event to the module. An event caused by an action is queued until all actions of this one are done. */
  private void handle(Event event) {
    eventQueue.add(event);
    if (handlingEvent) {
      return;
    }
    handlingEvent = true;
    try {
      for (Event next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
        for (Action action : simulation.decide(this, module, next)) {
          execute(action);
        }
      }
    } finally {
      handlingEvent = false;
    }
  }

  void listReceived(ServerList list) {
    if (alive) {
      if (list.kind() == ListKind.FULL) {
        lastFullList = list;
      }
      simulation.checks().listReceived(number, list);
      handle(list);
    }
  }

  /** An if chain rather than a switch, because pattern switches are only a preview in Java 17. */
  private void execute(Action action) {
    if (action instanceof Send command) {
      send(command);
    } else if (action instanceof WakeAfter command) {
      int startIncarnation = incarnation;
      simulation.scheduler().after(command.delay(), () -> {
        if (incarnation == startIncarnation) {
          handle(new Wake(command.token()));
        }
      });
    } else if (action instanceof Refuse command) {
      sendFinalAnswer(command.id(), command.retryAfter(), "refused");
    } else if (action instanceof Fail command) {
      sendFinalAnswer(command.id(), 0, "failed");
    } else if (action instanceof Move command) {
      moveClient(command.id());
    } else if (action instanceof CancelAttempt command) {
      cancelByModule(command);
    } else if (action instanceof Probe command) {
      prober.sendProbe(command.server());
    } else if (action instanceof Subscribe command) {
      simulation.discovery().setWatching(this, command.on());
    } else if (action instanceof FetchList) {
      simulation.discovery().requestList(this, false);
    }
  }

  // ---- Requests ---------------------------------------------------------------------------------

  void requestReceived(Client client, String requestId, long deadline) {
    if (!alive) {
      simulation.checks().lost(requestId);
      client.rejected(0);
      return;
    }
    PendingRequest pending = new PendingRequest(client, requestId, deadline, simulation.scheduler().now());
    pendingRequests.put(requestId, pending);
    pending.overdueTimer = simulation.scheduler().at(deadline + simulation.scenario().rules().answerSlack(),
        () -> deadlinePassed(pending));
    handle(new Arrived(new Request(requestId, deadline, client.classIndex(), client.key(),
        client.group() < 0 ? null : "g" + client.group(), Double.NaN, false, client.reconnecting(), 0,
        client.isRetry())));
  }

  private static void cancelOverdueTimer(PendingRequest pending) {
    if (pending.overdueTimer != null) {
      pending.overdueTimer.cancel();
    }
  }

  private void deadlinePassed(PendingRequest pending) {
    if (!pending.answered) {
      pending.answered = true;
      simulation.checks().overdue(pending.id);
      pending.client.rejected(0);
      handle(new ClientGone(pending.id));
      removeIfDone(pending);
    }
  }

  private void removeIfDone(PendingRequest pending) {
    if (pending.answered && pending.currentAttempt == null && pending.connection == null) {
      pendingRequests.remove(pending.id);
    }
  }

  private void sendFinalAnswer(String requestId, long retryAfter, String answer) {
    PendingRequest pending = pendingRequests.get(requestId);
    simulation.checks().answered(requestId, answer);
    if (pending == null || pending.answered) {
      return;
    }
    pending.answered = true;
    cancelOverdueTimer(pending);
    simulation.figures().rejected(pending.client.classIndex(), answer.equals("refused"));
    simulation.scheduler().after(simulation.latency(zone, pending.client.zone()),
        () -> pending.client.rejected(retryAfter));
    removeIfDone(pending);
  }

  private void send(Send command) {
    PendingRequest pending = pendingRequests.get(command.id());
    Server server = simulation.server(command.server());
    simulation.checks().sent(command.id(), number, command.server(), server);
    if (pending == null || pending.answered || pending.currentAttempt != null || server == null) {
      int attemptNumber = pending == null ? 0 : pending.attemptCount++;
      handle(new Ended(command.id(), attemptNumber, command.server(), Outcome.NOT_SENT, 0,
          pending == null || pending.answered, null));
      return;
    }
    Attempt attempt = new Attempt(pending.attemptCount++, server, simulation.scheduler().now());
    pending.currentAttempt = attempt;
    simulation.figures().attemptSent(pending.client.classIndex(), server.zone() != zone);
    long timeout = command.timeout() > 0 ? command.timeout()
        : Math.max(1, pending.deadline - simulation.scheduler().now());
    attempt.timeoutTimer = simulation.scheduler().after(timeout,
        () -> attemptEnded(pending, attempt, Outcome.TIMED_OUT, null));
    if (simulation.canReach(zone, server.zone())) {
      simulation.scheduler().after(simulation.latency(zone, server.zone()),
          () -> attemptReachedServer(pending, attempt));
    }
  }

  /** The attempt's first line arrives at the server. */
  private void attemptReachedServer(PendingRequest pending, Attempt attempt) {
    Server server = attempt.server;
    if (attempt.ended) {
      return;
    }
    switch (server.state()) {
      case DEAD -> replyFromServer(pending, attempt, Outcome.NO_CONNECTION);
      case HUNG -> { }
      case DRAINING -> replyFromServer(pending, attempt, Outcome.REFUSED);
      case RUNNING -> {
        simulation.checks().reached(pending.id, server);
        if (!server.acceptsSetUp()) {
          replyFromServer(pending, attempt, Outcome.REFUSED);
        } else {
          attempt.setUpJob = server.setUp(simulation.nextSetUpWork(pending.client.classIndex()),
              () -> simulation.sessionStore().call(() -> setUpFinished(pending, attempt)));
        }
      }
      default -> throw new IllegalStateException("unknown server state: " + server.state());
    }
  }

  private void replyFromServer(PendingRequest pending, Attempt attempt, Outcome outcome) {
    if (simulation.canReach(zone, attempt.server.zone())) {
      simulation.scheduler().after(simulation.latency(zone, attempt.server.zone()),
          () -> attemptEnded(pending, attempt, outcome, null));
    }
  }

  /** The server has set the connection up and sends its {@code UP}. */
  private void setUpFinished(PendingRequest pending, Attempt attempt) {
    Server server = attempt.server;
    if (attempt.ended || server.state() == Server.State.DEAD || server.state() == Server.State.HUNG) {
      return;
    }
    Connection connection = new Connection(pending.client, pending.id, this, server, attempt.number,
        pending.client.load() * simulation.nextLoadFactor(pending.client.classIndex()));
    server.addConnection(connection);
    if (!simulation.canReach(zone, server.zone())) {
      return;
    }
    simulation.scheduler().after(simulation.latency(zone, server.zone()), () -> {
      if (attempt.ended || connection.isEnded() || pending.answered) {
        if (!connection.isEnded()) {
          connection.end();
        }
        return;
      }
      established(pending, attempt, connection);
    });
  }

  private void established(PendingRequest pending, Attempt attempt, Connection connection) {
    attempt.ended = true;
    attempt.timeoutTimer.cancel();
    pending.currentAttempt = null;
    pending.answered = true;
    pending.connection = connection;
    cancelOverdueTimer(pending);
    simulation.checks().attemptEnded(pending.id);
    simulation.checks().answered(pending.id, "up");
    handle(new Established(pending.id, attempt.number, attempt.server.name(),
        simulation.scheduler().now() - attempt.startTime));
    pending.client.connectionEstablished(connection, simulation.scheduler().now() - pending.arrivalTime);
  }

  private void attemptEnded(PendingRequest pending, Attempt attempt, Outcome outcome, LoadReport report) {
    if (attempt.ended) {
      return;
    }
    cancelAttempt(attempt);
    pending.currentAttempt = null;
    simulation.checks().attemptEnded(pending.id);
    simulation.figures().attemptEnded(outcome);
    handle(new Ended(pending.id, attempt.number, attempt.server.name(), outcome,
        simulation.scheduler().now() - attempt.startTime, pending.answered, report));
    removeIfDone(pending);
  }

  private static void cancelAttempt(Attempt attempt) {
    attempt.ended = true;
    attempt.timeoutTimer.cancel();
    if (attempt.setUpJob != null) {
      attempt.setUpJob.cancel();
    }
  }

  private void cancelByModule(CancelAttempt command) {
    PendingRequest pending = pendingRequests.get(command.id());
    if (pending != null && pending.currentAttempt != null && pending.currentAttempt.number == command.attempt()) {
      attemptEnded(pending, pending.currentAttempt, Outcome.CANCELLED, null);
    }
  }

  // ---- Established connections ------------------------------------------------------------------

  private void moveClient(String requestId) {
    PendingRequest pending = pendingRequests.get(requestId);
    simulation.checks().moved(requestId, pending != null && pending.connection != null);
    if (pending != null && pending.connection != null) {
      simulation.figures().moved(pending.client.classIndex());
      closeConnection(pending, Outcome.CANCELLED);
      pending.client.connectionLost();
    }
  }

  /** The client closes its connection, at the end of its lifetime or to reconnect. */
  void closedByClient(Connection connection) {
    PendingRequest pending = pendingRequests.get(connection.requestId());
    if (pending != null && pending.connection == connection) {
      closeConnection(pending, Outcome.SERVED);
    }
  }

  /** The server closed the connection after its drain, or crashed. */
  void closedByServer(Connection connection, boolean gracefully) {
    PendingRequest pending = pendingRequests.get(connection.requestId());
    if (pending != null && pending.connection == connection) {
      closeConnection(pending, gracefully ? Outcome.CANCELLED : Outcome.RESET);
      simulation.figures().brokenOff(pending.client.classIndex(), gracefully);
      pending.client.connectionLost();
    }
  }

  private void closeConnection(PendingRequest pending, Outcome outcome) {
    Connection connection = pending.connection;
    pending.connection = null;
    connection.end();
    pendingRequests.remove(pending.id);
    handle(new Ended(pending.id, connection.attemptNumber(), connection.server().name(), outcome, 0, true, null));
  }

  /**
   * Passes a server's message delay to the module: once a second while it is long, and once more when it no longer
   * is.
   */
  void messageDelayMeasured(Connection connection, double millis, boolean isLate) {
    String server = connection.server().name();
    if (alive && (isLate || slowServers.getOrDefault(server, false))) {
      slowServers.put(server, isLate);
      handle(new MessageDelay(connection.requestId(), connection.attemptNumber(), server, millis));
    }
  }
}
