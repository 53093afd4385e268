package lemondeal.proxy;

import lemondeal.Balancer.LoadReport;
import java.util.Map;
import lemondeal.codec.ServerLine;

/** Parses load reports, whose figures are named as servers or as the settings write them, into the module's figures. */
final class LoadReportParser {
  private LoadReportParser() {}

  /** The report after a line's first word, or null if there is none. */
  static LoadReport parse(ServerLine line) {
    if (line.arguments().isEmpty()) {
      return null;
    }
    Map<String, Double> figures = line.loadValues();
    return new LoadReport(figure(figures, "x0", "x0"), figure(figures, "x1", "x1"),
        figure(figures, "inflight", "busy_reqs"), figure(figures, "queue", "pending"),
        figure(figures, "util", "cpu_share"));
  }

  private static double figure(Map<String, Double> figures, String wireName, String settingsName) {
    Double figure = figures.get(wireName);
    return figure != null ? figure : figures.getOrDefault(settingsName, Double.NaN);
  }
}
