package lemondeal.lab.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Totals over all proxies of a fleet from their trace logs: events by second and by server, and how long requests
 * waited for their first attempt and for their answer. Shows effects that no single proxy's log reveals.
 */
final class FleetTraceCounts {
  /** Events that answer a request; the first one ends its wait. */
  private static final List<String> ANSWER_EVENTS = List.of("up", "refuse", "fail", "gone");

  private final List<TraceLine> lines = new ArrayList<>();
  private final TreeSet<String> proxies = new TreeSet<>();
  private final TreeMap<String, TreeMap<String, Integer>> bySecond = new TreeMap<>();
  private final TreeMap<String, TreeMap<String, Integer>> byServer = new TreeMap<>();
  /** Keys of the clients, the same for every try and at every proxy. Prices are relative to first tries. */
  private final TreeSet<String> clients = new TreeSet<>();
  private final List<Long> firstAttemptWaits = new ArrayList<>();
  private final List<Long> answerWaits = new ArrayList<>();

  /** Reads the trace lines of every {@code .log} file in the folder and skips other lines. */
  static FleetTraceCounts read(Path folder) throws IOException {
    FleetTraceCounts count = new FleetTraceCounts();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".log")).sorted().toList()) {
        // The log of a killed proxy may end in the middle of a line or of a character.
        for (String line : new String(Files.readAllBytes(file), StandardCharsets.UTF_8).split("\n")) {
          count.add(TraceLine.parse(line));
        }
      }
    }
    count.aggregate();
    return count;
  }

  void add(TraceLine line) {
    if (line != null) {
      lines.add(line);
    }
  }

  /** Counts the added lines in the order of the wall clock. */
  void aggregate() {
    lines.sort((a, b) -> Long.compare(a.millis(), b.millis()));
    Map<String, long[]> pending = new TreeMap<>();
    for (TraceLine line : lines) {
      proxies.add(line.proxy());
      long second = (line.millis() - lines.get(0).millis()) / 1000;
      increment(bySecond, String.format("%4d s", second), line.counterName());
      if (line.server() != null) {
        increment(byServer, line.server(), line.counterName());
      }
      if (line.fields().containsKey("key")) {
        clients.add(line.fields().get("key"));
      }
      recordWait(pending, line);
    }
  }

  private static void increment(Map<String, TreeMap<String, Integer>> table, String row, String kind) {
    table.computeIfAbsent(row, r -> new TreeMap<>()).merge(kind, 1, Integer::sum);
  }

  /**
   * Records how long a request waited. Ids are unique only within one proxy process: a restart begins them again, so it
   * discards what is pending.
   */
  private void recordWait(Map<String, long[]> pending, TraceLine line) {
    if (line.eventName().equals("start")) {
      pending.keySet().removeIf(id -> id.startsWith(line.proxy() + " "));
      return;
    }
    String id = line.proxy() + " " + line.fields().get("id");
    long[] arrival = pending.get(id);
    if (line.eventName().equals("arrived")) {
      pending.put(id, new long[] {line.millis(), 0});
    } else if (arrival != null && line.eventName().equals("send") && arrival[1]++ == 0) {
      firstAttemptWaits.add(line.millis() - arrival[0]);
    } else if (arrival != null && ANSWER_EVENTS.contains(line.eventName())) {
      answerWaits.add(line.millis() - arrival[0]);
      pending.remove(id);
    }
  }

  /** Returns the total of a counter. */
  int total(String kind) {
    return bySecond.values().stream().mapToInt(row -> row.getOrDefault(kind, 0)).sum();
  }

  /** Returns the cost of a counter as a fraction of the result: count times price, divided by the first tries. */
  String costLine(String kind, double price) {
    int firstTries = Math.max(1, clients.size());
    return String.format(Locale.ROOT, "%s: %d at %s for %d first tries, %.4f of the result%n", kind, total(kind), price,
        firstTries, total(kind) * price / firstTries);
  }

  /** Returns a counter's total at one server. */
  int totalAtServer(String server, String kind) {
    return byServer.getOrDefault(server, new TreeMap<>()).getOrDefault(kind, 0);
  }

  List<Long> firstAttemptWaits() {
    return firstAttemptWaits;
  }

  boolean isEmpty() {
    return lines.isEmpty();
  }

  /** Returns the two tables and the wait times as Markdown. */
  String report() {
    return proxies.size() + " proxies, " + lines.size() + " lines\n\n"
        + table("second", bySecond) + "\n" + table("server", byServer) + "\n"
        + waitLine("first attempt", firstAttemptWaits) + waitLine("answer", answerWaits);
  }

  private static String table(String firstColumn, TreeMap<String, TreeMap<String, Integer>> rows) {
    TreeMap<String, Integer> sums = new TreeMap<>();
    rows.values().forEach(row -> row.forEach((kind, n) -> sums.merge(kind, n, Integer::sum)));
    StringBuilder text = new StringBuilder("| " + firstColumn + " | " + String.join(" | ", sums.keySet()) + " |\n|");
    text.append(" --- |".repeat(sums.size() + 1)).append('\n');
    rows.forEach((name, row) -> text.append(row(name, row, sums)));
    return text.append(row("all", sums, sums)).toString();
  }

  private static String row(String name, TreeMap<String, Integer> row, TreeMap<String, Integer> columns) {
    StringBuilder text = new StringBuilder("| " + name + " |");
    columns.keySet().forEach(kind -> text.append(' ').append(row.containsKey(kind) ? row.get(kind) : "").append(" |"));
    return text.append('\n').toString();
  }

  private static String waitLine(String milestone, List<Long> waits) {
    List<Long> sorted = waits.stream().sorted().toList();
    String line = "until the %s, ms: median %d, 99th percentile %d, most %d (%d requests)%n";
    return sorted.isEmpty() ? "" : String.format(line, milestone, sorted.get(sorted.size() / 2),
        sorted.get(sorted.size() * 99 / 100), sorted.get(sorted.size() - 1), sorted.size());
  }
}
