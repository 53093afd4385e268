package lemondeal.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.lab.LineConnection;
import lemondeal.lab.ProxyProcess;
import lemondeal.lab.consul.ConsulTestCluster;
import lemondeal.lab.consul.FakeConsul;
import lemondeal.lab.consul.ShortConnectionClients;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of discovery through Consul and the delay until a drain takes effect, with real proxies and a fake
 * Consul in one run on one machine. Returns Markdown tables.
 */
final class ConsulReport {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final String DAMPING = "damping: {quiet: 1s, most: 4s, forget: 60s}";

  private final int repeats;
  private final int[] sizes;
  private final int[] fleets;
  private final int seconds;
  private final PrintStream progress;

  ConsulReport(int repeats, int[] sizes, int[] fleets, int seconds, PrintStream progress) {
    this.repeats = repeats;
    this.sizes = sizes;
    this.fleets = fleets;
    this.seconds = seconds;
    this.progress = progress;
  }

  String run() throws IOException, InterruptedException {
    return "## From a change in Consul to the last new work\n\n" + drains() + "\n## Lists of many instances\n\n"
        + sizes() + "\n## Calls to Consul\n\n" + calls();
  }

  // ---- Drains ---------------------------------------------------------------------------------

  private record ChangeKind(String name, Consumer<String> change, Consumer<String> undo) {}

  private String drains() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder("""
        3 proxies, 8 echo servers, 24 clients of short connections. The time from the change in the fake Consul
        until that server received its last OPEN line; 0 where none came after the change.

        | change | rounds | median ms | 99th ms | worst ms | after 1 s |
        | --- | --- | --- | --- | --- | --- |
        """);
    try (ConsulTestCluster cluster = new ConsulTestCluster(3, 8, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 24,
            ConsulTestCluster.CHAT_CLASS)) {
      FakeConsul consul = cluster.consul();
      List<ChangeKind> kinds = List.of(
          new ChangeKind("critical check", key -> consul.catalogue().setStatus(key, "critical"),
              key -> consul.catalogue().setStatus(key, "passing")),
          new ChangeKind("node leaves (serfHealth)", key -> consul.catalogue().setCheck(key, "serfHealth", "critical"),
              key -> consul.catalogue().setCheck(key, "serfHealth", "passing")),
          new ChangeKind("maintenance", key -> consul.catalogue().setMaintenance(key, true),
              key -> consul.catalogue().setMaintenance(key, false)),
          new ChangeKind("warning with weight 0", key -> consul.catalogue().setStatus(key, "warning"),
              key -> consul.catalogue().setStatus(key, "passing")));
      for (ChangeKind kind : kinds) {
        Histogram delays = new Histogram(3);
        int lateCount = 0;
        for (int round = 0; round < repeats; round++) {
          String name = "s-" + (1 + round % 8);
          if (kind.name().startsWith("warning")) {
            consul.catalogue().update(cluster.consulKey(name), instance -> instance.setWarningWeight(0));
          }
          long delay = drain(cluster, name, kind.change());
          delays.recordValue(delay);
          lateCount += delay > 1000 ? 1 : 0;
          kind.undo().accept(cluster.consulKey(name));
          Thread.sleep(1500);
        }
        table.append(String.format(Locale.ROOT, "| %s | %d | %d | %d | %d | %d |%n", kind.name(), repeats,
            delays.getValueAtPercentile(50), delays.getValueAtPercentile(99), delays.getMaxValue(), lateCount));
        progress.println("consul: " + kind.name() + " done");
      }
      clients.stop();
      table.append("\nRequests without a correct final answer in time: ").append(clients.breaches().size())
          .append("; answers: ").append(clients.counts()).append(".\n");
    }
    return table.toString();
  }

  /** Returns the milliseconds from the change to the last new work at the server. */
  private static long drain(ConsulTestCluster cluster, String name, Consumer<String> change)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + 10_000 * MILLI;
    long startNanos = System.nanoTime();
    while (cluster.server(name).lastOpenNanos() < startNanos) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(name + " received no work before its change");
      }
      Thread.sleep(10);
    }
    long changedNanos = System.nanoTime();
    change.accept(cluster.consulKey(name));
    Thread.sleep(2500);
    return Math.max(0, cluster.server(name).lastOpenNanos() - changedNanos) / MILLI;
  }

  // ---- Sizes ----------------------------------------------------------------------------------

  private String sizes() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder(String.format(Locale.ROOT, """
        One proxy, no clients, a list of instances of which 1%% turn critical or passing each second, for %d s.
        CPU is the proxy's, in all its threads; a PING on a new connection is accepted and answered by its I/O thread,
        so its round trip shows how long that thread was blocked.

        | instances | CPU of a core | memory MB | PING median ms | PING 99th ms | PING worst ms |
        | --- | --- | --- | --- | --- | --- |
        """, seconds));
    for (int size : sizes) {
      try (ConsulTestCluster cluster = new ConsulTestCluster(0, 0, DAMPING + "\nmost_instances: 200000")) {
        FakeConsul consul = cluster.consul();
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < size; i++) {
          // Nothing listens there: without clients no connection is opened.
          keys.add(consul.catalogue().register("node-" + i, "127.0.0.1", ConsulTestCluster.SERVICE, "x-" + i,
              1 + i % 60_000));
        }
        cluster.startProxy(0, 1);
        ProxyProcess proxy = cluster.proxies().get(0);
        Thread.sleep(2000);
        ProcessUsage before = ProcessUsage.of(proxy.pid());
        Histogram pings = new Histogram(3);
        long endNanos = System.nanoTime() + seconds * 1000 * MILLI;
        int changes = Math.max(1, size / 100);
        int round = 0;
        long nextChange = System.nanoTime();
        while (System.nanoTime() < endNanos) {
          if (System.nanoTime() >= nextChange) {
            for (int i = 0; i < changes; i++) {
              String key = keys.get((round * changes + i) % size);
              consul.catalogue().setStatus(key, round % 2 == 0 ? "critical" : "passing");
            }
            round++;
            nextChange += 1000 * MILLI;
          }
          pings.recordValue(ping(proxy));
          Thread.sleep(20);
        }
        ProcessUsage after = ProcessUsage.of(proxy.pid());
        table.append(String.format(Locale.ROOT, "| %d | %.1f%% | %d | %.2f | %.2f | %.2f |%n", size,
            100 * (after.cpuSeconds() - before.cpuSeconds()) / seconds, after.residentKilobytes() / 1024,
            pings.getValueAtPercentile(50) / 1000.0, pings.getValueAtPercentile(99) / 1000.0,
            pings.getMaxValue() / 1000.0));
        progress.println("consul: " + size + " instances done");
      }
    }
    return table.toString();
  }

  /**
   * Returns the microseconds from opening a connection to its {@code PONG}: accepting and answering both wait for the
   * I/O thread. Uses a new connection each time, because one that sends no first line is closed after a while.
   */
  private static long ping(ProxyProcess proxy) throws IOException {
    long startNanos = System.nanoTime();
    try (LineConnection connection = LineConnection.connect(proxy.address())) {
      connection.setReadTimeout(5000);
      connection.writeLines("PING");
      connection.readLine();
      return Math.max(1, (System.nanoTime() - startNanos) / 1000);
    } catch (SocketTimeoutException e) {
      return 5_000_000;
    }
  }

  // ---- Calls ----------------------------------------------------------------------------------

  private String calls() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder(String.format(Locale.ROOT, """
        Proxies on one fake Consul with 8 instances, for %d s in each state: calm, with one change a second; and
        failing, with status 500 for every call. Blocking queries wait 30 s; failures are paced from 500 ms to 30 s.

        | proxies | calm: calls a second | calm: per proxy | failing: calls a second | failing: per proxy |
        | --- | --- | --- | --- | --- |
        """, seconds));
    for (int fleet : fleets) {
      try (ConsulTestCluster cluster = new ConsulTestCluster(0, 8, DAMPING)) {
        for (int i = 0; i < fleet; i++) {
          cluster.startProxy(i, fleet);
        }
        FakeConsul consul = cluster.consul();
        Thread.sleep(2000);
        long before = consul.queryCount();
        long endNanos = System.nanoTime() + seconds * 1000 * MILLI;
        for (int round = 0; System.nanoTime() < endNanos; round++) {
          consul.catalogue().setStatus(cluster.consulKey("s-" + (1 + round % 8)),
              round % 16 < 8 ? "warning" : "passing");
          Thread.sleep(1000);
        }
        double calm = (consul.queryCount() - before) / (double) seconds;
        consul.setResponseMode(FakeConsul.ResponseMode.FAILS);
        Thread.sleep(2000);
        before = consul.queryCount();
        Thread.sleep(seconds * 1000L);
        double failing = (consul.queryCount() - before) / (double) seconds;
        table.append(String.format(Locale.ROOT, "| %d | %.1f | %.2f | %.1f | %.2f |%n", fleet, calm, calm / fleet,
            failing, failing / fleet));
        progress.println("consul: " + fleet + " proxies done");
      }
    }
    return table.toString();
  }
}
