package lemondeal;

import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Effect;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Limits;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Prices;
import lemondeal.Balancer.RepeatScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Rules;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.Balancer.WeightMeaning;
import lemondeal.module.Logic;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** One node under test with a fake clock; wake-ups that it asks for come when the clock passes them. */
final class Node {
  static final long SECOND = 1_000_000;
  static final long LONG_AGO = 0;

  final Logic logic = new Logic();
  final List<Action> done = new ArrayList<>();
  private final TreeMap<Long, List<Long>> wakes = new TreeMap<>();
  long now = 1_000 * SECOND;
  private long version;

  /** Settings that tests vary one thing of. */
  static final class With {
    int node;
    int nodes = 1;
    Effect effect = Effect.SAFE;
    RepeatScope scope = RepeatScope.ALL;
    boolean asks;
    boolean groups = true;
    boolean probes;
    boolean peers;
    int attempts = 4;
    long seed = 7;
    double secondClassWorth;
    long repeatWindow = 2 * SECOND;
    boolean cancels = true;

    Settings settings() {
      RequestClass c = new RequestClass(effect, scope, repeatWindow, SECOND / 2, 3 * SECOND, 1, 100_000);
      RequestClass dear = new RequestClass(effect, scope, repeatWindow, SECOND / 2, 3 * SECOND,
          secondClassWorth, 100_000);
      List<RequestClass> classes = secondClassWorth > 0 ? List.of(c, dear) : List.of(c);
      return new Settings(node, nodes, 0, classes, List.of(),
          new Rules(20_000, SECOND, 3, 2 * SECOND, 0.2, 10 * SECOND, asks ? 10 * SECOND : 0),
          new Limits(attempts, cancels, probes, peers, false, true, SECOND, 100_000),
          new Prices(0.01, 0.1, 0.002, 0.01, 0.02), WeightMeaning.NOMINAL, asks, groups, false, probes,
          false, 0.1);
    }
  }

  Node(With with) {
    take(new Start(with.seed, with.settings()));
  }

  Node() {
    this(new With());
  }

  /** The number of the request's newest attempt. */
  int attempts(String id) {
    return (int) done.stream().filter(a -> a instanceof Send s && s.id().equals(id)).count() - 1;
  }

  /** Gives the event and returns what was done at once. */
  List<Action> take(Event event) {
    List<Action> actions = logic.on(now, event);
    done.addAll(actions);
    for (Action action : actions) {
      if (action instanceof WakeAfter w) {
        wakes.computeIfAbsent(now + w.delay(), t -> new ArrayList<>()).add(w.token());
      }
    }
    return actions;
  }

  /** Moves the clock, delivering wake-ups in order; returns what was done meanwhile. */
  List<Action> pass(long micros) {
    final int from = done.size();
    long end = now + micros;
    while (!wakes.isEmpty() && wakes.firstKey() <= end) {
      var entry = wakes.pollFirstEntry();
      now = Math.max(now, entry.getKey());
      for (long token : entry.getValue()) {
        take(new Wake(token));
      }
    }
    now = end;
    return List.copyOf(done.subList(from, done.size()));
  }

  static ServerEntry server(String name, double weight) {
    return new ServerEntry(name, 0, 0, 0, LONG_AGO, ServerState.READY, weight);
  }

  static ServerEntry server(String name, int zone, int cell) {
    return new ServerEntry(name, zone, cell, 0, LONG_AGO, ServerState.READY, 1);
  }

  static ServerEntry state(String name, ServerState state) {
    return new ServerEntry(name, 0, 0, 0, LONG_AGO, state, 1);
  }

  static ServerEntry started(String name, long at) {
    return new ServerEntry(name, 0, 0, 0, at, ServerState.READY, 1);
  }

  Node full(ServerEntry... entries) {
    take(new ServerList(++version, ListKind.FULL, Arrays.asList(entries)));
    return this;
  }

  Node change(ServerEntry... entries) {
    take(new ServerList(++version, ListKind.CHANGES, Arrays.asList(entries)));
    return this;
  }

  /** A fleet of equal servers s0, s1, ... */
  Node fleet(int count) {
    ServerEntry[] entries = new ServerEntry[count];
    for (int i = 0; i < count; i++) {
      entries[i] = server("s" + i, 1);
    }
    return full(entries);
  }

  Request request(String id, String key, String group) {
    return new Request(id, now + 3 * SECOND, 0, key, group, Double.NaN, false, false, 0, false);
  }

  /** A request arrives; returns the server it is sent to at once, or null. */
  String arrive(String id, String key, String group) {
    return sentTo(take(new Arrived(request(id, key, group))), id);
  }

  String arrive(String id) {
    return arrive(id, id, null);
  }

  /** A request arrives and its connection stands. */
  String open(String id, String key, String group) {
    String server = arrive(id, key, group);
    if (server != null) {
      take(new Established(id, 0, server, 5_000));
    }
    return server;
  }

  /** Requests of different keys, each of whose attempts ends in this way. */
  void failAll(int count, Outcome outcome) {
    for (int i = 0; i < count; i++) {
      String id = "failing" + i;
      String server = arrive(id);
      for (int attempt = 0; server != null; attempt++) {
        server = sentTo(end(id, attempt, server, outcome), id);
      }
    }
  }

  List<Action> end(String id, int attempt, String server, Outcome outcome) {
    return take(new Ended(id, attempt, server, outcome, 5_000, false, null));
  }

  List<Action> late(String id, String server, double millis) {
    return take(new MessageDelay(id, 0, server, millis));
  }

  static String sentTo(List<Action> actions, String id) {
    for (Action action : actions) {
      if (action instanceof Send s && s.id().equals(id)) {
        return s.server();
      }
    }
    return null;
  }

  static <T extends Action> List<T> only(List<Action> actions, Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
