package lemondeal.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** A connection's first line: {@code OPEN id key name=value,...}. The text is kept as the client sent it. */
public final class OpenLine {
  private static final String WORD = "OPEN ";

  /** A plain number: what else Java reads as one ("0x1p3", "5d", "NaN") is none on the wire. */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
  private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

  private final String text;
  private final String id;
  private final String key;
  private final Map<String, String> values;
  private final int deadlineFrom;
  private final int deadlineTo;

  private OpenLine(String text, String id, String key, Map<String, String> values, int deadlineFrom) {
    this.text = text;
    this.id = id;
    this.key = key;
    this.values = values;
    this.deadlineFrom = deadlineFrom;
    this.deadlineTo = deadlineFrom + values.get("d").length();
  }

  public static OpenLine parse(String line) throws ProtocolException {
    String[] words = line.split(" ", -1);
    if (!line.startsWith(WORD) || words.length != 4 || !ID.matcher(words[1]).matches() || words[2].isEmpty()) {
      throw new ProtocolException("not a first line: " + shown(line));
    }
    Map<String, String> values = new HashMap<>();
    int deadlineFrom = -1;
    int at = line.length() - words[3].length();
    for (String pair : words[3].split(",", -1)) {
      int equals = pair.indexOf('=');
      if (equals <= 0 || values.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
        throw new ProtocolException("not a list of names and values: " + shown(words[3]));
      }
      if (pair.startsWith("d=")) {
        deadlineFrom = at + 2;
      }
      at += pair.length() + 1;
    }
    if (deadlineFrom < 0 || !values.containsKey("c")) {
      throw new ProtocolException("c or d is missing: " + shown(line));
    }
    OpenLine open = new OpenLine(line, words[1], words[2], values, deadlineFrom);
    if (open.deadlineMillis() < 0) {
      throw new ProtocolException("d is no time: " + shown(values.get("d")));
    }
    return open;
  }

  /** Enough of what came to recognise it in a log. */
  static String shown(String text) {
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

  public boolean marked(String name) {
    return "1".equals(values.get(name));
  }

  /** A value that is a number, or NaN. */
  public double number(String name) {
    String value = values.get(name);
    return value != null && NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
  }

  /** -1 where {@code d} is no number: such a line is not accepted. */
  public double deadlineMillis() {
    double millis = number("d");
    return millis >= 0 && millis < 1e9 ? millis : -1;
  }

  /** The line with another {@code d}, without the values of these names, with more values behind them, and its end. */
  public String with(long millis, Set<String> dropped, String more) {
    StringBuilder line = new StringBuilder(WORD).append(id).append(' ').append(key).append(' ');
    for (String pair : text.substring(text.lastIndexOf(' ') + 1).split(",", -1)) {
      String name = pair.substring(0, pair.indexOf('='));
      if (!dropped.contains(name)) {
        line.append(name.equals("d") ? "d=" + millis : pair).append(',');
      }
    }
    return line.append(more).append("\r\n").toString();
  }

  /** The line with another {@code d} and nothing else changed, with its end. */
  public String withDeadline(long millis) {
    return text.substring(0, deadlineFrom) + millis + text.substring(deadlineTo) + "\r\n";
  }
}
