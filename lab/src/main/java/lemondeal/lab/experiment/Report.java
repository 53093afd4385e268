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

/**
 * The report of an experiment's rows: tables, charts and a verdict, in a folder that can be read without this
 * program.
 */
final class Report {
  private final Experiment experiment;
  private final List<Row> rows;

  Report(Experiment experiment, List<Row> rows) {
    this.experiment = experiment;
    this.rows = rows;
  }

  /**
   * Whether every expectation held and the first policy kept every rule. Breaches of the baselines do not count,
   * because they may be what the experiment shows.
   */
  boolean isSuccessful() {
    String first = experiment.policies().get(0);
    return evaluateExpectations().stream().allMatch(Condition.Verdict::holds)
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

  private List<Condition.Verdict> evaluateExpectations() {
    Map<String, Map<String, Double>> means = new LinkedHashMap<>();
    String point = experiment.points().get(0).name();
    for (String policy : experiment.policies()) {
      Map<String, Double> byFigure = new LinkedHashMap<>();
      for (String figure : rows.get(0).figures().keySet()) {
        byFigure.put(figure, Statistics.mean(values(policy, point, figure)).mean());
      }
      means.put(policy, byFigure);
    }
    return experiment.expectations().stream()
        .map(expectation -> expectation.evaluate(means, experiment.policies().get(0))).toList();
  }

  /** The breaches by policy and rule: their number and the first of each. */
  private Map<String, String> breachSummaries() {
    Map<String, Integer> counts = new LinkedHashMap<>();
    Map<String, String> firstBreaches = new LinkedHashMap<>();
    for (Row row : rows) {
      row.breaches().forEach((rule, count) -> {
        counts.merge(row.policy() + " " + rule, count, Integer::sum);
        firstBreaches.putIfAbsent(row.policy() + " " + rule, "seed " + row.seed() + (row.point().isEmpty() ? "" : ", "
            + row.point()) + ": " + row.firstBreach());
      });
    }
    Map<String, String> summaries = new LinkedHashMap<>();
    counts.forEach((policyAndRule, count) -> summaries.put(policyAndRule,
        count + " times, first: " + firstBreaches.get(policyAndRule)));
    return summaries;
  }

  // ---- Text -------------------------------------------------------------------------------------

  /** The report as Markdown, with references to the charts' files. */
  String markdown() {
    StringBuilder text = new StringBuilder("# " + experiment.name() + "\n\n" + experiment.question() + "\n\n"
        + experiment.runCount() + " runs: " + experiment.policies().size() + " policies, " + experiment.points().size()
        + " point" + (experiment.points().size() == 1 ? "" : "s") + ", " + experiment.seeds().size()
        + " seeds. Means with their 95% intervals; differences are paired by seed against " + experiment.baseline()
        + ", and marked only if their interval excludes 0.\n");
    for (Experiment.Point point : experiment.points()) {
      text.append("\n## ").append(point.name().isEmpty() ? "Figures" : point.name()).append("\n\n")
          .append(table(point));
    }
    text.append("\n## Verdict\n\n");
    Map<String, String> breachSummaries = breachSummaries();
    if (breachSummaries.isEmpty()) {
      text.append("- every rule was kept in every run\n");
    }
    breachSummaries.forEach((policyAndRule, summary) -> text.append("- BROKEN by ").append(policyAndRule).append(": ")
        .append(summary).append('\n'));
    for (Condition.Verdict verdict : evaluateExpectations()) {
      text.append("- ").append(verdict.holds() ? "holds: " : "DOES NOT HOLD: ").append(verdict.condition()).append(" (")
          .append(verdict.comparedValues()).append(")\n");
    }
    text.append("\n## Charts\n\n![course](course.svg)\n");
    experiment.reportedFigures().forEach(figure -> text.append("\n![").append(figure).append("](").append(figure)
        .append(".svg)\n"));
    return text.toString();
  }

  private String table(Experiment.Point point) {
    StringBuilder table = new StringBuilder("| policy |");
    experiment.reportedFigures().forEach(figure -> table.append(' ').append(figure).append(" |"));
    table.append("\n| --- |").append(" --- |".repeat(experiment.reportedFigures().size())).append('\n');
    for (String policy : experiment.policies()) {
      table.append("| ").append(policy).append(" |");
      for (String figure : experiment.reportedFigures()) {
        List<Double> values = values(policy, point.name(), figure);
        table.append(' ').append(format(Statistics.mean(values)));
        if (!policy.equals(experiment.baseline())) {
          Statistics.Mean difference = Statistics.difference(values,
              values(experiment.baseline(), point.name(), figure));
          table.append(difference.isSignificant() ? difference.mean() > 0 ? " ▲" : " ▼" : "");
        }
        table.append(" |");
      }
      table.append('\n');
    }
    return table.append("\n▲ and ▼: significantly above or below ").append(experiment.baseline()).append(".\n")
        .toString();
  }

  private static String format(Statistics.Mean mean) {
    String format = Math.abs(mean.mean()) >= 100 ? "%.0f" : Math.abs(mean.mean()) >= 10 ? "%.1f" : "%.3f";
    return String.format(Locale.ROOT, format, mean.mean())
        + (Double.isNaN(mean.halfWidth()) ? "" : " ±" + String.format(Locale.ROOT, format, mean.halfWidth()));
  }

  // ---- Files ------------------------------------------------------------------------------------

  /** Writes all files but the rows, which are already in the folder. */
  void write(Path folder) throws IOException {
    new YAMLMapper().writeValue(folder.resolve("experiment.yaml").toFile(), experiment.source());
    Files.writeString(folder.resolve("machine.txt"), machineDescription());
    try (Writer writer = Files.newBufferedWriter(folder.resolve("rows.csv"));
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      List<Object> header = new ArrayList<>(List.of("policy", "point", "seed", "digest", "events", "breaches"));
      header.addAll(rows.get(0).figures().keySet());
      csv.printRecord(header);
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
    Files.writeString(folder.resolve("index.html"), new HtmlPage(experiment.name()).render(markdown, folder));
  }

  private static String machineDescription() {
    return "java " + System.getProperty("java.version") + "\nos " + System.getProperty("os.name") + " "
        + System.getProperty("os.arch") + "\nprocessors " + Runtime.getRuntime().availableProcessors() + "\n";
  }

  private void charts(Path folder) throws IOException {
    for (String figure : experiment.reportedFigures()) {
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
    Map<String, List<double[]>> servedByPolicy = new LinkedHashMap<>();
    for (String policy : experiment.policies()) {
      servedByPolicy.put(policy, meanServedOverTime(policy, experiment.points().get(0).name()));
    }
    Charts.servedOverTime(folder.resolve("course.svg"), experiment.points().get(0).name(), servedByPolicy);
  }

  /** The mean over all seeds of the share served over time. */
  private List<double[]> meanServedOverTime(String policy, String point) {
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
    for (double[] sample : sum) {
      sample[1] /= count;
    }
    return sum;
  }
}
