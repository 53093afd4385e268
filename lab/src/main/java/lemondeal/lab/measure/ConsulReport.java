package lemondeal.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.lab.Lines;
import lemondeal.lab.ServeProcess;
import lemondeal.lab.consul.ConsulSite;
import lemondeal.lab.consul.ConsulStandIn;
import lemondeal.lab.consul.ShortClients;
import org.HdrHistogram.Histogram;

/**
 * What servers from Consul cost and how soon a drain takes hold, measured on real proxies against the stand-in, all in
 * one run on one machine: Markdown tables.
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
        + sizes() + "\n## Calls on Consul\n\n" + calls();
  }

  // ---- Drains ---------------------------------------------------------------------------------

  private record Kind(String name, Consumer<String> change, Consumer<String> undo) {}

  private String drains() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder("""
        3 proxies, 8 link servers, 24 clients of short connections. The time from the change in the stand-in to the last
        first line that reached that server; 0 where none came after the change.

        | change | plays | median ms | 99th ms | worst ms | after 1 s |
        | --- | --- | --- | --- | --- | --- |
        """);
    try (ConsulSite site = new ConsulSite(3, 8, DAMPING); ShortClients clients = new ShortClients(site::front, 24, ConsulSite.CLASS)) {
      ConsulStandIn consul = site.consul();
      List<Kind> kinds = List.of(
          new Kind("critical check", key -> consul.catalogue().status(key, "critical"), key -> consul.catalogue().status(key, "passing")),
          new Kind("node leaves (serfHealth)", key -> consul.catalogue().check(key, "serfHealth", "critical"),
              key -> consul.catalogue().check(key, "serfHealth", "passing")),
          new Kind("maintenance", key -> consul.catalogue().maintenance(key, true), key -> consul.catalogue().maintenance(key, false)),
          new Kind("warning with weight 0", key -> consul.catalogue().status(key, "warning"), key -> consul.catalogue().status(key, "passing")));
      for (Kind kind : kinds) {
        Histogram delays = new Histogram(3);
        int late = 0;
        for (int play = 0; play < repeats; play++) {
          String name = "s-" + (1 + play % 8);
          if (kind.name().startsWith("warning")) {
            consul.catalogue().change(site.key(name), instance -> instance.warningWeight(0));
          }
          long delay = drain(site, name, kind.change());
          delays.recordValue(delay);
          late += delay > 1000 ? 1 : 0;
          kind.undo().accept(site.key(name));
          Thread.sleep(1500);
        }
        table.append(String.format(Locale.ROOT, "| %s | %d | %d | %d | %d | %d |%n", kind.name(), repeats,
            delays.getValueAtPercentile(50), delays.getValueAtPercentile(99), delays.getMaxValue(), late));
        progress.println("consul: " + kind.name() + " done");
      }
      clients.end();
      table.append("\nRequests without their one final answer: ").append(clients.breaches().size())
          .append("; answers: ").append(clients.counts()).append(".\n");
    }
    return table.toString();
  }

  /** Milliseconds from the change to the last new work at that server. */
  private static long drain(ConsulSite site, String name, Consumer<String> change) throws InterruptedException {
    long until = System.nanoTime() + 10_000 * MILLI;
    long since = System.nanoTime();
    while (site.server(name).lastOpenNanos() < since) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException(name + " gets no work before its change");
      }
      Thread.sleep(10);
    }
    long changed = System.nanoTime();
    change.accept(site.key(name));
    Thread.sleep(2500);
    return Math.max(0, site.server(name).lastOpenNanos() - changed) / MILLI;
  }

  // ---- Sizes ----------------------------------------------------------------------------------

  private String sizes() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder(String.format(Locale.ROOT, """
        One proxy, no clients, a list of so many instances of which 1%% turn critical or passing each second, for %d s.
        CPU is the proxy's, in all its threads; a PING on a new connection is accepted and answered by its I/O thread, so
        its round trip tells how long that thread stood still.

        | instances | CPU of a core | memory MB | PING median ms | PING 99th ms | PING worst ms |
        | --- | --- | --- | --- | --- | --- |
        """, seconds));
    for (int size : sizes) {
      try (ConsulSite site = new ConsulSite(0, 0, DAMPING + "\nmost_instances: 200000")) {
        ConsulStandIn consul = site.consul();
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < size; i++) {
          // Nothing listens there: with no clients nothing is dialled.
          keys.add(consul.catalogue().register("node-" + i, "127.0.0.1", ConsulSite.SERVICE, "x-" + i, 1 + i % 60_000));
        }
        site.startProxy(0, 1);
        ServeProcess proxy = site.proxies().get(0);
        Thread.sleep(2000);
        ProcessFigures before = ProcessFigures.of(proxy.pid());
        Histogram pings = new Histogram(3);
        long end = System.nanoTime() + seconds * 1000 * MILLI;
        int changes = Math.max(1, size / 100);
        int turn = 0;
        long nextChange = System.nanoTime();
        while (System.nanoTime() < end) {
          if (System.nanoTime() >= nextChange) {
            for (int i = 0; i < changes; i++) {
              String key = keys.get((turn * changes + i) % size);
              consul.catalogue().status(key, turn % 2 == 0 ? "critical" : "passing");
            }
            turn++;
            nextChange += 1000 * MILLI;
          }
          pings.recordValue(ping(proxy));
          Thread.sleep(20);
        }
        ProcessFigures after = ProcessFigures.of(proxy.pid());
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
   * Microseconds from a connection's start to its {@code PONG}: accepting and answering both wait for the I/O thread. A
   * connection of its own each time, since one that sends no first line is ended after a while.
   */
  private static long ping(ServeProcess proxy) throws IOException {
    long sent = System.nanoTime();
    try (Lines ping = Lines.to(proxy.address())) {
      ping.patience(5000);
      ping.write("PING");
      ping.read();
      return Math.max(1, (System.nanoTime() - sent) / 1000);
    } catch (SocketTimeoutException e) {
      return 5_000_000;
    }
  }

  // ---- Calls ----------------------------------------------------------------------------------

  private String calls() throws IOException, InterruptedException {
    StringBuilder table = new StringBuilder(String.format(Locale.ROOT, """
        So many proxies on one stand-in Consul with 8 instances, for %d s each way: calm, with one change a second; and
        failing, with 500 to every call. Blocking queries wait 30 s; failures are paced from 500 ms to 30 s.

        | proxies | calm: calls a second | calm: per proxy | failing: calls a second | failing: per proxy |
        | --- | --- | --- | --- | --- |
        """, seconds));
    for (int fleet : fleets) {
      try (ConsulSite site = new ConsulSite(0, 8, DAMPING)) {
        for (int i = 0; i < fleet; i++) {
          site.startProxy(i, fleet);
        }
        ConsulStandIn consul = site.consul();
        Thread.sleep(2000);
        long before = consul.calls();
        long end = System.nanoTime() + seconds * 1000 * MILLI;
        for (int turn = 0; System.nanoTime() < end; turn++) {
          consul.catalogue().status(site.key("s-" + (1 + turn % 8)), turn % 16 < 8 ? "warning" : "passing");
          Thread.sleep(1000);
        }
        double calm = (consul.calls() - before) / (double) seconds;
        consul.mood(ConsulStandIn.Mood.FAILS);
        Thread.sleep(2000);
        before = consul.calls();
        Thread.sleep(seconds * 1000L);
        double failing = (consul.calls() - before) / (double) seconds;
        table.append(String.format(Locale.ROOT, "| %d | %.1f | %.2f | %.1f | %.2f |%n", fleet, calm, calm / fleet,
            failing, failing / fleet));
        progress.println("consul: " + fleet + " proxies done");
      }
    }
    return table.toString();
  }
}
