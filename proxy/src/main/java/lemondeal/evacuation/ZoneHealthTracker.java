package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What this proxy observes of every zone's servers, by server: only the failures of independent servers speak for a
 * zone's. Pure; times are milliseconds of the local monotonic clock. Holds a few numbers for each listed server.
 */
public final class ZoneHealthTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  /** What is known of one listed server. */
  private static final class ServerHealth {
    final int zone;
    long lastResponseAt = NEVER;
    long lastLateAt = NEVER;
    /** When the run of failures without a word began, its newest failure, and how many it has. */
    long failingSince;
    long lastFailureAt = NEVER;
    /** When what failed last began: a way may be whole again before what it lost is given up. */
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

  /** The list calls this server ready, in this zone. */
  public void serverReady(String server, int zone) {
    ServerHealth known = readyServers.get(server);
    if (known == null || known.zone != zone) {
      readyServers.put(server, new ServerHealth(zone));
    }
  }

  /** The list calls the server draining or gone: what fails there from now on says nothing about its zone. */
  public void serverNotReady(String server) {
    readyServers.remove(server);
  }

  /** All others are drained or gone. */
  void retainOnly(Set<String> servers) {
    readyServers.keySet().retainAll(servers);
  }

  /** The list was confirmed or renewed now. */
  public void listConfirmed(long now) {
    listConfirmedAt = now;
  }

  /** Something came from the server: a set-up that came up, a line, an answer to a probe. */
  public void recordResponse(String server, long now) {
    ServerHealth health = readyServers.get(server);
    if (health != null) {
      health.lastResponseAt = now;
      health.failureCount = 0;
      health.lastFailureAt = NEVER;
    }
  }

  /** The server lives and is late, or turned work away. */
  public void recordLate(String server, long now) {
    recordResponse(server, now);
    ServerHealth health = readyServers.get(server);
    if (health != null) {
      health.lastLateAt = now;
    }
  }

  /**
   * A set-up, probe or line got no answer.
   *
   * @param elapsed how long it had waited: the server is silent for that long already
   */
  public void recordTimeout(String server, long elapsed, long now) {
    recordFailure(server, now - Math.max(0, elapsed), now, false);
  }

  /** The server's host refused the connection outright. */
  public void recordRefused(String server, long now) {
    recordFailure(server, now, now, true);
  }

  /** A standing connection was lost. */
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

  /** This process stood still: time-outs that ran meanwhile tell of it, not of the servers. */
  public void clearFailures() {
    readyServers.values().forEach(health -> health.failureCount = 0);
  }

  /** Age of the list in milliseconds. */
  public long listAge(long now) {
    return now - listConfirmedAt;
  }

  /** Every zone that has a ready server, with what is seen of it now. */
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
    // From the server that makes enough: one that died long ago must not lend its time to a blip of today.
    long failureSpan = failing >= requiredFailing ? newestBeganAt - failingSince[requiredFailing - 1] : 0;
    return new ZoneEvidence(servers.size(), failing, sustainedFailing, responding, late, failures, failureSpan, failing > 0 && allRefused);
  }
}
