package lemondeal.lab.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A trace line written by {@code lemondeal.trace.TracingBalancer}, extracted from a log line.
 *
 * @param millis the wall clock, in milliseconds since 1970
 * @param eventName the event or action: {@code arrived}, {@code send}, {@code ended} and so on
 * @param fields the values by name, in their order
 */
record TraceLine(String proxy, long millis, String eventName, Map<String, String> fields) {
  private static final Pattern PATTERN = Pattern.compile("\\btrace (\\S+) (\\d{1,18}) ([a-z]+)([^\"]*)");

  /** Parses a log line; returns null if it contains no trace line. */
  static TraceLine parse(String line) {
    Matcher matcher = PATTERN.matcher(line);
    if (!matcher.find()) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String field : matcher.group(4).trim().split(" ")) {
      int equals = field.indexOf('=');
      if (equals > 0) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return new TraceLine(matcher.group(1), Long.parseLong(matcher.group(2)), matcher.group(3), fields);
  }

  /** Returns the counter for this line: the event name, with the outcome except for served probes. */
  String counterName() {
    String outcome = fields.get("outcome");
    boolean hasOutcome = outcome != null && !(eventName.equals("probed") && outcome.equals("SERVED"));
    return hasOutcome ? eventName + " " + outcome.toLowerCase(java.util.Locale.ROOT) : eventName;
  }

  /** Returns the server, or null if the line names none. */
  String server() {
    return fields.get("server");
  }
}
