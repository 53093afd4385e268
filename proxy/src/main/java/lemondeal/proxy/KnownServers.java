package lemondeal.proxy;

import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import lemondeal.config.Config.Names;

/**
 * The servers as one module was told them. Zones and models are places in the lists of names of its settings; other
 * settings have other lists, so what goes from one module to another is translated by name.
 */
final class KnownServers {
  /** What was told of servers that are gone is of use for as long as a dial of before may be out; microseconds. */
  private static final long KEPT_AFTER_END = 60_000_000;

  /** A server that has gone, as it was told before, and when it was told as gone. */
  private record Ended(ServerEntry entry, long at) {}

  private final Names names;
  private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
  /** Of each of them, which fleet's lists name it: a whole list speaks for its own fleet alone. */
  private final Map<String, Integer> fleets = new HashMap<>();
  /** Those that have gone lately, as they were told before. */
  private final Map<String, Ended> ended = new HashMap<>();
  private final Map<String, Long> drainingSince = new HashMap<>();
  private final LongSupplier clock;

  KnownServers(Names names, LongSupplier clock) {
    this.names = names;
    this.clock = clock;
  }

  Set<String> names() {
    return entries.keySet();
  }

  void take(ServerList list) {
    long now = clock.getAsLong();
    boolean whole = list.kind() == ListKind.FULL || list.kind() == ListKind.SAVED;
    Set<String> unnamed = whole ? serversOf(list.pool()) : new HashSet<>();
    for (ServerEntry entry : list.entries()) {
      unnamed.remove(entry.server());
      if (entry.state() == ServerState.GONE) {
        end(entry, now);
      } else {
        entries.put(entry.server(), entry);
        fleets.put(entry.server(), list.pool());
        ended.remove(entry.server());
        toldState(entry, now);
      }
    }
    unnamed.forEach(server -> end(entries.get(server), now));
    ended.values().removeIf(server -> now - server.at() > KEPT_AFTER_END);
    drainingSince.keySet().removeIf(server -> !entries.containsKey(server) && !ended.containsKey(server));
  }

  /** Forgets them all. */
  void clear() {
    entries.clear();
    fleets.clear();
    ended.clear();
    drainingSince.clear();
  }

  private Set<String> serversOf(int fleet) {
    Set<String> servers = new HashSet<>(entries.keySet());
    servers.removeIf(server -> fleets.get(server) != fleet);
    return servers;
  }

  private void toldState(ServerEntry entry, long now) {
    if (entry.state() == ServerState.READY) {
      drainingSince.remove(entry.server());
    } else {
      drainingSince.putIfAbsent(entry.server(), now);
    }
  }

  /** A server has gone, and is remembered as it was known, or as it was told where it was not. */
  private void end(ServerEntry told, long now) {
    String server = told.server();
    ServerEntry known = entries.remove(server);
    fleets.remove(server);
    ended.putIfAbsent(server, new Ended(known != null ? known : told, now));
    drainingSince.putIfAbsent(server, now);
  }

  /** The server as it was told last, also for a while after its end, or null. */
  ServerEntry entry(String server) {
    ServerEntry entry = entries.get(server);
    Ended gone = ended.get(server);
    return entry != null || gone == null ? entry : gone.entry();
  }

  /** When it was told that the server drains or is gone, in microseconds; {@link RequestRules#NOT_DRAINING} if not. */
  long drainingSince(String server) {
    return drainingSince.getOrDefault(server, RequestRules.NOT_DRAINING);
  }

  /**
   * All that is held under other settings, in the terms of these. A name that those lacked is not known there: the new
   * configuration's own list goes first.
   */
  ServerList takenOver(KnownServers before, ServerList known) {
    take(known);
    ServerList held = new ServerList(known.version(), ListKind.SAVED, List.copyOf(before.entries.values()));
    return translated(held, before);
  }

  /**
   * A list from a file, which may have been written before discovery told what is known here: a server that was told to
   * drain drains on, and one that was told as gone is left out, unless it has started anew since.
   */
  ServerList withEndsTold(ServerList listed) {
    List<ServerEntry> kept = new ArrayList<>();
    for (ServerEntry entry : listed.entries()) {
      ServerEntry held = entry(entry.server());
      boolean ends = drainingSince.containsKey(entry.server()) && held != null && entry.startedAt() <= held.startedAt();
      if (!ends) {
        kept.add(entry);
      } else if (entries.containsKey(entry.server())) {
        kept.add(draining(entry));
      }
    }
    return new ServerList(listed.version(), listed.kind(), kept, listed.pool());
  }

  private static ServerEntry draining(ServerEntry e) {
    return new ServerEntry(e.server(), e.zone(), e.cell(), e.model(), e.startedAt(), ServerState.DRAINING, e.weight());
  }

  /** A list in the terms of other settings, taken in and in the terms of these. */
  ServerList translated(ServerList list, KnownServers from) {
    List<ServerEntry> translated = new ArrayList<>();
    for (ServerEntry entry : list.entries()) {
      translated.add(translated(entry, from.names));
    }
    ServerList own = new ServerList(list.version(), list.kind(), translated, list.pool());
    take(own);
    return own;
  }

  private ServerEntry translated(ServerEntry e, Names from) {
    ServerEntry held = entries.get(e.server());
    int zone = place(e.zone(), from.zones(), names.zones(), held == null ? -1 : held.zone());
    int model = place(e.model(), from.models(), names.models(), held == null ? -1 : held.model());
    return new ServerEntry(e.server(), zone, e.cell(), model, e.startedAt(), e.state(), e.weight());
  }

  /** The same name's place here; where either list lacks it, what this server is held to be, or after them all. */
  private static int place(int place, List<String> from, List<String> to, int held) {
    int here = place >= 0 && place < from.size() ? to.indexOf(from.get(place)) : -1;
    return here >= 0 ? here : held >= 0 ? held : to.size();
  }
}
