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
 * A proxy in virtual time: hands a module of its own what happens and carries out what it decides, as the real proxy
 * does, with no processor time of its own. Connections end at it and die with it; after its death it comes back knowing
 * its last list.
 */
final class ProxyNode {
  private final World world;
  private final int number;
  private final int zone;
  private final Probes probes;
  private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
  private final ArrayDeque<Event> waiting = new ArrayDeque<>();
  private final Map<String, Boolean> slow = new HashMap<>();
  private Balancer module;
  private ServerList lastList;
  private boolean alive;
  private boolean busy;
  private boolean looksAlive;
  private int life;

  ProxyNode(World world, int number, int zone) {
    this.world = world;
    this.number = number;
    this.zone = zone;
    probes = new Probes(world, this, this::tell);
  }

  int number() {
    return number;
  }

  int zone() {
    return zone;
  }

  /** Grows with each start and death: what was begun before is void. */
  int life() {
    return life;
  }

  boolean looksAlive() {
    return looksAlive;
  }

  // ---- Life and death ---------------------------------------------------------------------------

  /** Starts with a module that knows only the last list. */
  void start(ServerList known) {
    life++;
    alive = true;
    looksAlive = true;
    module = world.policy().make(number, world);
    requests.clear();
    waiting.clear();
    slow.clear();
    lastList = lastList == null ? known : lastList;
    tell(new Start(world.seedOf(number, life), world.settings(number, zone)));
    ServerList saved = new ServerList(lastList.version(), ListKind.SAVED, lastList.entries());
    world.checks().listed(number, saved);
    tell(saved);
  }

  /** Dies: its connections break, the front notices later. */
  void die() {
    alive = false;
    life++;
    world.discovery().forget(this);
    world.agenda().after(world.scenario().front().late(), () -> looksAlive = alive);
    for (PendingRequest pending : List.copyOf(requests.values())) {
      stopWaiting(pending);
      if (pending.out != null) {
        abandon(pending.out);
        world.checks().attemptOver(pending.id);
      }
      if (pending.connection != null) {
        pending.connection.end();
        pending.client.cutOff();
      } else if (!pending.answered) {
        world.checks().lost(pending.id);
        pending.client.cutOff();
      }
    }
    requests.clear();
  }

  // ---- Towards the module -----------------------------------------------------------------------

  /** An action may cause the next event at once; that one waits until the actions of this one are done. */
  private void tell(Event event) {
    waiting.add(event);
    if (busy) {
      return;
    }
    busy = true;
    try {
      for (Event next = waiting.poll(); next != null; next = waiting.poll()) {
        for (Action action : world.decide(this, module, next)) {
          act(action);
        }
      }
    } finally {
      busy = false;
    }
  }

  void listed(ServerList list) {
    if (alive) {
      if (list.kind() == ListKind.FULL) {
        lastList = list;
      }
      world.checks().listed(number, list);
      tell(list);
    }
  }

  /** A chain of tests rather than a switch: pattern switches are only a preview in Java 17. */
  private void act(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof WakeAfter a) {
      int at = life;
      world.agenda().after(a.delay(), () -> {
        if (life == at) {
          tell(new Wake(a.token()));
        }
      });
    } else if (action instanceof Refuse a) {
      answer(a.id(), a.retryAfter(), "refused");
    } else if (action instanceof Fail a) {
      answer(a.id(), 0, "failed");
    } else if (action instanceof Move a) {
      move(a.id());
    } else if (action instanceof CancelAttempt a) {
      cancel(a);
    } else if (action instanceof Probe a) {
      probes.probe(a.server());
    } else if (action instanceof Subscribe a) {
      world.discovery().watch(this, a.on());
    } else if (action instanceof FetchList) {
      world.discovery().call(this, false);
    }
  }

  // ---- Requests ---------------------------------------------------------------------------------

  void arrives(Client client, String id, long due) {
    if (!alive) {
      world.checks().lost(id);
      client.turnedAway(0);
      return;
    }
    PendingRequest pending = new PendingRequest(client, id, due, world.agenda().now());
    requests.put(id, pending);
    pending.overdue = world.agenda().at(due + world.scenario().rules().answerSlack(), () -> overdue(pending));
    tell(new Arrived(new Request(id, due, client.classIndex(), client.key(),
        client.group() < 0 ? null : "g" + client.group(), Double.NaN, false, client.returned(), 0, client.isRetry())));
  }

  private static void stopWaiting(PendingRequest pending) {
    if (pending.overdue != null) {
      pending.overdue.cancel();
    }
  }

  private void overdue(PendingRequest pending) {
    if (!pending.answered) {
      pending.answered = true;
      world.checks().overdue(pending.id);
      pending.client.turnedAway(0);
      tell(new ClientGone(pending.id));
      forgetIfDone(pending);
    }
  }

  private void forgetIfDone(PendingRequest pending) {
    if (pending.answered && pending.out == null && pending.connection == null) {
      requests.remove(pending.id);
    }
  }

  private void answer(String id, long advice, String what) {
    PendingRequest pending = requests.get(id);
    world.checks().answered(id, what);
    if (pending == null || pending.answered) {
      return;
    }
    pending.answered = true;
    stopWaiting(pending);
    world.figures().turnedAway(pending.client.classIndex(), what.equals("refused"));
    world.agenda().after(world.latency(zone, pending.client.zone()), () -> pending.client.turnedAway(advice));
    forgetIfDone(pending);
  }

  private void send(Send a) {
    PendingRequest pending = requests.get(a.id());
    Server server = world.server(a.server());
    world.checks().sent(a.id(), number, a.server(), server);
    if (pending == null || pending.answered || pending.out != null || server == null) {
      int unsent = pending == null ? 0 : pending.attempts++;
      tell(new Ended(a.id(), unsent, a.server(), Outcome.NOT_SENT, 0, pending == null || pending.answered, null));
      return;
    }
    Attempt attempt = new Attempt(pending.attempts++, server, world.agenda().now());
    pending.out = attempt;
    world.figures().sent(pending.client.classIndex(), server.zone() != zone);
    long patience = a.timeout() > 0 ? a.timeout() : Math.max(1, pending.due - world.agenda().now());
    attempt.timeout = world.agenda().after(patience, () -> ended(pending, attempt, Outcome.TIMED_OUT, null));
    if (world.reaches(zone, server.zone())) {
      world.agenda().after(world.latency(zone, server.zone()), () -> reaches(pending, attempt));
    }
  }

  /** The first line comes to its server. */
  private void reaches(PendingRequest pending, Attempt attempt) {
    Server server = attempt.server;
    if (attempt.over) {
      return;
    }
    switch (server.state()) {
      case DEAD -> back(pending, attempt, Outcome.NO_CONNECTION);
      case HUNG -> { }
      case DRAINING -> back(pending, attempt, Outcome.REFUSED);
      case RUNNING -> {
        world.checks().reached(pending.id, server);
        if (!server.hasRoom()) {
          back(pending, attempt, Outcome.REFUSED);
        } else {
          attempt.job = server.setUp(world.setUpWork(pending.client.classIndex()),
              () -> world.store().call(() -> up(pending, attempt)));
        }
      }
      default -> throw new IllegalStateException("no such state: " + server.state());
    }
  }

  private void back(PendingRequest pending, Attempt attempt, Outcome outcome) {
    if (world.reaches(zone, attempt.server.zone())) {
      world.agenda().after(world.latency(zone, attempt.server.zone()), () -> ended(pending, attempt, outcome, null));
    }
  }

  /** The server has set the connection up; its {@code UP} is on its way. */
  private void up(PendingRequest pending, Attempt attempt) {
    Server server = attempt.server;
    if (attempt.over || server.state() == Server.State.DEAD || server.state() == Server.State.HUNG) {
      return;
    }
    Connection made = new Connection(pending.client, pending.id, this, server, attempt.number,
        pending.client.load() * world.swing(pending.client.classIndex()));
    server.add(made);
    if (!world.reaches(zone, server.zone())) {
      return;
    }
    world.agenda().after(world.latency(zone, server.zone()), () -> {
      if (attempt.over || made.isOver() || pending.answered) {
        if (!made.isOver()) {
          made.end();
        }
        return;
      }
      established(pending, attempt, made);
    });
  }

  private void established(PendingRequest pending, Attempt attempt, Connection made) {
    attempt.over = true;
    attempt.timeout.cancel();
    pending.out = null;
    pending.answered = true;
    pending.connection = made;
    stopWaiting(pending);
    world.checks().attemptOver(pending.id);
    world.checks().answered(pending.id, "up");
    tell(new Established(pending.id, attempt.number, attempt.server.name(), world.agenda().now() - attempt.began));
    pending.client.connected(made, world.agenda().now() - pending.arrived);
  }

  private void ended(PendingRequest pending, Attempt attempt, Outcome outcome, LoadReport report) {
    if (attempt.over) {
      return;
    }
    abandon(attempt);
    pending.out = null;
    world.checks().attemptOver(pending.id);
    world.figures().ended(outcome);
    tell(new Ended(pending.id, attempt.number, attempt.server.name(), outcome, world.agenda().now() - attempt.began,
        pending.answered, report));
    forgetIfDone(pending);
  }

  private static void abandon(Attempt attempt) {
    attempt.over = true;
    attempt.timeout.cancel();
    if (attempt.job != null) {
      attempt.job.cancel();
    }
  }

  private void cancel(CancelAttempt a) {
    PendingRequest pending = requests.get(a.id());
    if (pending != null && pending.out != null && pending.out.number == a.attempt()) {
      ended(pending, pending.out, Outcome.CANCELLED, null);
    }
  }

  // ---- Standing connections ---------------------------------------------------------------------

  private void move(String id) {
    PendingRequest pending = requests.get(id);
    world.checks().moved(id, pending != null && pending.connection != null);
    if (pending != null && pending.connection != null) {
      world.figures().moved(pending.client.classIndex());
      over(pending, Outcome.CANCELLED);
      pending.client.cutOff();
    }
  }

  /** The client ends its connection: its life is over. */
  void clientEnds(Connection connection) {
    PendingRequest pending = requests.get(connection.request());
    if (pending != null && pending.connection == connection) {
      over(pending, Outcome.SERVED);
    }
  }

  /** The server's side has ended: it died, or left after its drain. */
  void serverEnds(Connection connection, boolean politely) {
    PendingRequest pending = requests.get(connection.request());
    if (pending != null && pending.connection == connection) {
      over(pending, politely ? Outcome.CANCELLED : Outcome.RESET);
      world.figures().brokenOff(pending.client.classIndex(), politely);
      pending.client.cutOff();
    }
  }

  private void over(PendingRequest pending, Outcome outcome) {
    Connection connection = pending.connection;
    pending.connection = null;
    connection.end();
    requests.remove(pending.id);
    tell(new Ended(pending.id, connection.attempt(), connection.server().name(), outcome, 0, true, null));
  }

  /** How long a message takes at a server, once a second while that is long, and once more when it is not. */
  void messages(Connection on, double millis, boolean late) {
    String server = on.server().name();
    if (alive && (late || slow.getOrDefault(server, false))) {
      slow.put(server, late);
      tell(new MessageDelay(on.request(), on.attempt(), server, millis));
    }
  }
}
