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

/** All rules of a run: passes on what happens, notes it in the trace, and keeps the breaches, a bounded number of them. */
final class Checks {
  private static final int MOST = 100;

  private final Agenda agenda;
  private final Trace trace;
  private final List<Checker> checkers;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, Integer> counts = new HashMap<>();

  Checks(Agenda agenda, Trace trace, Scenario scenario) {
    this.agenda = agenda;
    this.trace = trace;
    checkers = List.of(new OneFinalAnswer(), new OneAttempt(), new Drains(agenda, scenario.rules()),
        new ColdStarts(agenda, scenario), new KnownServers());
    for (Checker checker : checkers) {
      checker.tellTo((subject, what) -> breach(checker.rule(), subject, what));
    }
  }

  /** A breach that no checker tells, such as a policy that throws. */
  void breach(String rule, String subject, String what) {
    counts.merge(rule, 1, Integer::sum);
    if (breaches.size() < MOST) {
      breaches.add(new Breach(rule, agenda.now(), subject, what, trace.lately(subject)));
    }
  }

  List<Breach> breaches() {
    return breaches;
  }

  /** How many breaches of each rule there were, those not kept counted too. */
  Map<String, Integer> counts() {
    return counts;
  }

  private void all(String subject, String what, Consumer<Checker> event) {
    trace.note(subject, what);
    checkers.forEach(event);
  }

  void arrived(String request, long due) {
    all(request, "arrived", checker -> checker.arrived(request, due));
  }

  /** The front saw no proxy: nobody's fault, and nobody owes an answer. */
  void noProxy(String request) {
    lost(request);
  }

  void sent(String request, int proxy, String name, Server server) {
    all(request, "sent to " + name + " by " + proxy, checker -> checker.sent(request, proxy, name, server));
  }

  void reached(String request, Server server) {
    all(request, "reached " + server.name(), checker -> checker.reached(request, server));
  }

  void attemptOver(String request) {
    all(request, "attempt over", checker -> checker.attemptOver(request));
  }

  void answered(String request, String what) {
    all(request, what, checker -> checker.answered(request, what));
  }

  void overdue(String request) {
    all(request, "overdue", checker -> checker.overdue(request));
  }

  /** Its proxy died with it: no answer is owed. */
  void lost(String request) {
    all(request, "lost", checker -> checker.lost(request));
  }

  void moved(String request, boolean stands) {
    all(request, "moved", checker -> checker.moved(request, stands));
  }

  void listed(int proxy, ServerList list) {
    all("proxy-" + proxy, "list " + list.kind() + " " + list.version(), checker -> checker.listed(proxy, list));
  }

  // ---- The rules --------------------------------------------------------------------------------

  /** Each request has one final answer, in time. */
  static final class OneFinalAnswer extends Checker {
    private final Set<String> open = new HashSet<>();

    @Override
    String rule() {
      return "one-final-answer";
    }

    @Override
    void arrived(String request, long due) {
      if (!open.add(request)) {
        breach(request, "arrived twice");
      }
    }

    @Override
    void answered(String request, String what) {
      if (!open.remove(request)) {
        breach(request, "a second final answer, " + what);
      }
    }

    @Override
    void overdue(String request) {
      open.remove(request);
      breach(request, "no final answer in time");
    }

    @Override
    void lost(String request) {
      open.remove(request);
    }

    @Override
    void moved(String request, boolean stands) {
      if (open.contains(request)) {
        breach(request, "moved before it was answered");
      }
    }
  }

  /** One attempt of a request is out at a time. */
  static final class OneAttempt extends Checker {
    private final Map<String, String> out = new HashMap<>();

    @Override
    String rule() {
      return "one-attempt";
    }

    @Override
    void sent(String request, int proxy, String name, Server server) {
      String before = out.put(request, name);
      if (before != null) {
        breach(request, "sent to " + name + " while an attempt is out to " + before);
      }
    }

    @Override
    void attemptOver(String request) {
      out.remove(request);
    }
  }

  /** New sends to a draining server stop within the grace of the word on it. */
  static final class Drains extends Checker {
    private final Agenda agenda;
    private final Scenario.Rules rules;
    private final Map<String, Long> toldAt = new HashMap<>();

    Drains(Agenda agenda, Scenario.Rules rules) {
      this.agenda = agenda;
      this.rules = rules;
    }

    @Override
    String rule() {
      return "drain";
    }

    @Override
    void listed(int proxy, ServerList list) {
      for (ServerEntry entry : list.entries()) {
        String key = proxy + " " + entry.server();
        if (entry.state() == ServerState.READY) {
          toldAt.remove(key);
        } else {
          toldAt.putIfAbsent(key, agenda.now());
        }
      }
    }

    @Override
    void sent(String request, int proxy, String name, Server server) {
      Long told = toldAt.get(proxy + " " + name);
      if (told != null && agenda.now() - told > rules.drainGrace()) {
        breach(request, "sent to " + name + " " + (agenda.now() - told) / 1000 + " ms after the word of its drain");
      }
    }
  }

  /** A cold server is sent no more work in a window than a multiple of what it can do in it. */
  static final class ColdStarts extends Checker {
    private static final double SLACK = 3;

    private final Agenda agenda;
    private final Scenario scenario;
    private final Map<String, java.util.ArrayDeque<Long>> sends = new HashMap<>();
    private final double setUpsPerSecond;

    ColdStarts(Agenda agenda, Scenario scenario) {
      this.agenda = agenda;
      this.scenario = scenario;
      // A cold server takes new connections no faster than fills it over its warm-up.
      double load = 0;
      for (Scenario.ClientClass one : scenario.classes()) {
        load += one.share() * one.load();
      }
      setUpsPerSecond = load <= 0 ? Double.POSITIVE_INFINITY : Scenario.SECOND / load;
    }

    @Override
    String rule() {
      return "cold-start";
    }

    @Override
    void reached(String request, Server server) {
      long now = agenda.now();
      if (server.warmth(now) >= 1) {
        sends.remove(server.name());
        return;
      }
      java.util.ArrayDeque<Long> lately = sends.computeIfAbsent(server.name(), name -> new java.util.ArrayDeque<>());
      lately.add(now);
      long window = scenario.rules().coldWindow();
      while (lately.peek() <= now - window) {
        lately.poll();
      }
      double seconds = window / (double) Scenario.SECOND;
      double warm = Math.max(1, server.fleet().warmWithin() / (double) Scenario.SECOND);
      double perSecond = setUpsPerSecond * server.fleet().cores() / warm;
      double allowed = scenario.rules().coldMultiple() * server.warmth(now) * perSecond * seconds;
      double slack = SLACK * Math.sqrt(Math.max(1, allowed)) + 1;
      if (lately.size() > allowed + slack) {
        breach(server.name(), lately.size() + " set-ups in " + seconds + " s of its cold start; allowed: "
            + Math.round(allowed) + " and " + Math.round(slack) + " by chance");
        lately.clear();
      }
    }
  }

  /** Only servers that the proxy's own list has named are sent to. */
  static final class KnownServers extends Checker {
    private final Map<Integer, Set<String>> known = new HashMap<>();

    @Override
    String rule() {
      return "known-servers";
    }

    @Override
    void listed(int proxy, ServerList list) {
      if (list.kind() == ListKind.FAILED) {
        return;
      }
      Set<String> names = known.computeIfAbsent(proxy, number -> new HashSet<>());
      list.entries().forEach(entry -> names.add(entry.server()));
    }

    @Override
    void sent(String request, int proxy, String name, Server server) {
      if (!known.getOrDefault(proxy, Set.of()).contains(name)) {
        breach(request, "sent to " + name + ", which no list of this proxy has named");
      }
    }
  }
}
