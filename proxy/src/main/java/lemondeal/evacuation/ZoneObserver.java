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

/** Turns what the module hears into what is seen of servers, and asks servers of zones where nobody is sent. */
final class ZoneObserver {
  private static final long MICROS_PER_MILLI = 1_000;
  /** Silence before a line counts as unanswered, in milliseconds: see {@code Unanswered}. */
  private static final long UNANSWERED_MILLIS = 400;
  /** A connection that failed within this was refused by a host that lives, in milliseconds. */
  private static final long REFUSED_WITHIN_MILLIS = 100;
  /** Milliseconds between two questions to a zone. */
  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  private final ZoneHealthTracker healthTracker;
  private final Map<String, Integer> zoneByServer = new TreeMap<>();
  private final Set<String> readyServers = new TreeSet<>();
  /** Servers that were asked from here, of which the module is to hear nothing. */
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
      targetDelayMillis = requestClass.messageLatencyTarget() > 0 ? Math.min(targetDelayMillis, requestClass.messageLatencyTarget() / (double) MICROS_PER_MILLI) : targetDelayMillis;
    }
  }

  /** Zone of a server, -1 where it is not known. */
  int zoneOf(String server) {
    return zoneByServer.getOrDefault(server, -1);
  }

  /** A list that is watched is as good as new until the watch fails. */
  void refreshListAge(long now) {
    if (listCurrent) {
      healthTracker.listConfirmed(now);
    }
  }

  /** Asks one server of the zone, each in its turn, so that a zone that is left can be seen to be sound again. */
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

  /** @return whether the event was the answer to a question from here, which is no concern of the module's */
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
