package lemondeal.proxy;

import java.util.Map;
import java.util.function.LongSupplier;
import lemondeal.log.EventLog;

/**
 * What happens to each request, by the id that its client gave it: ends are always counted by reason, and each step is
 * logged if that is enabled. A line is {@code request PROXY MILLIS ID WORD name=value ...}, with the wall clock, like
 * the lines of the module's own trace.
 */
final class RequestTrace {
  private static final String METRIC_PREFIX = "ended.";
  private static final String NO_REQUEST = "-";

  private final EventLog log;
  private final String prefix;
  private final LongSupplier wallClockMillis;
  private final long[] endCounts = new long[EndReason.values().length];
  private boolean enabled;

  RequestTrace(EventLog log, String proxy, LongSupplier wallClockMillis) {
    this.log = log;
    prefix = "request " + proxy + " ";
    this.wallClockMillis = wallClockMillis;
  }

  /** From now on each step is logged. */
  void enable() {
    enabled = true;
  }

  /** A client's connection ends, or gets its final line; {@code id} is null before its first line was read. */
  void ended(String id, EndReason reason) {
    endCounts[reason.ordinal()]++;
    if (enabled) {
      writeLine(id == null ? NO_REQUEST : id, "end reason=" + reason.label);
    }
  }

  void taken(String id, String requestClass, double deadlineMillis) {
    if (enabled) {
      writeLine(id, "taken class=" + requestClass + " d=" + deadlineMillis);
    }
  }

  void attempt(String id, int attempt, String server) {
    if (enabled) {
      writeLine(id, "attempt n=" + attempt + " server=" + server);
    }
  }

  /** The first line of an attempt goes out. */
  void sent(String id, int attempt) {
    if (enabled) {
      writeLine(id, "sent n=" + attempt);
    }
  }

  void attemptEnded(String id, int attempt, Object outcome) {
    if (enabled) {
      writeLine(id, "attempt-end n=" + attempt + " outcome=" + outcome);
    }
  }

  void up(String id, int attempt) {
    if (enabled) {
      writeLine(id, "up n=" + attempt);
    }
  }

  private void writeLine(String id, String text) {
    log.info("request", prefix + wallClockMillis.getAsLong() + " " + id + " " + text);
  }

  /** Adds the counts of ends under their labels. */
  void addTo(Map<String, Long> metrics) {
    for (EndReason reason : EndReason.values()) {
      metrics.put(METRIC_PREFIX + reason.label, endCounts[reason.ordinal()]);
    }
  }
}
