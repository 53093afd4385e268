package lemondeal;

import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Limits;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Prices;
import lemondeal.Balancer.DedupScope;
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
import lemondeal.module.DecisionModule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** A decision module under test with a fake clock; requested wake-ups are delivered as the clock advances. */
final class NodeFixture {
  static final long SECOND = 1_000_000;
  static final long LONG_AGO = 0;

  final DecisionModule module = new DecisionModule();
  final List<Action> allActions = new ArrayList<>();
  private final TreeMap<Long, List<Long>> wakeUps = new TreeMap<>();
  long now = 1_000 * SECOND;
  private long version;

  /** Settings of the node; a test changes what it needs. */
  static final class Options {
    int nodeIndex;
    int nodeCount = 1;
    Idempotency idempotency = Idempotency.SAFE;
    DedupScope dedupScope = DedupScope.ALL;
    boolean mustSubscribe;
    boolean groupsShareWork = true;
    boolean mayProbe;
    boolean mayMessagePeers;
    int maxAttempts = 4;
    long seed = 7;
    double secondClassWorth;
    long dedupWindow = 2 * SECOND;
    boolean mayCancel = true;

    Settings settings() {
      RequestClass firstClass =
          new RequestClass(idempotency, dedupScope, dedupWindow, SECOND / 2, 3 * SECOND, 1, 100_000);
      RequestClass secondClass = new RequestClass(idempotency, dedupScope, dedupWindow, SECOND / 2, 3 * SECOND,
          secondClassWorth, 100_000);
      List<RequestClass> classes = secondClassWorth > 0 ? List.of(firstClass, secondClass) : List.of(firstClass);
      return new Settings(nodeIndex, nodeCount, 0, classes, List.of(),
          new Rules(20_000, SECOND, 3, 2 * SECOND, 0.2, 10 * SECOND, mustSubscribe ? 10 * SECOND : 0),
          new Limits(maxAttempts, mayCancel, mayProbe, mayMessagePeers, false, true, SECOND, 100_000),
          new Prices(0.01, 0.1, 0.002, 0.01, 0.02), WeightMeaning.NOMINAL, mustSubscribe, groupsShareWork, false,
          mayProbe, false, 0.1);
    }
  }

  NodeFixture(Options options) {
    handle(new Start(options.seed, options.settings()));
  }

  NodeFixture() {
    this(new Options());
  }

  /** The number of the request's latest attempt. */
  int latestAttempt(String id) {
    return (int) allActions.stream().filter(a -> a instanceof Send s && s.id().equals(id)).count() - 1;
  }

  /** Delivers the event and returns the resulting actions. */
  List<Action> handle(Event event) {
    List<Action> actions = module.on(now, event);
    allActions.addAll(actions);
    for (Action action : actions) {
      if (action instanceof WakeAfter w) {
        wakeUps.computeIfAbsent(now + w.delay(), t -> new ArrayList<>()).add(w.token());
      }
    }
    return actions;
  }

  /** Advances the clock and delivers due wake-ups in order; returns the actions taken meanwhile. */
  List<Action> advance(long duration) {
    final int firstNew = allActions.size();
    long end = now + duration;
    while (!wakeUps.isEmpty() && wakeUps.firstKey() <= end) {
      var entry = wakeUps.pollFirstEntry();
      now = Math.max(now, entry.getKey());
      for (long token : entry.getValue()) {
        handle(new Wake(token));
      }
    }
    now = end;
    return List.copyOf(allActions.subList(firstNew, allActions.size()));
  }

  static ServerEntry server(String name, double weight) {
    return new ServerEntry(name, 0, 0, 0, LONG_AGO, ServerState.READY, weight);
  }

  static ServerEntry server(String name, int zone, int cell) {
    return new ServerEntry(name, zone, cell, 0, LONG_AGO, ServerState.READY, 1);
  }

  static ServerEntry serverInState(String name, ServerState state) {
    return new ServerEntry(name, 0, 0, 0, LONG_AGO, state, 1);
  }

  static ServerEntry serverStartedAt(String name, long at) {
    return new ServerEntry(name, 0, 0, 0, at, ServerState.READY, 1);
  }

  NodeFixture fullList(ServerEntry... entries) {
    handle(new ServerList(++version, ListKind.FULL, Arrays.asList(entries)));
    return this;
  }

  NodeFixture listChanges(ServerEntry... entries) {
    handle(new ServerList(++version, ListKind.CHANGES, Arrays.asList(entries)));
    return this;
  }

  /** A full list of equal servers s0, s1, ... */
  NodeFixture equalServers(int count) {
    ServerEntry[] entries = new ServerEntry[count];
    for (int i = 0; i < count; i++) {
      entries[i] = server("s" + i, 1);
    }
    return fullList(entries);
  }

  Request request(String id, String key, String group) {
    return new Request(id, now + 3 * SECOND, 0, key, group, Double.NaN, false, false, 0, false);
  }

  /** A request arrives; returns the server that it is sent to at once, or null. */
  String arrive(String id, String key, String group) {
    return sentTo(handle(new Arrived(request(id, key, group))), id);
  }

  String arrive(String id) {
    return arrive(id, id, null);
  }

  /** A request arrives and its connection is established; returns the server, or null. */
  String open(String id, String key, String group) {
    String server = arrive(id, key, group);
    if (server != null) {
      handle(new Established(id, 0, server, 5_000));
    }
    return server;
  }

  /** Sends requests with different keys, each of whose attempts ends with the outcome. */
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
    return handle(new Ended(id, attempt, server, outcome, 5_000, false, null));
  }

  List<Action> messageDelay(String id, String server, double millis) {
    return handle(new MessageDelay(id, 0, server, millis));
  }

  static String sentTo(List<Action> actions, String id) {
    for (Action action : actions) {
      if (action instanceof Send s && s.id().equals(id)) {
        return s.server();
      }
    }
    return null;
  }

  static <T extends Action> List<T> ofType(List<Action> actions, Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }
}
