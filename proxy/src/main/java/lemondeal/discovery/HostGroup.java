package lemondeal.discovery;

import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Addresses;
import lemondeal.config.Config.Names;

/**
 * Discovery's list as this proxy holds it: its version and each server's address. The module knows servers only by id,
 * since addresses may differ between proxies while all proxies must rank servers alike.
 */
public final class HostGroup {
  private final Names names;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private long generation;

  public HostGroup(Names names) {
    this.names = names;
  }

  /** Removes all addresses. */
  public void clear() {
    addresses.clear();
  }

  /** The version of the held list, from which changes are requested. */
  public long generation() {
    return generation;
  }

  /** The server's address, or null if it is not in the list. */
  public InetSocketAddress address(String server) {
    return addresses.get(server);
  }

  /** Applies the list from before the start, which may be stale. */
  public ServerList applySaved(Map<String, Object> list) throws ProtocolException {
    return apply(list, ListKind.SAVED);
  }

  /**
   * Applies an update from a source other than the platform's discovery. {@code addresses} has the entries that are new
   * or changed, but none that are {@link ServerState#GONE}. Servers of other sources are left unchanged.
   *
   * @param version increases with each list of the source
   * @param addresses the address of each entry's server that is not gone
   * @param pool the index of the source's server pool; each source lists the servers of classes of its own
   */
  public ServerList applySourceUpdate(long version, ListKind kind, List<ServerEntry> entries,
      Map<String, InetSocketAddress> addresses, int pool) {
    generation = version;
    for (ServerEntry entry : entries) {
      if (entry.state() == ServerState.GONE) {
        this.addresses.remove(entry.server());
      }
    }
    this.addresses.putAll(addresses);
    return new ServerList(version, kind, List.copyOf(entries), pool);
  }

  /** The index of a zone's name in the settings; names that the settings lack all map to the index after the last. */
  public int zoneIndex(String name) {
    return index(names.zones(), name);
  }

  /** The index of a model's name in the settings; unknown names map as for zones. */
  public int modelIndex(String name) {
    return index(names.models(), name);
  }

  /**
   * Applies a full list or a set of changes, as the message's {@code reset} field says. An older list must not undo a
   * newer one, since two calls may be answered in either order. But discovery may restart its version numbers after a
   * restart of its own; it then sends the full list.
   *
   * @param baseVersion the version that this call's changes apply to: the one held when it was made, or that of its
   *     last list
   * @return null if the message is older than what another call has delivered since; nothing has changed then
   * @throws ProtocolException if the message can't be parsed, is a full list without instances, or has changes older
   *     than their base version; the held list stays
   */
  public ServerList update(Map<String, Object> list, long baseVersion) throws ProtocolException {
    boolean full = Boolean.TRUE.equals(list.get("reset"));
    if (full && !list.containsKey("instances")) {
      throw new ProtocolException("full list has no instances");
    }
    if (version(list) < generation && generation != baseVersion) {
      return null;
    }
    if (version(list) < generation && !full) {
      throw new ProtocolException("changes with version " + version(list) + " are older than the current version "
          + generation);
    }
    return apply(list, full ? ListKind.FULL : ListKind.CHANGES);
  }

  private long version(Map<String, Object> list) {
    return (long) number(list, "generation", generation);
  }

  /** Merges changes into a base list; the result is a full list. */
  static ServerList merge(ServerList base, ServerList changes) {
    Map<String, ServerEntry> entries = new LinkedHashMap<>();
    base.entries().forEach(entry -> entries.put(entry.server(), entry));
    changes.entries().forEach(entry -> entries.put(entry.server(), entry));
    return new ServerList(changes.version(), ListKind.FULL, List.copyOf(entries.values()));
  }

  /** Parses everything before it changes anything, so that a malformed list is never applied in part. */
  private ServerList apply(Map<String, Object> list, ListKind kind) throws ProtocolException {
    List<ServerEntry> entries = new ArrayList<>();
    Map<String, InetSocketAddress> newAddresses = new HashMap<>();
    if (!(list.getOrDefault("instances", List.of()) instanceof List<?> instances)) {
      throw new ProtocolException("instances is not an array");
    }
    for (Object instance : instances) {
      if (!(instance instanceof Map<?, ?> values)) {
        throw new ProtocolException("instance is not an object");
      }
      ServerEntry entry = entry(values);
      entries.add(entry);
      newAddresses.put(entry.server(), entry.state() == ServerState.GONE ? null : address(values));
    }
    generation = version(list);
    if (kind != ListKind.CHANGES) {
      addresses.clear();
    }
    addresses.putAll(newAddresses);
    addresses.values().removeIf(address -> address == null);
    return new ServerList(generation, kind, entries);
  }

  private ServerEntry entry(Map<?, ?> values) throws ProtocolException {
    if (!(values.get("instanceId") instanceof String id) || id.isEmpty()) {
      throw new ProtocolException("instance has no instanceId");
    }
    return new ServerEntry(id, index(names.zones(), values.get("zone")), (int) number(values, "cell", 0),
        index(names.models(), values.get("machineType")), (long) (number(values, "startedAtMs", 0) * 1000),
        state(values.get("lifecycle")), number(values, "weight", 1));
  }

  private static InetSocketAddress address(Map<?, ?> values) throws ProtocolException {
    try {
      return Addresses.parse(String.valueOf(values.get("hostPort")));
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("hostPort: " + e.getMessage());
    }
  }

  /** The index of a name in the settings; unknown names all map to the index after the last. */
  private static int index(List<String> knownNames, Object name) {
    if (name instanceof Double number) {
      return number.intValue();
    }
    int index = knownNames.indexOf(String.valueOf(name));
    return index >= 0 ? index : knownNames.size();
  }

  private static ServerState state(Object lifecycle) throws ProtocolException {
    return switch (String.valueOf(lifecycle)) {
      case "in_service" -> ServerState.READY;
      case "terminating" -> ServerState.DRAINING;
      case "terminated" -> ServerState.GONE;
      default -> throw new ProtocolException("unknown lifecycle " + lifecycle);
    };
  }

  private static double number(Map<?, ?> values, String name, double defaultValue) {
    return values.get(name) instanceof Double number ? number : defaultValue;
  }
}
