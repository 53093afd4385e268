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
    Map<String, Double> values = line.loadValues();
    return new LoadReport(value(values, "x0", "x0"), value(values, "x1", "x1"),
        value(values, "inflight", "busy_reqs"), value(values, "queue", "pending"),
        value(values, "util", "cpu_share"));
  }

  private static double value(Map<String, Double> values, String wireName, String settingsName) {
    Double value = values.get(wireName);
    return value != null ? value : values.getOrDefault(settingsName, Double.NaN);
  }
}
