package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** What all parts share: the moment of the event at hand, what is to be done, the servers and requests. */
final class NodeState {
  static final long NEVER = Long.MIN_VALUE / 4; // before any clock reading, which may be of any value
  static final long LOG_INTERVAL = 10_000_000; // pause between two log lines on one server

  Settings settings;
  SplittableRandom random;
  double shortestLatencyTargetMillis;
  long now;
  long startedAt;
  List<Action> actions;
  final Map<String, Server> servers = new HashMap<>();
  Server[] listedServers = new Server[0]; // those listed, by name: no choice rests on a map's order
  int zoneCount; // that the listed servers are in
  final Map<String, RequestState> requests = new LinkedHashMap<>();
  final Map<Long, RequestState> waitingRequests = new HashMap<>(); // those that wait, by token of the wake-up
  long nextWakeUpToken = 16; // smaller ones are for other things

  void start(Start event) {
    settings = event.settings();
    startedAt = now;
    random = new SplittableRandom(event.seed());
    double shortest = Double.POSITIVE_INFINITY;
    for (RequestClass requestClass : settings.classes()) {
      shortest = requestClass.messageLatencyTarget() > 0 ? Math.min(shortest, requestClass.messageLatencyTarget() / 1e3) : shortest;
    }
    shortestLatencyTargetMillis = shortest;
  }

  Server getOrCreateServer(String name) {
    return servers.computeIfAbsent(name, Server::new);
  }

  /** What on-call staff read: which exception acts on which server, and why; seldom for each server. */
  void log(Server server, String text) {
    if (now - server.loggedAt >= LOG_INTERVAL) {
      server.loggedAt = now;
      actions.add(new Log(server.name + " " + text));
    }
  }
}
