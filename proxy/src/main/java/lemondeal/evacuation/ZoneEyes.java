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
final class ZoneEyes {
  private static final long MICROS = 1_000;
  /** Silence before a line counts as unanswered, in milliseconds: see {@code Unanswered}. */
  private static final long LINE = 400;
  /** A connection that failed within this was refused by a host that lives, in milliseconds. */
  private static final long REFUSED_WITHIN = 100;
  /** Milliseconds between two questions to a zone. */
  private static final long ASK_EVERY = 1_000;

  private final ZoneWatch watch;
  private final Map<String, Integer> zones = new TreeMap<>();
  private final Set<String> ready = new TreeSet<>();
  /** Servers that were asked from here, of which the module is to hear nothing. */
  private final Set<String> asked = new HashSet<>();
  private final Map<Integer, Long> askedAt = new HashMap<>();
  private final Map<Integer, Integer> turns = new HashMap<>();
  private double aimMillis = Double.POSITIVE_INFINITY;
  private boolean mayAsk;
  private boolean listHeld;

  ZoneEyes(ZoneWatch watch) {
    this.watch = watch;
  }

  void start(Settings settings) {
    mayAsk = settings.limits().mayProbe();
    for (RequestClass c : settings.classes()) {
      aimMillis = c.messageLatencyTarget() > 0 ? Math.min(aimMillis, c.messageLatencyTarget() / (double) MICROS) : aimMillis;
    }
  }

  /** Zone of a server, -1 where it is not known. */
  int zone(String server) {
    return zones.getOrDefault(server, -1);
  }

  /** A list that is watched is as good as new until the watch fails. */
  void look(long now) {
    if (listHeld) {
      watch.listed(now);
    }
  }

  /** Asks one server of the zone, each in its turn, so that a zone that is left can be seen to be sound again. */
  List<Action> ask(int zone, long now) {
    if (!mayAsk || now - askedAt.getOrDefault(zone, now - ASK_EVERY) < ASK_EVERY) {
      return List.of();
    }
    List<String> there = new ArrayList<>(ready);
    there.removeIf(server -> zone(server) != zone);
    if (there.isEmpty()) {
      return List.of();
    }
    askedAt.put(zone, now);
    String server = there.get(Math.floorMod(turns.merge(zone, 1, Integer::sum), there.size()));
    asked.add(server);
    return List.of(new Probe(server));
  }

  /** @return whether the event was the answer to a question from here, which is no concern of the module's */
  boolean see(long now, Event event) {
    if (event instanceof ServerList e) {
      listed(e);
    } else if (event instanceof Established e) {
      watch.word(e.server(), now);
    } else if (event instanceof LoadChanged e) {
      watch.word(e.server(), now);
    } else if (event instanceof MessageDelay e) {
      delayed(e, now);
    } else if (event instanceof Unanswered e) {
      watch.silent(e.server(), LINE, now);
    } else if (event instanceof Ended e) {
      ended(e.server(), e.outcome(), e.elapsed() / MICROS, now);
    } else if (event instanceof ProbeResult e) {
      ended(e.server(), e.outcome(), e.elapsed() / MICROS, now);
      return asked.remove(e.server());
    }
    return false;
  }

  private void delayed(MessageDelay event, long now) {
    if (event.millis() >= aimMillis) {
      watch.late(event.server(), now);
    } else {
      watch.word(event.server(), now);
    }
  }

  private void ended(String server, Outcome outcome, long elapsed, long now) {
    switch (outcome) {
      case SERVED, ERROR, CANCELLED -> watch.word(server, now);
      case REFUSED -> watch.late(server, now);
      case TIMED_OUT -> watch.silent(server, elapsed, now);
      case RESET -> watch.lost(server, now);
      case NO_CONNECTION -> {
        if (elapsed < REFUSED_WITHIN) {
          watch.shut(server, now);
        } else {
          watch.silent(server, elapsed, now);
        }
      }
      default -> { }
    }
  }

  private void listed(ServerList list) {
    listHeld = list.kind() == ListKind.FULL || list.kind() == ListKind.CHANGES;
    if (list.kind() == ListKind.FAILED) {
      return;
    }
    if (list.kind() != ListKind.CHANGES) {
      List.copyOf(ready).forEach(this::drop);
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.READY) {
        zones.put(entry.server(), entry.zone());
        ready.add(entry.server());
      } else {
        drop(entry.server());
      }
    }
    watch.keep(ready);
    ready.forEach(server -> watch.ready(server, zone(server)));
  }

  private void drop(String server) {
    ready.remove(server);
    zones.remove(server);
  }
}
