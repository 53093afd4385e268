package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lemondeal.Balancer.*;

/** Derives health observations from the decision module's events, and probes servers of zones that get no traffic. */
final class ZoneObserver {
  private static final long MICROS_PER_MILLI = 1_000;
  /** Milliseconds of silence after which a line counts as unanswered; see {@code Unanswered}. */
  private static final long UNANSWERED_MILLIS = 400;
  /** A connection that failed within this many milliseconds was refused by a host that is up. */
  private static final long REFUSED_WITHIN_MILLIS = 100;
  /** Milliseconds between two probes of a zone. */
  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  private final ZoneHealthTracker healthTracker;
  private final Map<String, Integer> zoneByServer = new TreeMap<>();
  private final Set<String> readyServers = new TreeSet<>();
  /** Servers that were probed by this class; the results are not passed to the module. */
  private final Set<String> ownProbes = new HashSet<>();
  private final Map<Integer, Long> lastProbeAt = new HashMap<>();
  private final Map<Integer, Integer> probeCounts = new HashMap<>();
  private double targetDelayMillis = Double.POSITIVE_INFINITY;
  private boolean mayProbe;
  private boolean listCurrent;

  ZoneObserver(ZoneHealthTracker healthTracker) {
    this.healthTracker = healthTracker;
  }

  void start(Settings settings) {
    mayProbe = settings.limits().mayProbe();
    for (RequestClass requestClass : settings.classes()) {
      targetDelayMillis = requestClass.messageLatencyTarget() > 0
          ? Math.min(targetDelayMillis, requestClass.messageLatencyTarget() / (double) MICROS_PER_MILLI)
          : targetDelayMillis;
    }
  }

  /** Zone of a server, -1 if unknown. */
  int zoneOf(String server) {
    return zoneByServer.getOrDefault(server, -1);
  }

  /** While the watch on the server list works, the list counts as current. */
  void refreshListAge(long now) {
    if (listCurrent) {
      healthTracker.listConfirmed(now);
    }
  }

  /** Probes the zone's servers in turn, so that the recovery of an evacuated zone can be observed. */
  List<Action> probe(int zone, long now) {
    if (!mayProbe || now - lastProbeAt.getOrDefault(zone, now - PROBE_INTERVAL_MILLIS) < PROBE_INTERVAL_MILLIS) {
      return List.of();
    }
    List<String> candidates = new ArrayList<>(readyServers);
    candidates.removeIf(server -> zoneOf(server) != zone);
    if (candidates.isEmpty()) {
      return List.of();
    }
    lastProbeAt.put(zone, now);
    String server = candidates.get(Math.floorMod(probeCounts.merge(zone, 1, Integer::sum), candidates.size()));
    ownProbes.add(server);
    return List.of(new Probe(server));
  }

  /** @return whether the event was the result of a probe of this class, which must not be passed to the module */
  boolean observe(long now, Event event) {
    if (event instanceof ServerList e) {
      updateList(e);
    } else if (event instanceof Established e) {
      healthTracker.recordResponse(e.server(), now);
    } else if (event instanceof LoadChanged e) {
      healthTracker.recordResponse(e.server(), now);
    } else if (event instanceof MessageDelay e) {
      observeDelay(e, now);
    } else if (event instanceof Unanswered e) {
      healthTracker.recordTimeout(e.server(), UNANSWERED_MILLIS, now);
    } else if (event instanceof Ended e) {
      observeEnd(e.server(), e.outcome(), e.elapsed() / MICROS_PER_MILLI, now);
    } else if (event instanceof ProbeResult e) {
      observeEnd(e.server(), e.outcome(), e.elapsed() / MICROS_PER_MILLI, now);
      return ownProbes.remove(e.server());
    }
    return false;
  }

  private void observeDelay(MessageDelay event, long now) {
    if (event.millis() >= targetDelayMillis) {
      healthTracker.recordLate(event.server(), now);
    } else {
      healthTracker.recordResponse(event.server(), now);
    }
  }

  private void observeEnd(String server, Outcome outcome, long elapsed, long now) {
    switch (outcome) {
      case SERVED, ERROR, CANCELLED -> healthTracker.recordResponse(server, now);
      case REFUSED -> healthTracker.recordLate(server, now);
      case TIMED_OUT -> healthTracker.recordTimeout(server, elapsed, now);
      case RESET -> healthTracker.recordLostConnection(server, now);
      case NO_CONNECTION -> {
        if (elapsed < REFUSED_WITHIN_MILLIS) {
          healthTracker.recordRefused(server, now);
        } else {
          healthTracker.recordTimeout(server, elapsed, now);
        }
      }
      default -> { }
    }
  }

  private void updateList(ServerList list) {
    listCurrent = list.kind() == ListKind.FULL || list.kind() == ListKind.CHANGES;
    if (list.kind() == ListKind.FAILED) {
      return;
    }
    if (list.kind() != ListKind.CHANGES) {
      List.copyOf(readyServers).forEach(this::remove);
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.READY) {
        zoneByServer.put(entry.server(), entry.zone());
        readyServers.add(entry.server());
      } else {
        remove(entry.server());
      }
    }
    healthTracker.retainOnly(readyServers);
    readyServers.forEach(server -> healthTracker.serverReady(server, zoneOf(server)));
  }

  private void remove(String server) {
    readyServers.remove(server);
    zoneByServer.remove(server);
  }
}
