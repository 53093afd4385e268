package lemondeal.lab.site;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.lab.Listing;
import lemondeal.lab.stream.SessionStore;
import lemondeal.lab.stream.StreamServer;

/** Stand-in servers in zones, each behind a {@link Relay}, so that a whole zone can vanish and return. */
public final class ZoneServers implements AutoCloseable {
  private record Behind(StreamServer server, Relay relay) {}

  private final Listing listing = new Listing();
  private final Map<String, List<Behind>> zones = new LinkedHashMap<>();

  /** So many servers in each zone, all listed. */
  public ZoneServers(int each, String... names) throws IOException {
    for (String zone : names) {
      List<Behind> servers = new ArrayList<>();
      for (int i = 0; i < each; i++) {
        StreamServer server = new StreamServer(new SessionStore());
        Behind behind = new Behind(server, new Relay(server.address(), 31L * zones.size() + i));
        servers.add(behind);
        listing.list("s-" + zone + i, behind.relay.address(), zone, "in_service");
      }
      zones.put(zone, servers);
    }
  }

  public Listing listing() {
    return listing;
  }

  /** From now on what comes to the servers of this zone passes so. */
  public void let(String zone, Passage passage) {
    zones.get(zone).forEach(behind -> behind.relay.let(passage));
  }

  /** First lines that came to each server of the zone so far. */
  public List<Integer> opened(String zone) {
    return zones.get(zone).stream().map(behind -> behind.server.opened()).toList();
  }

  /** First lines that came to the zone so far. */
  public int openedIn(String zone) {
    return opened(zone).stream().mapToInt(Integer::intValue).sum();
  }

  /** Connections that stand in the zone. */
  public int standing(String zone) {
    return zones.get(zone).stream().mapToInt(behind -> behind.server.standing()).sum();
  }

  @Override
  public void close() {
    zones.values().forEach(servers -> servers.forEach(behind -> {
      behind.relay.close();
      behind.server.kill();
    }));
    listing.close();
  }
}
