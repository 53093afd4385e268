package lemondeal.module;

import java.util.*;
import lemondeal.Balancer.*;

/** State shared by all parts: time of the current event, resulting actions, servers and requests. */
final class NodeState {
  static final long NEVER = Long.MIN_VALUE / 4; // earlier than any clock reading; clocks may start anywhere
  static final long LOG_INTERVAL = 10_000_000; // least time between two log lines about one server

  Settings settings;
  SplittableRandom random;
  double shortestLatencyTargetMillis;
  long now;
  long startedAt;
  List<Action> actions;
  final Map<String, Server> servers = new HashMap<>();
  Server[] listedServers = new Server[0]; // sorted by name: no decision depends on a map's order
  int zoneCount; // number of zones that have listed servers
  final Map<String, RequestState> requests = new LinkedHashMap<>();
  // By token of their wake-up.
  final Map<Long, RequestState> waitingRequests = new HashMap<>();
  long nextWakeUpToken = 16; // smaller tokens are reserved
  ListValidity listValidity = new ListValidity(0, ListValidity.UNLIMITED, false, 0);
  private long expiryLoggedAt = NEVER;

  void start(Start event) {
    settings = event.settings();
    startedAt = now;
    random = new SplittableRandom(event.seed());
    double shortest = Double.POSITIVE_INFINITY;
    for (RequestClass requestClass : settings.classes()) {
      shortest = requestClass.messageLatencyTarget() > 0
          ? Math.min(shortest, requestClass.messageLatencyTarget() / 1e3) : shortest;
    }
    shortestLatencyTargetMillis = shortest;
  }

  Server getOrCreateServer(String name) {
    return servers.computeIfAbsent(name, Server::new);
  }

  /** Whether servers that are listed as ready may have been draining for too long to get a request. */
  boolean isListExpired() {
    return now >= listValidity.until();
  }

  /** Whether that may be so for this server: it has accepted no request lately, or refused one since. */
  boolean isListExpired(Server server) {
    boolean acceptedLately = now < server.acceptedAt + listValidity.afterAcceptance();
    boolean mayBeUsed = !server.refusedLast && (acceptedLately || listValidity.outagePossible());
    return isListExpired() && !mayBeUsed;
  }

  /** Logs that a request is refused since the list has expired; rate-limited. */
  void logExpiredList() {
    if (now - expiryLoggedAt >= LOG_INTERVAL) {
      expiryLoggedAt = now;
      actions.add(new Log("server list expired: refusing requests until discovery sends one"));
    }
  }

  /** Logs for on-call staff which exception applies to a server and why; rate-limited for each server. */
  void log(Server server, String text) {
    if (now - server.loggedAt >= LOG_INTERVAL) {
      server.loggedAt = now;
      actions.add(new Log(server.name + " " + text));
    }
  }
}
