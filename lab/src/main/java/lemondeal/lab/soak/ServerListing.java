package lemondeal.lab.soak;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's versioned server list. All proxies see the same servers, but each proxy at different addresses. */
final class ServerListing {
  /** One server of the list; {@code version} is the list's version that changed it last. */
  record Entry(SoakServer server, String lifecycle, long startedAtMillis, long version, long changedAtNanos) {}

  /** The entries changed since some version, and the version that results from them. */
  record Changes(long version, List<Entry> entries) {}

  static final String IN_SERVICE = "in_service";
  static final String TERMINATING = "terminating";
  static final String TERMINATED = "terminated";

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version = 1;

  synchronized void put(SoakServer server, String lifecycle, long startedAtMillis) {
    version++;
    entries.put(server.identity().id(), new Entry(server, lifecycle, startedAtMillis, version, System.nanoTime()));
    notifyAll();
  }

  synchronized void changeLifecycle(SoakServer server, String lifecycle) {
    put(server, lifecycle, entries.get(server.identity().id()).startedAtMillis);
  }

  synchronized long version() {
    return version;
  }

  synchronized Entry entry(String server) {
    return entries.get(server);
  }

  /** Waits until the list is newer than that version or the time is over, and returns the changes. */
  synchronized Changes awaitChanges(long sinceVersion, long millis) throws InterruptedException {
    if (version <= sinceVersion) {
      wait(millis);
    }
    return changes(sinceVersion);
  }

  synchronized Changes changes(long sinceVersion) {
    List<Entry> newer = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.version > sinceVersion) {
        newer.add(entry);
      }
    }
    return new Changes(version, newer);
  }

  /** Returns the full list, without terminated servers. */
  synchronized Changes currentList() {
    List<Entry> listed = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (!entry.lifecycle.equals(TERMINATED)) {
        listed.add(entry);
      }
    }
    return new Changes(version, listed);
  }

  /** Formats changes as discovery's JSON, on one line. */
  static String json(Changes changes, boolean fullList, int proxy) {
    StringBuilder text = new StringBuilder();
    for (Entry entry : changes.entries) {
      ServerIdentity identity = entry.server.identity();
      InetSocketAddress address = entry.server.addressFor(proxy);
      text.append(text.isEmpty() ? "" : ",").append(("{\"instanceId\":\"%s\",\"hostPort\":\"%s:%d\",\"zone\":\"%s\","
          + "\"machineType\":\"m\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d}").formatted(
          identity.id(), address.getAddress().getHostAddress(), address.getPort(), identity.zone(), identity.cell(),
          entry.lifecycle, entry.startedAtMillis));
    }
    return "{\"generation\":%d,\"reset\":%b,\"instances\":[%s]}".formatted(changes.version, fullList, text);
  }
}
