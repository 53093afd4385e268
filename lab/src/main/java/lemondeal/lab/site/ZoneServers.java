package lemondeal.lab.site;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.lab.FakeDiscovery;
import lemondeal.lab.stream.SessionStore;
import lemondeal.lab.stream.ResumableServer;

/** Stand-in servers in zones, each behind a {@link Relay}, so that a whole zone can vanish and return. */
public final class ZoneServers implements AutoCloseable {
  private record RelayedServer(ResumableServer server, Relay relay) {}

  private final FakeDiscovery discovery = new FakeDiscovery();
  private final Map<String, List<RelayedServer>> zones = new LinkedHashMap<>();

  /** So many servers in each zone, all listed. */
  public ZoneServers(int serversPerZone, String... zoneNames) throws IOException {
    for (String zone : zoneNames) {
      List<RelayedServer> servers = new ArrayList<>();
      for (int i = 0; i < serversPerZone; i++) {
        ResumableServer server = new ResumableServer(new SessionStore());
        RelayedServer relayed = new RelayedServer(server, new Relay(server.address(), 31L * zones.size() + i));
        servers.add(relayed);
        discovery.putInstance("s-" + zone + i, relayed.relay.address(), zone, "in_service");
      }
      zones.put(zone, servers);
    }
  }

  public FakeDiscovery discovery() {
    return discovery;
  }

  /** From now on what comes to the servers of this zone passes so. */
  public void setConditions(String zone, NetworkConditions conditions) {
    zones.get(zone).forEach(relayed -> relayed.relay.setConditions(conditions));
  }

  /** First lines that came to each server of the zone so far. */
  public List<Integer> openCounts(String zone) {
    return zones.get(zone).stream().map(relayed -> relayed.server.openCount()).toList();
  }

  /** First lines that came to the zone so far. */
  public int openCount(String zone) {
    return openCounts(zone).stream().mapToInt(Integer::intValue).sum();
  }

  /** Connections that stand in the zone. */
  public int openConnections(String zone) {
    return zones.get(zone).stream().mapToInt(relayed -> relayed.server.openConnections()).sum();
  }

  @Override
  public void close() {
    zones.values().forEach(servers -> servers.forEach(relayed -> {
      relayed.relay.close();
      relayed.server.kill();
    }));
    discovery.close();
  }
}
