package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** What all parts share: the moment of the event at hand, what is to be done, the servers and requests. */
final class Node {
  static final long NEVER = Long.MIN_VALUE / 4; // before any clock reading, which may be of any value
  static final long LOG_PAUSE = 10_000_000; // pause between two log lines on one server

  Settings settings;
  SplittableRandom random;
  double shortestAimMillis;
  long now;
  long beganAt;
  List<Action> out;
  final Map<String, Server> servers = new HashMap<>();
  Server[] fleet = new Server[0]; // those listed, by name: no choice rests on a map's order
  int zones; // that the listed servers are in
  final Map<String, Flow> flows = new LinkedHashMap<>();
  final Map<Long, Flow> held = new HashMap<>(); // those that wait, by token of the wake-up
  long nextToken = 16; // smaller ones are for other things

  void start(Start event) {
    settings = event.settings();
    beganAt = now;
    random = new SplittableRandom(event.seed());
    double shortest = Double.POSITIVE_INFINITY;
    for (RequestClass c : settings.classes()) {
      shortest = c.messageAim() > 0 ? Math.min(shortest, c.messageAim() / 1e3) : shortest;
    }
    shortestAimMillis = shortest;
  }

  Server server(String name) {
    return servers.computeIfAbsent(name, Server::new);
  }

  /** What on-call staff read: which exception acts on which server, and why; seldom for each server. */
  void log(Server s, String text) {
    if (now - s.loggedAt >= LOG_PAUSE) {
      s.loggedAt = now;
      out.add(new Log(s.name + " " + text));
    }
  }
}
