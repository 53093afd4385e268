package lemondeal.lab.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import lemondeal.config.Addresses;
import lemondeal.lab.ProxyProcess;
import lemondeal.lab.UnusedAddress;

/**
 * A fleet of real proxies on loopback that exchange reports, with a {@link Relay} in each direction of each pair. A
 * proxy is named {@code n} and its index; even ones are in zone {@code a}, odd ones in zone {@code b}. {@link #close}
 * stops all of them and deletes their files.
 */
public final class FleetTestCluster implements AutoCloseable {
  /** The loopback network in which each proxy has a host of its own for the fleet's messages. */
  private static final String PROXY_NETWORK = "127.9.0.";
  private static final String VISIBILITY_EVENT = "\"event\":\"fleet-sight\"";

  private final Path folder;
  private final int count;
  private final List<InetSocketAddress> listenAddresses = new ArrayList<>();
  private final Relay[][] relays;
  private final ProxyProcess[] proxies;
  private final String extraFleetSettings;
  private final InetSocketAddress discovery;

  /**
   * Creates the cluster without starting a proxy.
   *
   * @param extraFleetSettings lines of the operator's section {@code fleet} in addition to the members; PLACE in them
   *     is replaced by the proxy's index
   * @param discovery address of the discovery service that lists the servers
   */
  public FleetTestCluster(int count, long seed, String extraFleetSettings, InetSocketAddress discovery)
      throws IOException {
    this.count = count;
    this.extraFleetSettings = extraFleetSettings;
    this.discovery = discovery;
    folder = Files.createTempDirectory("lemondeal-fleet");
    relays = new Relay[count][count];
    proxies = new ProxyProcess[count];
    for (int i = 0; i < count; i++) {
      listenAddresses.add(UnusedAddress.on(PROXY_NETWORK + (i + 1)));
    }
    for (int from = 0; from < count; from++) {
      for (int to = 0; to < count; to++) {
        relays[from][to] = from == to ? null : new Relay(listenAddresses.get(to), seed + from * count + to);
      }
    }
  }

  /** Returns the number of proxies. */
  public int size() {
    return count;
  }

  public static String proxyName(int i) {
    return "n" + i;
  }

  /** Starts or restarts proxy {@code i}. */
  public ProxyProcess start(int i) throws IOException, InterruptedException {
    proxies[i] = ProxyProcess.start(writeConfig(i, true), writeOperatorFile(i));
    return proxies[i];
  }

  /** Writes a proxy's platform configuration; {@code peersAllowed} permits messages between proxies. */
  public Path writeConfig(int i, boolean peersAllowed) throws IOException {
    return Files.writeString(folder.resolve("proxy-" + i + ".json"), """
        {"name":"%s","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
         "limits":{"sockets":4096,"memory_mb":192},
         "known":{"generation":0,"reset":true,"instances":[]},
         "settings":{"slotNo":%d,"balancers":%d,"azs":["a","b"],"flavors":["m"],"membershipMode":"subscribe",
           "familyInfo":{"mode":"proxy","groups":false,"messageAim":[1000000]},
           "permissions":{"dialTimeout":500000,"keepalive":5000000,"cancelling":true,"retryAfter":true,"mayTell":%b,"mayProbe":true,
             "maxRetryAfter":2000000,"tryLimit":3,"cpuUsPerS":1000000},
           "rules":{"answerSlack":20000,"drainGrace":1000000,"fallMultiple":4.0,"overloadFor":2000000,
             "coldFrom":0.35,"warmWithin":9000000,"askEvery":10000000},
           "prices":{"crossZone":0.03,"waste":0.2,"probe":0.0023,"moves":0.01},
           "profiles":[{"name":"chat","semantics":"idempotent","aim":500000,"hardLimit":2000000}]}}
        """.formatted(proxyName(i), discovery.getPort(), i + 1, i, count, peersAllowed));
  }

  /** Writes a proxy's operator file. */
  public Path writeOperatorFile(int i) throws IOException {
    StringBuilder members = new StringBuilder();
    for (int other = 0; other < count; other++) {
      InetSocketAddress address = other == i ? listenAddresses.get(i) : relays[i][other].address();
      members.append("    - {name: %s, zone: %s, address: '%s'}\n".formatted(proxyName(other),
          other % 2 == 0 ? "a" : "b", Addresses.format(address)));
    }
    return Files.writeString(folder.resolve("operator-" + i + ".yaml"),
        "version: 1\nlog: {format: json}\nfleet:\n  members:\n" + members
        + extraFleetSettings.replace("PLACE", Integer.toString(i)).indent(2));
  }

  public ProxyProcess proxy(int i) {
    return proxies[i];
  }

  /** Returns the address where the proxy receives messages of the fleet. */
  public InetSocketAddress listenAddress(int i) {
    return listenAddresses.get(i);
  }

  /** Returns the relay for traffic from one proxy to another. */
  public Relay relay(int from, int to) {
    return relays[from][to];
  }

  /** Sets the network conditions between a proxy and all others, in both directions. */
  public void setConditions(int i, NetworkConditions conditions) {
    for (int other = 0; other < count; other++) {
      if (other != i) {
        relays[i][other].setConditions(conditions);
        relays[other][i].setConditions(conditions);
      }
    }
  }

  /** Sends a signal such as STOP or CONT. */
  public void signal(int i, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(proxies[i].pid())).start().waitFor();
  }

  /** Returns the visible members from the proxy's last log line about them, separated by blanks; null without one. */
  public String visibleMembers(int i) {
    String last = null;
    for (String line : proxies[i].log()) {
      if (line.contains(VISIBILITY_EVENT)) {
        int from = line.indexOf("\"in_sight\":\"") + "\"in_sight\":\"".length();
        last = line.substring(from, line.indexOf('"', from));
      }
    }
    return last;
  }

  /** Waits until the proxy logs exactly these visible members. Returns the elapsed milliseconds. */
  public long awaitVisibleMembers(int i, String names, long timeoutSeconds) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    while (!names.equals(visibleMembers(i))) {
      if (System.nanoTime() - startNanos > timeoutSeconds * 1_000_000_000L) {
        throw new IOException(proxyName(i) + " sees " + visibleMembers(i) + ", not " + names + ": " + proxies[i].log());
      }
      Thread.sleep(10);
    }
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public void close() {
    for (int i = 0; i < count; i++) {
      if (proxies[i] != null) {
        proxies[i].close();
      }
      for (Relay relay : relays[i]) {
        if (relay != null) {
          relay.close();
        }
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
