package lemondeal.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import lemondeal.lab.stream.ResumingClient;
import lemondeal.lab.stream.ResumeChecker;
import lemondeal.lab.stream.ResumeTestCluster;
import org.HdrHistogram.Histogram;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Compares resumable with plain moves in one run and returns Markdown tables. */
final class ResumeReport {
  private static final int SERVERS = 4;
  private static final int MICROS = 1000;

  private final int clients;
  private final PrintStream progress;
  private final StringBuilder text = new StringBuilder();

  ResumeReport(int clients, PrintStream progress) {
    this.clients = clients;
    this.progress = progress;
  }

  /** What the clients observed while all servers were drained. */
  private record DrainResult(Histogram gaps, long moves, long resentLines, long sentLines, int breaches) {}

  /** Cost of an open connection at one proxy. */
  private record ConnectionCost(double kilobytes, double microsPerLine) {}

  String run() throws IOException, InterruptedException, RunnerException {
    progress.println("drains, with tokens ...");
    DrainResult withTokens = measureDrains(true);
    progress.println("drains, without tokens ...");
    DrainResult withoutTokens = measureDrains(false);
    table("after a move|with tokens|without", new String[][] {
        {"moves seen", "" + withTokens.moves(), "" + withoutTokens.moves()},
        {"last line before to first line after, median", formatMillis(withTokens, 50), formatMillis(withoutTokens, 50)},
        {"the same, 99th percentile", formatMillis(withTokens, 99), formatMillis(withoutTokens, 99)},
        {"lines sent by clients", "" + withTokens.sentLines(), "" + withoutTokens.sentLines()},
        {"of them stated once more after a move", "" + withTokens.resentLines(), "" + withoutTokens.resentLines()},
        {"breaches of the promises", "" + withTokens.breaches(), "not promised"}});
    progress.println("open connections, resumable ...");
    ConnectionCost resumableCost = measureCost(true);
    progress.println("open connections, plain ...");
    ConnectionCost plainCost = measureCost(false);
    table("a connection at the proxy|resumable|plain", new String[][] {
        {"memory, KB (resident, whole process)", formatDecimal(resumableCost.kilobytes()),
            formatDecimal(plainCost.kilobytes())},
        {"CPU for a line each way, microseconds", formatDecimal(resumableCost.microsPerLine()),
            formatDecimal(plainCost.microsPerLine())}});
    progress.println("tokens ...");
    List<String[]> tokens = new ArrayList<>();
    for (RunResult result : new Runner(new OptionsBuilder().include(TokenBenchmark.class.getSimpleName())
        .verbosity(org.openjdk.jmh.runner.options.VerboseMode.SILENT).build()).run()) {
      tokens.add(new String[] {"tokens " + result.getPrimaryResult().getLabel(),
          formatInteger(result.getPrimaryResult().getScore())});
    }
    progress.println("claims ...");
    tokens.add(new String[] {"claims in memory", formatInteger(ClaimThroughput.memory(2000))});
    tokens.add(new String[] {"claims on disk, each on disk before it is told",
        formatInteger(ClaimThroughput.disk(2000))});
    tokens.add(new String[] {"claims in the stand-in fleet store", formatInteger(ClaimThroughput.fleet(2000))});
    table("of one process|a second", tokens.toArray(new String[0][]));
    return text.toString();
  }

  private DrainResult measureDrains(boolean resumable) throws IOException, InterruptedException {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, SERVERS, resumable ? "checkpoint: 1s" : null)) {
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
      List<ResumingClient> allClients = clients(cluster, 60, 100, resumable, deadlineNanos);
      List<Thread> threads = ResumeTestCluster.start(allClients);
      Thread.sleep(1500);
      for (int i = 1; i <= SERVERS; i++) {
        cluster.addServer("t-" + i);
        cluster.drain("s-" + i);
        cluster.server("s-" + i).awaitNoConnections();
        Thread.sleep(500);
      }
      ResumeTestCluster.await(threads);
      Map<String, Integer> eventCounts = new TreeMap<>();
      allClients.forEach(client -> client.eventCounts().forEach((event, count) ->
          eventCounts.merge(event, count, Integer::sum)));
      progress.println("  clients saw " + eventCounts);
      Histogram gaps = new Histogram(3);
      allClients.forEach(client -> client.gaps().forEach(gap -> gaps.recordValue(gap / MICROS)));
      return new DrainResult(gaps, gaps.getTotalCount(), allClients.stream().mapToLong(ResumingClient::resent).sum(),
          allClients.stream().mapToLong(ResumingClient::sent).sum()
          + allClients.stream().mapToLong(ResumingClient::resent).sum(),
          resumable ? ResumeChecker.breaches(cluster.sessionStore(), allClients).size() : 0);
    }
  }

  private List<ResumingClient> clients(ResumeTestCluster cluster, int lines, int paceMillis, boolean resumable,
      long deadlineNanos) {
    List<ResumingClient> allClients = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      allClients.add(new ResumingClient(String.format("%08x", i + 1),
          new ResumingClient.Settings(cluster::nextProxyAddress, ResumeTestCluster.RESUMABLE_CLASS, lines, paceMillis,
              resumable, deadlineNanos)));
    }
    return allClients;
  }

  /** Memory from the process size with and without the connections, CPU from a period of steady traffic. */
  private ConnectionCost measureCost(boolean resumable) throws IOException, InterruptedException {
    try (ResumeTestCluster cluster = new ResumeTestCluster(1, SERVERS, "checkpoint: 5s")) {
      long pid = cluster.proxies().get(0).pid();
      ProcessUsage empty = ProcessUsage.of(pid);
      int paceMillis = 25;
      int seconds = 10;
      List<ResumingClient> allClients = clients(cluster, seconds * 1000 / paceMillis, paceMillis, resumable,
          System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
      List<Thread> threads = ResumeTestCluster.start(allClients);
      Thread.sleep(4000);
      ProcessUsage before = ProcessUsage.of(pid);
      long linesBefore = sentLines(allClients);
      Thread.sleep(4000);
      ProcessUsage after = ProcessUsage.of(pid);
      long lines = sentLines(allClients) - linesBefore;
      ResumeTestCluster.await(threads);
      return new ConnectionCost((double) (after.residentKilobytes() - empty.residentKilobytes()) / clients,
          (after.cpuSeconds() - before.cpuSeconds()) * 1e6 / Math.max(1, lines));
    }
  }

  /** Read from another thread without synchronization: accurate to a line or two. */
  private static long sentLines(List<ResumingClient> allClients) {
    return allClients.stream().mapToLong(ResumingClient::sent).sum();
  }

  private void table(String header, String[][] rows) {
    String[] names = header.split("\\|");
    text.append("| ").append(String.join(" | ", names)).append(" |\n|").append(" --- |".repeat(names.length))
        .append('\n');
    for (String[] row : rows) {
      text.append("| ").append(String.join(" | ", row)).append(" |\n");
    }
    text.append('\n');
  }

  private static String formatMillis(DrainResult result, double percentile) {
    return formatDecimal(result.gaps().getValueAtPercentile(percentile) / 1000.0) + " ms";
  }

  private static String formatDecimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  private static String formatInteger(double value) {
    return String.format(Locale.ROOT, "%,.0f", value);
  }
}
