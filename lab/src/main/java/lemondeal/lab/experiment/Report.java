package lemondeal.lab.experiment;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** What an experiment's rows say: tables, charts and a verdict, as a folder that can be read without this program. */
final class Report {
  private final Experiment experiment;
  private final List<Row> rows;

  Report(Experiment experiment, List<Row> rows) {
    this.experiment = experiment;
    this.rows = rows;
  }

  /** Whether every expectation held and the first policy kept every rule: that baselines break some may be the finding. */
  boolean isSound() {
    String first = experiment.policies().get(0);
    return verdicts().stream().allMatch(Condition.Verdict::holds)
        && rows.stream().allMatch(row -> !row.policy().equals(first) || row.breaches().isEmpty());
  }

  private List<Double> values(String policy, String point, String figure) {
    List<Double> values = new ArrayList<>();
    for (Row row : rows) {
      if (row.policy().equals(policy) && row.point().equals(point)) {
        values.add(row.figures().get(figure));
      }
    }
    return values;
  }

  private List<Condition.Verdict> verdicts() {
    Map<String, Map<String, Double>> means = new LinkedHashMap<>();
    String point = experiment.points().get(0).name();
    for (String policy : experiment.policies()) {
      Map<String, Double> byFigure = new LinkedHashMap<>();
      for (String figure : rows.get(0).figures().keySet()) {
        byFigure.put(figure, Statistics.mean(values(policy, point, figure)).mean());
      }
      means.put(policy, byFigure);
    }
    return experiment.expect().stream().map(one -> one.judge(means, experiment.policies().get(0))).toList();
  }

  /** Breaches by policy and rule, with the first of each. */
  private Map<String, String> breaches() {
    Map<String, Integer> counts = new LinkedHashMap<>();
    Map<String, String> first = new LinkedHashMap<>();
    for (Row row : rows) {
      row.breaches().forEach((rule, count) -> {
        counts.merge(row.policy() + " " + rule, count, Integer::sum);
        first.putIfAbsent(row.policy() + " " + rule, "seed " + row.seed() + (row.point().isEmpty() ? "" : ", "
            + row.point()) + ": " + row.firstBreach());
      });
    }
    Map<String, String> told = new LinkedHashMap<>();
    counts.forEach((what, count) -> told.put(what, count + " times, first: " + first.get(what)));
    return told;
  }

  // ---- Text -------------------------------------------------------------------------------------

  /** The report as Markdown; charts are named beside it. */
  String markdown() {
    StringBuilder text = new StringBuilder("# " + experiment.name() + "\n\n" + experiment.question() + "\n\n"
        + experiment.runs() + " runs: " + experiment.policies().size() + " policies, " + experiment.points().size()
        + " point" + (experiment.points().size() == 1 ? "" : "s") + ", " + experiment.seeds().size()
        + " seeds. Means with their 95% intervals; differences are paired by seed against " + experiment.baseline()
        + ", and called one only where their interval leaves 0 out.\n");
    for (Experiment.Point point : experiment.points()) {
      text.append("\n## ").append(point.name().isEmpty() ? "Figures" : point.name()).append("\n\n").append(table(point));
    }
    text.append("\n## Verdict\n\n");
    Map<String, String> breaches = breaches();
    if (breaches.isEmpty()) {
      text.append("- every rule was kept in every run\n");
    }
    breaches.forEach((what, told) -> text.append("- BROKEN by ").append(what).append(": ").append(told).append('\n'));
    for (Condition.Verdict verdict : verdicts()) {
      text.append("- ").append(verdict.holds() ? "holds: " : "DOES NOT HOLD: ").append(verdict.condition()).append(" (")
          .append(verdict.why()).append(")\n");
    }
    text.append("\n## Charts\n\n![course](course.svg)\n");
    experiment.measure().forEach(figure -> text.append("\n![").append(figure).append("](").append(figure).append(".svg)\n"));
    return text.toString();
  }

  private String table(Experiment.Point point) {
    StringBuilder table = new StringBuilder("| policy |");
    experiment.measure().forEach(figure -> table.append(' ').append(figure).append(" |"));
    table.append("\n| --- |").append(" --- |".repeat(experiment.measure().size())).append('\n');
    for (String policy : experiment.policies()) {
      table.append("| ").append(policy).append(" |");
      for (String figure : experiment.measure()) {
        List<Double> values = values(policy, point.name(), figure);
        table.append(' ').append(shown(Statistics.mean(values)));
        if (!policy.equals(experiment.baseline())) {
          Statistics.Mean difference = Statistics.difference(values, values(experiment.baseline(), point.name(), figure));
          table.append(difference.isClear() ? difference.mean() > 0 ? " ▲" : " ▼" : "");
        }
        table.append(" |");
      }
      table.append('\n');
    }
    return table.append("\n▲ and ▼: clearly above or below ").append(experiment.baseline()).append(".\n").toString();
  }

  private static String shown(Statistics.Mean mean) {
    String format = Math.abs(mean.mean()) >= 100 ? "%.0f" : Math.abs(mean.mean()) >= 10 ? "%.1f" : "%.3f";
    return String.format(Locale.ROOT, format, mean.mean())
        + (Double.isNaN(mean.half()) ? "" : " ±" + String.format(Locale.ROOT, format, mean.half()));
  }

  // ---- The folder -------------------------------------------------------------------------------

  /** Writes everything but the rows, which are there. */
  void write(Path folder) throws IOException {
    new YAMLMapper().writeValue(folder.resolve("experiment.yaml").toFile(), experiment.file());
    Files.writeString(folder.resolve("machine.txt"), machine());
    try (Writer out = Files.newBufferedWriter(folder.resolve("rows.csv"));
        CSVPrinter csv = new CSVPrinter(out, CSVFormat.DEFAULT)) {
      List<Object> head = new ArrayList<>(List.of("policy", "point", "seed", "digest", "events", "breaches"));
      head.addAll(rows.get(0).figures().keySet());
      csv.printRecord(head);
      for (Row row : rows) {
        List<Object> cells = new ArrayList<>(List.of(row.policy(), row.point(), row.seed(), row.digest(), row.events(),
            row.breaches().values().stream().mapToInt(Integer::intValue).sum()));
        cells.addAll(row.figures().values());
        csv.printRecord(cells);
      }
    }
    charts(folder);
    String markdown = markdown();
    Files.writeString(folder.resolve("report.md"), markdown);
    Files.writeString(folder.resolve("index.html"), new Page(experiment.name()).of(markdown, folder));
  }

  private static String machine() {
    return "java " + System.getProperty("java.version") + "\nos " + System.getProperty("os.name") + " "
        + System.getProperty("os.arch") + "\nprocessors " + Runtime.getRuntime().availableProcessors() + "\n";
  }

  private void charts(Path folder) throws IOException {
    for (String figure : experiment.measure()) {
      Map<String, Map<String, Statistics.Mean>> means = new LinkedHashMap<>();
      for (String policy : experiment.policies()) {
        Map<String, Statistics.Mean> byPoint = new LinkedHashMap<>();
        for (Experiment.Point point : experiment.points()) {
          byPoint.put(point.name(), Statistics.mean(values(policy, point.name(), figure)));
        }
        means.put(policy, byPoint);
      }
      Charts.figure(folder.resolve(figure + ".svg"), figure, means);
    }
    Map<String, List<double[]>> courses = new LinkedHashMap<>();
    for (String policy : experiment.policies()) {
      courses.put(policy, course(policy, experiment.points().get(0).name()));
    }
    Charts.course(folder.resolve("course.svg"), experiment.points().get(0).name(), courses);
  }

  /** The mean course of all seeds. */
  private List<double[]> course(String policy, String point) {
    List<double[]> sum = new ArrayList<>();
    int count = 0;
    for (Row row : rows) {
      if (row.policy().equals(policy) && row.point().equals(point)) {
        count++;
        for (int i = 0; i < row.course().size(); i++) {
          if (sum.size() == i) {
            sum.add(new double[] {row.course().get(i)[0], 0});
          }
          sum.get(i)[1] += row.course().get(i)[1];
        }
      }
    }
    for (double[] at : sum) {
      at[1] /= count;
    }
    return sum;
  }
}
