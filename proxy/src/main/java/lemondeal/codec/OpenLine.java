package lemondeal.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The first line of a connection: {@code OPEN id key name=value,...}. Its text is kept as the client sent it. */
public final class OpenLine {
  private static final String COMMAND_PREFIX = "OPEN ";

  /** A decimal number. Other forms that Java parses ("0x1p3", "5d", "NaN") are not valid in the protocol. */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

  private final String text;
  private final String id;
  private final String key;
  private final Map<String, String> values;
  private final int deadlineStart;
  private final int deadlineEnd;

  private OpenLine(String text, String id, String key, Map<String, String> values, int deadlineStart) {
    this.text = text;
    this.id = id;
    this.key = key;
    this.values = values;
    this.deadlineStart = deadlineStart;
    this.deadlineEnd = deadlineStart + values.get("d").length();
  }

  public static OpenLine parse(String line) throws ProtocolException {
    String[] fields = line.split(" ", -1);
    if (!line.startsWith(COMMAND_PREFIX) || fields.length != 4 || !ID.matcher(fields[1]).matches()
        || fields[2].isEmpty()) {
      throw new ProtocolException("malformed first line: " + abbreviate(line));
    }
    Map<String, String> values = new HashMap<>();
    int deadlineStart = -1;
    int offset = line.length() - fields[3].length();
    for (String pair : fields[3].split(",", -1)) {
      int equalsIndex = pair.indexOf('=');
      if (equalsIndex <= 0 || values.put(pair.substring(0, equalsIndex), pair.substring(equalsIndex + 1)) != null) {
        throw new ProtocolException("not a list of names and values: " + abbreviate(fields[3]));
      }
      if (pair.startsWith("d=")) {
        deadlineStart = offset + 2;
      }
      offset += pair.length() + 1;
    }
    if (deadlineStart < 0 || !values.containsKey("c")) {
      throw new ProtocolException("c or d is missing: " + abbreviate(line));
    }
    OpenLine open = new OpenLine(line, fields[1], fields[2], values, deadlineStart);
    if (open.deadlineMillis() < 0) {
      throw new ProtocolException("d is not a valid time: " + abbreviate(values.get("d")));
    }
    return open;
  }

  /** Shortens a text for an error message. */
  static String abbreviate(String text) {
    return text.length() <= 60 ? text : text.substring(0, 60) + "...";
  }

  public String id() {
    return id;
  }

  public String key() {
    return key;
  }

  /** The value under the name, or null. */
  public String value(String name) {
    return values.get(name);
  }

  public boolean isFlagSet(String name) {
    return "1".equals(values.get(name));
  }

  /** The value as a number, or NaN if it is absent or not a number. */
  public double number(String name) {
    String value = values.get(name);
    return value != null && NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
  }

  /** The deadline in milliseconds, or -1 where {@code d} is not a valid number; such a line is rejected. */
  public double deadlineMillis() {
    double millis = number("d");
    return millis >= 0 && millis < 1e9 ? millis : -1;
  }

  /** The line with a new {@code d}, without the removed names, with values appended, and with a line end. */
  public String rewrite(long millis, Set<String> removedNames, String addedValues) {
    StringBuilder line = new StringBuilder(COMMAND_PREFIX).append(id).append(' ').append(key).append(' ');
    for (String pair : text.substring(text.lastIndexOf(' ') + 1).split(",", -1)) {
      String name = pair.substring(0, pair.indexOf('='));
      if (!removedNames.contains(name)) {
        line.append(name.equals("d") ? "d=" + millis : pair).append(',');
      }
    }
    return line.append(addedValues).append("\r\n").toString();
  }

  /** The line with a new {@code d} and otherwise unchanged, with a line end. */
  public String withDeadline(long millis) {
    return text.substring(0, deadlineStart) + millis + text.substring(deadlineEnd) + "\r\n";
  }
}
