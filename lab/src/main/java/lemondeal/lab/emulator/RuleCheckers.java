package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;

/**
 * The checkers of all rules: records each event in the trace, passes it to the checkers, and keeps a bounded number of
 * breaches.
 */
final class RuleCheckers {
  private static final int MAX_KEPT = 100;

  private final EventScheduler scheduler;
  private final EventTrace trace;
  private final List<Checker> checkers;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, Integer> counts = new HashMap<>();

  RuleCheckers(EventScheduler scheduler, EventTrace trace, Scenario scenario) {
    this.scheduler = scheduler;
    this.trace = trace;
    checkers = List.of(new OneFinalAnswer(), new OneAttempt(), new DrainGrace(scheduler, scenario.rules()),
        new ColdStartLimit(scheduler, scenario), new KnownServers());
    for (Checker checker : checkers) {
      checker.setBreachHandler((subject, what) -> breach(checker.rule(), subject, what));
    }
  }

  /** Records a breach; also one that no checker reports, such as an exception of the policy. */
  void breach(String rule, String subject, String what) {
    counts.merge(rule, 1, Integer::sum);
    if (breaches.size() < MAX_KEPT) {
      breaches.add(new Breach(rule, scheduler.now(), subject, what, trace.recentEvents(subject)));
    }
  }

  List<Breach> breaches() {
    return breaches;
  }

  /** Number of breaches of each rule, including those that were not kept. */
  Map<String, Integer> counts() {
    return counts;
  }

  private void dispatch(String subject, String text, Consumer<Checker> event) {
    trace.recordEvent(subject, text);
    checkers.forEach(event);
  }

  void arrived(String requestId, long deadline) {
    dispatch(requestId, "arrived", checker -> checker.arrived(requestId, deadline));
  }

  /** The front end balancer found no live proxy: no breach, and no answer is expected. */
  void noProxyAvailable(String requestId) {
    lost(requestId);
  }

  void sent(String requestId, int proxyNumber, String serverName, Server server) {
    dispatch(requestId, "sent to " + serverName + " by " + proxyNumber,
        checker -> checker.sent(requestId, proxyNumber, serverName, server));
  }

  void reached(String requestId, Server server) {
    dispatch(requestId, "reached " + server.name(), checker -> checker.reached(requestId, server));
  }

  void attemptEnded(String requestId) {
    dispatch(requestId, "attempt over", checker -> checker.attemptEnded(requestId));
  }

  void answered(String requestId, String answer) {
    dispatch(requestId, answer, checker -> checker.answered(requestId, answer));
  }

  void overdue(String requestId) {
    dispatch(requestId, "overdue", checker -> checker.overdue(requestId));
  }

  /** The request was lost with its proxy: no answer is expected. */
  void lost(String requestId) {
    dispatch(requestId, "lost", checker -> checker.lost(requestId));
  }

  void moved(String requestId, boolean hasConnection) {
    dispatch(requestId, "moved", checker -> checker.moved(requestId, hasConnection));
  }

  void listReceived(int proxyNumber, ServerList list) {
    dispatch("proxy-" + proxyNumber, "list " + list.kind() + " " + list.version(),
        checker -> checker.listReceived(proxyNumber, list));
  }

  // ---- Rules ------------------------------------------------------------------------------------

  /** Each request gets exactly one final answer, at the latest at its deadline plus the answer slack. */
  static final class OneFinalAnswer extends Checker {
    private final Set<String> unanswered = new HashSet<>();

    @Override
    String rule() {
      return "one-final-answer";
    }

    @Override
    void arrived(String requestId, long deadline) {
      if (!unanswered.add(requestId)) {
        breach(requestId, "arrived twice");
      }
    }

    @Override
    void answered(String requestId, String answer) {
      if (!unanswered.remove(requestId)) {
        breach(requestId, "a second final answer, " + answer);
      }
    }

    @Override
    void overdue(String requestId) {
      unanswered.remove(requestId);
      breach(requestId, "no final answer in time");
    }

    @Override
    void lost(String requestId) {
      unanswered.remove(requestId);
    }

    @Override
    void moved(String requestId, boolean hasConnection) {
      if (unanswered.contains(requestId)) {
        breach(requestId, "moved before it was answered");
      }
    }
  }

  /** A request has at most one attempt at a time. */
  static final class OneAttempt extends Checker {
    private final Map<String, String> currentServers = new HashMap<>();

    @Override
    String rule() {
      return "one-attempt";
    }

    @Override
    void sent(String requestId, int proxyNumber, String serverName, Server server) {
      String previousServer = currentServers.put(requestId, serverName);
      if (previousServer != null) {
        breach(requestId, "sent to " + serverName + " while an attempt is out to " + previousServer);
      }
    }

    @Override
    void attemptEnded(String requestId) {
      currentServers.remove(requestId);
    }
  }

  /** A proxy stops sending requests to a server within the grace period after it learned of the server's drain. */
  static final class DrainGrace extends Checker {
    private final EventScheduler scheduler;
    private final Scenario.Rules rules;
    private final Map<String, Long> drainKnownSince = new HashMap<>();

    DrainGrace(EventScheduler scheduler, Scenario.Rules rules) {
      this.scheduler = scheduler;
      this.rules = rules;
    }

    @Override
    String rule() {
      return "drain";
    }

    @Override
    void listReceived(int proxyNumber, ServerList list) {
      for (ServerEntry entry : list.entries()) {
        String key = proxyNumber + " " + entry.server();
        if (entry.state() == ServerState.READY) {
          drainKnownSince.remove(key);
        } else {
          drainKnownSince.putIfAbsent(key, scheduler.now());
        }
      }
    }

    @Override
    void sent(String requestId, int proxyNumber, String serverName, Server server) {
      Long knownSince = drainKnownSince.get(proxyNumber + " " + serverName);
      if (knownSince != null && scheduler.now() - knownSince > rules.drainGrace()) {
        breach(requestId, "sent to " + serverName + " " + (scheduler.now() - knownSince) / 1000
            + " ms after the word of its drain");
      }
    }
  }

  /** Within a time window, a cold server gets no more work than a multiple of its capacity in that window. */
  static final class ColdStartLimit extends Checker {
    private static final double RANDOM_SLACK = 3;

    private final EventScheduler scheduler;
    private final Scenario scenario;
    private final Map<String, java.util.ArrayDeque<Long>> recentSetUps = new HashMap<>();
    private final double setUpsPerSecond;

    ColdStartLimit(EventScheduler scheduler, Scenario scenario) {
      this.scheduler = scheduler;
      this.scenario = scenario;
      // A cold server should get new connections no faster than the rate that fills it within its warm-up time.
      double load = 0;
      for (Scenario.ClientClass clientClass : scenario.classes()) {
        load += clientClass.share() * clientClass.load();
      }
      setUpsPerSecond = load <= 0 ? Double.POSITIVE_INFINITY : Scenario.SECOND / load;
    }

    @Override
    String rule() {
      return "cold-start";
    }

    @Override
    void reached(String requestId, Server server) {
      long now = scheduler.now();
      if (server.warmUpShare(now) >= 1) {
        recentSetUps.remove(server.name());
        return;
      }
      java.util.ArrayDeque<Long> setUpTimes = recentSetUps.computeIfAbsent(server.name(),
          name -> new java.util.ArrayDeque<>());
      setUpTimes.add(now);
      long window = scenario.rules().overloadWindow();
      while (setUpTimes.peek() <= now - window) {
        setUpTimes.poll();
      }
      double seconds = window / (double) Scenario.SECOND;
      double warmUpSeconds = Math.max(1, server.pool().warmUpTime() / (double) Scenario.SECOND);
      double warmUpRate = setUpsPerSecond * server.pool().cores() / warmUpSeconds;
      double allowed = scenario.rules().overloadMultiple() * server.warmUpShare(now) * warmUpRate * seconds;
      double slack = RANDOM_SLACK * Math.sqrt(Math.max(1, allowed)) + 1;
      if (setUpTimes.size() > allowed + slack) {
        breach(server.name(), setUpTimes.size() + " set-ups in " + seconds + " s of its cold start; allowed: "
            + Math.round(allowed) + " and " + Math.round(slack) + " by chance");
        setUpTimes.clear();
      }
    }
  }

  /** A proxy sends requests only to servers that its own lists have contained. */
  static final class KnownServers extends Checker {
    private final Map<Integer, Set<String>> knownServers = new HashMap<>();

    @Override
    String rule() {
      return "known-servers";
    }

    @Override
    void listReceived(int proxyNumber, ServerList list) {
      if (list.kind() == ListKind.FAILED) {
        return;
      }
      Set<String> names = knownServers.computeIfAbsent(proxyNumber, number -> new HashSet<>());
      list.entries().forEach(entry -> names.add(entry.server()));
    }

    @Override
    void sent(String requestId, int proxyNumber, String serverName, Server server) {
      if (!knownServers.getOrDefault(proxyNumber, Set.of()).contains(serverName)) {
        breach(requestId, "sent to " + serverName + ", which no list of this proxy has named");
      }
    }
  }
}
