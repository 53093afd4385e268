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
 * Discovery's list as this proxy has it: which version, and where each server is. The module knows servers
 * by id, since an address may differ from one proxy to the next and all must rank alike.
 */
public final class HostGroup {
  private final Names names;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private long generation;

  public HostGroup(Names names) {
    this.names = names;
  }

  /** Forgets where all servers are. */
  public void clear() {
    addresses.clear();
  }

  /** The version of the list held, from which changes are asked for. */
  public long generation() {
    return generation;
  }

  /** The server's address, or null if it is not in the list. */
  public InetSocketAddress address(String server) {
    return addresses.get(server);
  }

  /** Takes in the list as it stood before the start, possibly old. */
  public ServerList applySaved(Map<String, Object> list) throws ProtocolException {
    return apply(list, ListKind.SAVED);
  }

  /**
   * Takes in what another source than the platform's tells: addresses of entries that are new or changed, none of those
   * that are {@link ServerState#GONE}. Other sources' servers are left as they are.
   *
   * @param version grows with each list of the source
   * @param addresses of each entry's server that is not gone
   * @param fleet the source's place among those that list servers for classes of their own
   */
  public ServerList applySourceUpdate(long version, ListKind kind, List<ServerEntry> entries,
      Map<String, InetSocketAddress> addresses, int fleet) {
    generation = version;
    for (ServerEntry entry : entries) {
      if (entry.state() == ServerState.GONE) {
        this.addresses.remove(entry.server());
      }
    }
    this.addresses.putAll(addresses);
    return new ServerList(version, kind, List.copyOf(entries), fleet);
  }

  /** The place of a zone's name in the settings' list; names that the settings lack come after them all. */
  public int zoneIndex(String name) {
    return index(names.zones(), name);
  }

  /** The place of a model's name in the settings' list, as for zones. */
  public int modelIndex(String name) {
    return index(names.models(), name);
  }

  /**
   * Takes in a list or a line of changes, whichever it says it is. An older list must not undo what a newer one told:
   * two calls may be answered in either order. Yet discovery may count its versions anew, after a restart of its own,
   * and then tells the whole list.
   *
   * @param since the version that this call goes on from: that held when it was made, or that of its last list
   * @return null if it is older than what another call has told since: nothing has changed then
   * @throws ProtocolException if it can't be read, is a whole list that names no instances, or changes from before what
   *     they go on from: the list held stays
   */
  public ServerList update(Map<String, Object> list, long baseVersion) throws ProtocolException {
    boolean full = Boolean.TRUE.equals(list.get("reset"));
    if (full && !list.containsKey("instances")) {
      throw new ProtocolException("a whole list without instances");
    }
    if (version(list) < generation && generation != baseVersion) {
      return null;
    }
    if (version(list) < generation && !full) {
      throw new ProtocolException("changes of version " + version(list) + " go on from version " + generation);
    }
    return apply(list, full ? ListKind.FULL : ListKind.CHANGES);
  }

  private long version(Map<String, Object> list) {
    return (long) number(list, "generation", generation);
  }

  /** The whole list that changes make of a list from before. */
  static ServerList merge(ServerList base, ServerList changes) {
    Map<String, ServerEntry> entries = new LinkedHashMap<>();
    base.entries().forEach(entry -> entries.put(entry.server(), entry));
    changes.entries().forEach(entry -> entries.put(entry.server(), entry));
    return new ServerList(changes.version(), ListKind.FULL, List.copyOf(entries.values()));
  }

  /** Reads everything before it changes anything: a broken list must not be taken in by half. */
  private ServerList apply(Map<String, Object> list, ListKind kind) throws ProtocolException {
    List<ServerEntry> entries = new ArrayList<>();
    Map<String, InetSocketAddress> newAddresses = new HashMap<>();
    if (!(list.getOrDefault("instances", List.of()) instanceof List<?> instances)) {
      throw new ProtocolException("instances is no list");
    }
    for (Object instance : instances) {
      if (!(instance instanceof Map<?, ?> values)) {
        throw new ProtocolException("an instance is no object");
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
      throw new ProtocolException("an instance has no id");
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

  /** The place of a name in the settings' list; names that the settings lack come after them all. */
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
