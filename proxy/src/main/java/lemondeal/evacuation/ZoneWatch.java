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
public final class ZoneWatch {
  private static final long NEVER = Long.MIN_VALUE / 4;

  /** What is known of one listed server. */
  private static final class Watched {
    final int zone;
    long word = NEVER;
    long late = NEVER;
    /** When the run of failures without a word began, its newest failure, and how many it has. */
    long since;
    long newest = NEVER;
    /** When what failed last began: a way may be whole again before what it lost is given up. */
    long begun = NEVER;
    int failures;
    boolean shut;

    Watched(int zone) {
      this.zone = zone;
    }
  }

  private final EvidenceSettings settings;
  private final Map<String, Watched> ready = new HashMap<>();
  private long listedAt = NEVER;

  public ZoneWatch(EvidenceSettings settings) {
    this.settings = settings;
  }

  /** The list calls this server ready, in this zone. */
  public void ready(String server, int zone) {
    Watched held = ready.get(server);
    if (held == null || held.zone != zone) {
      ready.put(server, new Watched(zone));
    }
  }

  /** The list calls the server draining or gone: what fails there from now on says nothing about its zone. */
  public void notReady(String server) {
    ready.remove(server);
  }

  /** All others are drained or gone. */
  void keep(Set<String> named) {
    ready.keySet().retainAll(named);
  }

  /** The list was confirmed or renewed now. */
  public void listed(long now) {
    listedAt = now;
  }

  /** Something came from the server: a set-up that came up, a line, an answer to a probe. */
  public void word(String server, long now) {
    Watched one = ready.get(server);
    if (one != null) {
      one.word = now;
      one.failures = 0;
      one.newest = NEVER;
    }
  }

  /** The server lives and is late, or turned work away. */
  public void late(String server, long now) {
    word(server, now);
    Watched one = ready.get(server);
    if (one != null) {
      one.late = now;
    }
  }

  /**
   * A set-up, probe or line got no answer.
   *
   * @param elapsed how long it had waited: the server is silent for that long already
   */
  public void silent(String server, long elapsed, long now) {
    failed(server, now - Math.max(0, elapsed), now, false);
  }

  /** The server's host refused the connection outright. */
  public void shut(String server, long now) {
    failed(server, now, now, true);
  }

  /** A standing connection was lost. */
  public void lost(String server, long now) {
    failed(server, now, now, false);
  }

  private void failed(String server, long since, long now, boolean shut) {
    Watched one = ready.get(server);
    if (one == null) {
      return;
    }
    if (one.failures == 0 || now - one.newest > settings.recent()) {
      one.failures = 0;
      one.since = Math.max(since, one.word);
      one.shut = true;
    }
    one.failures++;
    one.begun = Math.max(since, one.since);
    one.newest = now;
    one.shut &= shut;
  }

  /** This process stood still: time-outs that ran meanwhile tell of it, not of the servers. */
  public void stoodStill() {
    ready.values().forEach(one -> one.failures = 0);
  }

  /** Age of the list in milliseconds. */
  public long listAge(long now) {
    return now - listedAt;
  }

  /** Every zone that has a ready server, with what is seen of it now. */
  public Map<Integer, ZoneEvidence> zones(long now) {
    Map<Integer, List<Watched>> byZone = new TreeMap<>();
    ready.values().forEach(one -> byZone.computeIfAbsent(one.zone, zone -> new ArrayList<>()).add(one));
    Map<Integer, ZoneEvidence> zones = new TreeMap<>();
    byZone.forEach((zone, servers) -> zones.put(zone, evidence(servers, now)));
    return zones;
  }

  private ZoneEvidence evidence(List<Watched> servers, long now) {
    int alive = 0;
    int late = 0;
    int failures = 0;
    int longFailing = 0;
    long newest = NEVER;
    boolean shut = true;
    long[] sinces = new long[servers.size()];
    int failing = 0;
    for (Watched one : servers) {
      if (one.failures > 0 && now - one.newest <= settings.recent()) {
        sinces[failing++] = one.since;
        failures += one.failures;
        newest = Math.max(newest, one.begun);
        longFailing += now - one.since >= settings.blip() ? 1 : 0;
        shut &= one.shut;
      } else if (now - one.word < settings.blip()) {
        alive++;
        late += now - one.late < settings.recent() ? 1 : 0;
      }
    }
    Arrays.sort(sinces, 0, failing);
    int enough = ZoneEvidence.enough(servers.size());
    // From the server that makes enough: one that died long ago must not lend its time to a blip of today.
    long span = failing >= enough ? newest - sinces[enough - 1] : 0;
    return new ZoneEvidence(servers.size(), failing, longFailing, alive, late, failures, span, failing > 0 && shut);
  }
}
