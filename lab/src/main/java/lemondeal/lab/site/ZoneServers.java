package lemondeal.lab.site;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.lab.FakeDiscovery;
import lemondeal.lab.stream.SessionStore;
import lemondeal.lab.stream.ResumableServer;

/** Fake servers in zones, each behind a {@link Relay}, so that a whole zone can fail and recover. */
public final class ZoneServers implements AutoCloseable {
  private record RelayedServer(ResumableServer server, Relay relay) {}

  private final FakeDiscovery discovery = new FakeDiscovery();
  private final Map<String, List<RelayedServer>> zones = new LinkedHashMap<>();

  /** Starts the servers of each zone and lists them in discovery. */
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

  /** Sets the network conditions towards the servers of a zone. */
  public void setConditions(String zone, NetworkConditions conditions) {
    zones.get(zone).forEach(relayed -> relayed.relay.setConditions(conditions));
  }

  /** Returns the number of {@code OPEN} lines that each server of the zone has received. */
  public List<Integer> openCounts(String zone) {
    return zones.get(zone).stream().map(relayed -> relayed.server.openCount()).toList();
  }

  /** Returns the number of {@code OPEN} lines that the zone has received. */
  public int openCount(String zone) {
    return openCounts(zone).stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of open connections in the zone. */
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
