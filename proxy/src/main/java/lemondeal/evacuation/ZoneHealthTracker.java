package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Passive health checks of every zone's servers, recorded by server: only failures of independent servers are evidence
 * of a zone's failure. Does no I/O; times are milliseconds of the local monotonic clock. Holds a few numbers for each
 * listed server.
 */
public final class ZoneHealthTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  /** Health record of one listed server. */
  private static final class ServerHealth {
    final int zone;
    long lastResponseAt = NEVER;
    long lastLateAt = NEVER;
    /** When the current run of failures without a response began, its newest failure, and their number. */
    long failingSince;
    long lastFailureAt = NEVER;
    /**
     * When the newest failed operation began. A path may have recovered before the operations that it lost time out.
     */
    long lastFailureBeganAt = NEVER;
    int failureCount;
    boolean allRefused;

    ServerHealth(int zone) {
      this.zone = zone;
    }
  }

  private final EvidenceSettings settings;
  private final Map<String, ServerHealth> readyServers = new HashMap<>();
  private long listConfirmedAt = NEVER;

  public ZoneHealthTracker(EvidenceSettings settings) {
    this.settings = settings;
  }

  /** The server list marks this server as ready, in this zone. */
  public void serverReady(String server, int zone) {
    ServerHealth known = readyServers.get(server);
    if (known == null || known.zone != zone) {
      readyServers.put(server, new ServerHealth(zone));
    }
  }

  /** The server list marks the server as draining or gone: later failures there are no evidence about its zone. */
  public void serverNotReady(String server) {
    readyServers.remove(server);
  }

  /** Removes all servers but these; the others are draining or gone. */
  void retainOnly(Set<String> servers) {
    readyServers.keySet().retainAll(servers);
  }

  /** The server list was confirmed or renewed now. */
  public void listConfirmed(long now) {
    listConfirmedAt = now;
  }

  /** Something was received from the server: an established connection, a line, or a probe's answer. */
  public void recordResponse(String server, long now) {
    ServerHealth health = readyServers.get(server);
    if (health != null) {
      health.lastResponseAt = now;
      health.failureCount = 0;
      health.lastFailureAt = NEVER;
    }
  }

  /** The server responded, but late, or refused work because of load. */
  public void recordLate(String server, long now) {
    recordResponse(server, now);
    ServerHealth health = readyServers.get(server);
    if (health != null) {
      health.lastLateAt = now;
    }
  }

  /**
   * A connection set-up, probe or line timed out.
   *
   * @param elapsed time that it waited; the server has been silent for at least that long
   */
  public void recordTimeout(String server, long elapsed, long now) {
    recordFailure(server, now - Math.max(0, elapsed), now, false);
  }

  /** The server's host refused the connection outright. */
  public void recordRefused(String server, long now) {
    recordFailure(server, now, now, true);
  }

  /** An established connection was lost. */
  public void recordLostConnection(String server, long now) {
    recordFailure(server, now, now, false);
  }

  private void recordFailure(String server, long beganAt, long now, boolean refused) {
    ServerHealth health = readyServers.get(server);
    if (health == null) {
      return;
    }
    if (health.failureCount == 0 || now - health.lastFailureAt > settings.observationTtl()) {
      health.failureCount = 0;
      health.failingSince = Math.max(beganAt, health.lastResponseAt);
      health.allRefused = true;
    }
    health.failureCount++;
    health.lastFailureBeganAt = Math.max(beganAt, health.failingSince);
    health.lastFailureAt = now;
    health.allRefused &= refused;
  }

  /** This process was paused: timeouts that expired meanwhile are evidence about it, not about the servers. */
  public void clearFailures() {
    readyServers.values().forEach(health -> health.failureCount = 0);
  }

  /** Age of the server list in milliseconds. */
  public long listAge(long now) {
    return now - listConfirmedAt;
  }

  /** The current evidence for every zone that has a ready server. */
  public Map<Integer, ZoneEvidence> evidenceByZone(long now) {
    Map<Integer, List<ServerHealth>> byZone = new TreeMap<>();
    readyServers.values().forEach(health -> byZone.computeIfAbsent(health.zone, zone -> new ArrayList<>()).add(health));
    Map<Integer, ZoneEvidence> evidence = new TreeMap<>();
    byZone.forEach((zone, servers) -> evidence.put(zone, summarize(servers, now)));
    return evidence;
  }

  private ZoneEvidence summarize(List<ServerHealth> servers, long now) {
    int responding = 0;
    int late = 0;
    int failures = 0;
    int sustainedFailing = 0;
    long newestBeganAt = NEVER;
    boolean allRefused = true;
    long[] failingSince = new long[servers.size()];
    int failing = 0;
    for (ServerHealth health : servers) {
      if (health.failureCount > 0 && now - health.lastFailureAt <= settings.observationTtl()) {
        failingSince[failing++] = health.failingSince;
        failures += health.failureCount;
        newestBeganAt = Math.max(newestBeganAt, health.lastFailureBeganAt);
        sustainedFailing += now - health.failingSince >= settings.minOutage() ? 1 : 0;
        allRefused &= health.allRefused;
      } else if (now - health.lastResponseAt < settings.minOutage()) {
        responding++;
        late += now - health.lastLateAt < settings.observationTtl() ? 1 : 0;
      }
    }
    Arrays.sort(failingSince, 0, failing);
    int requiredFailing = ZoneEvidence.requiredFailing(servers.size());
    // Measured from the server that completes the required number: one that failed long ago must not extend a recent
    // short outage.
    long failureSpan = failing >= requiredFailing ? newestBeganAt - failingSince[requiredFailing - 1] : 0;
    return new ZoneEvidence(servers.size(), failing, sustainedFailing, responding, late, failures, failureSpan,
        failing > 0 && allRefused);
  }
}
