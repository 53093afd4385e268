package lemondeal.proxy;

import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ListValidity;
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
 * The servers as they were announced to one module. Zones and models are indices into the name lists of its settings;
 * other settings have other lists, so what passes from one module to another is translated by name.
 */
final class KnownServers {
  /** How long the entry of a removed server is kept: an earlier dial may still be in progress; microseconds. */
  private static final long REMOVED_RETENTION = 60_000_000;

  /** A removed server with its last entry, and when it was announced as removed. */
  private record RemovedServer(ServerEntry entry, long removedAt) {}

  private final Names names;
  private final Map<String, ServerEntry> entries = new LinkedHashMap<>();
  /** For each server, the pool whose lists name it: a full list covers its own pool only. */
  private final Map<String, Integer> poolByServer = new HashMap<>();
  /** Recently removed servers, with their last entries. */
  private final Map<String, RemovedServer> removed = new HashMap<>();
  private final Map<String, Long> drainingSince = new HashMap<>();
  /** When the latest request that each server accepted was sent. */
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final LongSupplier clock;

  KnownServers(Names names, LongSupplier clock) {
    this.names = names;
    this.clock = clock;
  }

  Set<String> serverIds() {
    return entries.keySet();
  }

  void apply(ServerList list) {
    long now = clock.getAsLong();
    boolean isComplete = list.kind() == ListKind.FULL || list.kind() == ListKind.SAVED;
    Set<String> missing = isComplete ? serversOf(list.pool()) : new HashSet<>();
    for (ServerEntry entry : list.entries()) {
      missing.remove(entry.server());
      if (entry.state() == ServerState.GONE) {
        remove(entry, now);
      } else {
        entries.put(entry.server(), entry);
        poolByServer.put(entry.server(), list.pool());
        removed.remove(entry.server());
        updateDraining(entry, now);
      }
    }
    missing.forEach(server -> remove(entries.get(server), now));
    removed.values().removeIf(server -> now - server.removedAt() > REMOVED_RETENTION);
    drainingSince.keySet().removeIf(server -> !entries.containsKey(server) && !removed.containsKey(server));
    acceptedAt.keySet().retainAll(entries.keySet());
  }

  /** Forgets all servers. */
  void clear() {
    entries.clear();
    poolByServer.clear();
    removed.clear();
    drainingSince.clear();
    acceptedAt.clear();
  }

  private Set<String> serversOf(int pool) {
    Set<String> servers = new HashSet<>(entries.keySet());
    servers.removeIf(server -> poolByServer.get(server) != pool);
    return servers;
  }

  private void updateDraining(ServerEntry entry, long now) {
    if (entry.state() == ServerState.READY) {
      drainingSince.remove(entry.server());
    } else {
      drainingSince.putIfAbsent(entry.server(), now);
    }
  }

  /** Removes a server, and remembers its last entry, or the given one if there was none. */
  private void remove(ServerEntry entry, long now) {
    String server = entry.server();
    ServerEntry known = entries.remove(server);
    poolByServer.remove(server);
    removed.putIfAbsent(server, new RemovedServer(known != null ? known : entry, now));
    drainingSince.putIfAbsent(server, now);
  }

  /** The server's last entry, also for a while after its removal, or null. */
  ServerEntry entry(String server) {
    ServerEntry entry = entries.get(server);
    RemovedServer removedServer = removed.get(server);
    return entry != null || removedServer == null ? entry : removedServer.entry();
  }

  /** The server has accepted a request that was sent at {@code sentAt}, so it was not draining then. */
  void accepted(String server, long sentAt) {
    if (entries.containsKey(server)) {
      acceptedAt.merge(server, sentAt, Math::max);
    }
  }

  /** Whether the list that names the server is too old to send a new request there at {@code now}. */
  boolean isListExpired(String server, ListValidity validity, long now) {
    Long lastAcceptedAt = acceptedAt.get(server);
    return now >= validity.until() && !validity.outagePossible()
        && (lastAcceptedAt == null || now >= lastAcceptedAt + validity.afterAcceptance());
  }

  /** The pool whose lists name the server; 0 if none does. */
  int pool(String server) {
    return poolByServer.getOrDefault(server, 0);
  }

  /** When the server was announced as draining or removed, in microseconds, or {@link RequestRules#NOT_DRAINING}. */
  long drainingSince(String server) {
    return drainingSince.getOrDefault(server, RequestRules.NOT_DRAINING);
  }

  /**
   * All servers known under the previous settings, translated to these. Names that the previous settings lacked cannot
   * be translated, so the new configuration's own list is applied first.
   */
  ServerList takeOver(KnownServers previous, ServerList configured) {
    apply(configured);
    ServerList held = new ServerList(configured.version(), ListKind.SAVED, List.copyOf(previous.entries.values()));
    return translate(held, previous);
  }

  /**
   * A list from a file, which may be older than what discovery has announced here: a server that was announced as
   * draining stays draining, and one that was announced as removed is left out, unless it has restarted since.
   */
  ServerList withDrainsAndRemovals(ServerList savedList) {
    List<ServerEntry> kept = new ArrayList<>();
    for (ServerEntry entry : savedList.entries()) {
      ServerEntry known = entry(entry.server());
      boolean isDrainingOrRemoved = drainingSince.containsKey(entry.server()) && known != null
          && entry.startedAt() <= known.startedAt();
      if (!isDrainingOrRemoved) {
        kept.add(entry);
      } else if (entries.containsKey(entry.server())) {
        kept.add(draining(entry));
      }
    }
    return new ServerList(savedList.version(), savedList.kind(), kept, savedList.pool());
  }

  private static ServerEntry draining(ServerEntry entry) {
    return new ServerEntry(entry.server(), entry.zone(), entry.cell(), entry.model(), entry.startedAt(),
        ServerState.DRAINING, entry.weight());
  }

  /** Translates a list from other settings to these, applies it and returns it. */
  ServerList translate(ServerList list, KnownServers source) {
    List<ServerEntry> translated = new ArrayList<>();
    for (ServerEntry entry : list.entries()) {
      translated.add(translate(entry, source.names));
    }
    ServerList result = new ServerList(list.version(), list.kind(), translated, list.pool());
    apply(result);
    return result;
  }

  private ServerEntry translate(ServerEntry entry, Names source) {
    ServerEntry known = entries.get(entry.server());
    int zone = translateIndex(entry.zone(), source.zones(), names.zones(), known == null ? -1 : known.zone());
    int model = translateIndex(entry.model(), source.models(), names.models(), known == null ? -1 : known.model());
    return new ServerEntry(entry.server(), zone, entry.cell(), model, entry.startedAt(), entry.state(), entry.weight());
  }

  /**
   * The index of the same name in the target list; where either list lacks it, the server's known index, or one past
   * the end.
   */
  private static int translateIndex(int index, List<String> sourceNames, List<String> targetNames, int knownIndex) {
    int targetIndex = index >= 0 && index < sourceNames.size() ? targetNames.indexOf(sourceNames.get(index)) : -1;
    return targetIndex >= 0 ? targetIndex : knownIndex >= 0 ? knownIndex : targetNames.size();
  }
}
