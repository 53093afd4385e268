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
import lemondeal.lab.stream.StreamChecker;
import lemondeal.lab.stream.StreamSite;
import org.HdrHistogram.Histogram;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Measures resumable moves beside plain ones, in one run, and writes tables in Markdown. */
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

  /** The day of drains: what clients saw. */
  private record Day(Histogram gaps, long moves, long restated, long sent, int breaches) {}

  /** Standing connections at one proxy: what they cost. */
  private record Cost(double kilobytes, double microsPerLine) {}

  String run() throws IOException, InterruptedException, RunnerException {
    progress.println("drains, with tokens ...");
    Day with = drains(true);
    progress.println("drains, without ...");
    Day without = drains(false);
    table("after a move|with tokens|without", new String[][] {
        {"moves seen", "" + with.moves(), "" + without.moves()},
        {"last line before to first line after, median", millis(with, 50), millis(without, 50)},
        {"the same, 99th percentile", millis(with, 99), millis(without, 99)},
        {"lines sent by clients", "" + with.sent(), "" + without.sent()},
        {"of them stated once more after a move", "" + with.restated(), "" + without.restated()},
        {"breaches of the promises", "" + with.breaches(), "not promised"}});
    progress.println("standing connections, resumable ...");
    Cost resumable = cost(true);
    progress.println("standing connections, plain ...");
    Cost plain = cost(false);
    table("a connection at the proxy|resumable|plain", new String[][] {
        {"memory, KB (resident, whole process)", number(resumable.kilobytes()), number(plain.kilobytes())},
        {"CPU for a line each way, microseconds", number(resumable.microsPerLine()), number(plain.microsPerLine())}});
    progress.println("tokens ...");
    List<String[]> tokens = new ArrayList<>();
    for (RunResult result : new Runner(new OptionsBuilder().include(TokenBenchmark.class.getSimpleName())
        .verbosity(org.openjdk.jmh.runner.options.VerboseMode.SILENT).build()).run()) {
      tokens.add(new String[] {"tokens " + result.getPrimaryResult().getLabel(),
          whole(result.getPrimaryResult().getScore())});
    }
    progress.println("claims ...");
    tokens.add(new String[] {"claims in memory", whole(ClaimRate.memory(2000))});
    tokens.add(new String[] {"claims on disk, each on disk before it is told", whole(ClaimRate.disk(2000))});
    tokens.add(new String[] {"claims in the stand-in fleet store", whole(ClaimRate.fleet(2000))});
    table("of one process|a second", tokens.toArray(new String[0][]));
    return text.toString();
  }

  private Day drains(boolean resumes) throws IOException, InterruptedException {
    try (StreamSite site = new StreamSite(2, SERVERS, resumes ? "checkpoint: 1s" : null)) {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
      List<ResumingClient> all = clients(site, 60, 100, resumes, until);
      List<Thread> threads = StreamSite.start(all);
      Thread.sleep(1500);
      for (int i = 1; i <= SERVERS; i++) {
        site.addServer("t-" + i);
        site.drain("s-" + i);
        site.server("s-" + i).awaitEmpty();
        Thread.sleep(500);
      }
      StreamSite.await(threads);
      Map<String, Integer> notes = new TreeMap<>();
      all.forEach(client -> client.notes().forEach((what, count) -> notes.merge(what, count, Integer::sum)));
      progress.println("  clients saw " + notes);
      Histogram gaps = new Histogram(3);
      all.forEach(client -> client.gaps().forEach(gap -> gaps.recordValue(gap / MICROS)));
      return new Day(gaps, gaps.getTotalCount(), all.stream().mapToLong(ResumingClient::restated).sum(),
          all.stream().mapToLong(ResumingClient::sent).sum() + all.stream().mapToLong(ResumingClient::restated).sum(),
          resumes ? StreamChecker.breaches(site.store(), all).size() : 0);
    }
  }

  private List<ResumingClient> clients(StreamSite site, int lines, int pace, boolean resumes, long until) {
    List<ResumingClient> all = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      all.add(new ResumingClient(String.format("%08x", i + 1),
          new ResumingClient.Plan(site::front, StreamSite.CLASS, lines, pace, resumes, until)));
    }
    return all;
  }

  /** Memory by what the process holds with and without the connections, CPU by what a steady stretch takes. */
  private Cost cost(boolean resumes) throws IOException, InterruptedException {
    try (StreamSite site = new StreamSite(1, SERVERS, "checkpoint: 5s")) {
      long pid = site.proxies().get(0).pid();
      ProcessFigures empty = ProcessFigures.of(pid);
      int pace = 25;
      int seconds = 10;
      List<ResumingClient> all = clients(site, seconds * 1000 / pace, pace, resumes,
          System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
      List<Thread> threads = StreamSite.start(all);
      Thread.sleep(4000);
      ProcessFigures begun = ProcessFigures.of(pid);
      long linesThen = lines(all);
      Thread.sleep(4000);
      ProcessFigures ended = ProcessFigures.of(pid);
      long lines = lines(all) - linesThen;
      StreamSite.await(threads);
      return new Cost((double) (ended.residentKilobytes() - empty.residentKilobytes()) / clients,
          (ended.cpuSeconds() - begun.cpuSeconds()) * 1e6 / Math.max(1, lines));
    }
  }

  /** Read from another thread: good to a line or two. */
  private static long lines(List<ResumingClient> all) {
    return all.stream().mapToLong(ResumingClient::sent).sum();
  }

  private void table(String head, String[][] rows) {
    String[] names = head.split("\\|");
    text.append("| ").append(String.join(" | ", names)).append(" |\n|").append(" --- |".repeat(names.length)).append('\n');
    for (String[] row : rows) {
      text.append("| ").append(String.join(" | ", row)).append(" |\n");
    }
    text.append('\n');
  }

  private static String millis(Day day, double percentile) {
    return number(day.gaps().getValueAtPercentile(percentile) / 1000.0) + " ms";
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  private static String whole(double value) {
    return String.format(Locale.ROOT, "%,.0f", value);
  }
}
