package lemondeal.proxy;

import java.util.Map;
import lemondeal.log.EventLog;

/**
 * Counts the steps that would have broken a rule of the protocol. Code that is about to take a step first checks
 * {@link RequestRules} and does not take one that breaks a rule, so a count here is a fault of the component that
 * ordered it, found before it did harm. Each is logged in one line, up to a limit.
 */
final class ViolationCounter {
  private static final String METRIC_PREFIX = "violations.";
  /** Limit on logged lines: a fault that recurs with each request must not fill the log. */
  private static final int MAX_LOG_LINES = 100;

  private final EventLog log;
  private final long[] counts = new long[Violation.values().length];
  private int loggedLines;

  ViolationCounter(EventLog log) {
    this.log = log;
  }

  /** A step was about to break this rule, or had to break it. */
  void count(Violation violation, String request, String detail) {
    counts[violation.ordinal()]++;
    if (loggedLines < MAX_LOG_LINES) {
      loggedLines++;
      log.warn("rule-broken", "lemondeal: rule broken: " + violation.label + ", request " + request + ", " + detail,
          "rule", violation.label, "request", request);
    }
  }

  /** Adds every count under its label. */
  void addTo(Map<String, Long> metrics) {
    for (Violation violation : Violation.values()) {
      metrics.put(METRIC_PREFIX + violation.label, counts[violation.ordinal()]);
    }
  }
}
