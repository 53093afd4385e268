package lemondeal.codec;

import java.util.HashMap;
import java.util.Map;

/** A line from a server: its command and the arguments behind it. */
public record ServerLine(Kind kind, String command, String arguments) {

  /** The known commands; anything else is {@link #OTHER}. */
  public enum Kind { UP, BYE, MOVE, ERR, BUSY, LOAD, PONG, NO, SYNTAX, OTHER }

  private static final Map<String, Kind> KINDS_BY_COMMAND = new HashMap<>();

  static {
    for (Kind kind : Kind.values()) {
      if (kind != Kind.OTHER) {
        KINDS_BY_COMMAND.put(kind.name(), kind);
      }
    }
  }

  public static ServerLine parse(String line) {
    int space = line.indexOf(' ');
    String command = space < 0 ? line : line.substring(0, space);
    return new ServerLine(KINDS_BY_COMMAND.getOrDefault(command, Kind.OTHER), command,
        space < 0 ? "" : line.substring(space + 1));
  }

  /** Whether the line is an {@code ACK}, which has a meaning only on resumable connections. */
  public boolean isAcknowledgement() {
    return kind == Kind.OTHER && command.equals("ACK");
  }

  /** The arguments as one number, or NaN. */
  public double number() {
    return number(arguments);
  }

  /** The arguments as the names and values of a load report; values that are not numbers are ignored. */
  public Map<String, Double> loadValues() {
    Map<String, Double> values = new HashMap<>();
    for (String pair : arguments.split(",")) {
      int equalsIndex = pair.indexOf('=');
      double value = equalsIndex > 0 ? number(pair.substring(equalsIndex + 1)) : Double.NaN;
      if (!Double.isNaN(value)) {
        values.put(pair.substring(0, equalsIndex).trim(), value);
      }
    }
    return values;
  }

  private static double number(String text) {
    try {
      return Double.parseDouble(text.trim());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
