package lemondeal.lab.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line that {@code lemondeal.trace.Traced} wrote, wherever it stands in a line of a log.
 *
 * @param millis the wall clock, in milliseconds since 1970
 * @param word what happened: {@code arrived}, {@code send}, {@code ended} and so on
 * @param values the names and values behind it, in their order
 */
record TraceLine(String proxy, long millis, String eventName, Map<String, String> fields) {
  private static final Pattern PATTERN = Pattern.compile("\\btrace (\\S+) (\\d{1,18}) ([a-z]+)([^\"]*)");

  /** The line, or null where it is another one. */
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

  /** What this line is counted as: the word, and how it ended where that matters. */
  String counterName() {
    String outcome = fields.get("outcome");
    boolean hasOutcome = outcome != null && !(eventName.equals("probed") && outcome.equals("SERVED"));
    return hasOutcome ? eventName + " " + outcome.toLowerCase(java.util.Locale.ROOT) : eventName;
  }

  /** The server it is about, or null. */
  String server() {
    return fields.get("server");
  }
}
