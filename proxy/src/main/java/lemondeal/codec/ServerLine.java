package lemondeal.codec;

import java.util.HashMap;
import java.util.Map;

/** A line that a server sent: its first word and what follows. */
public record ServerLine(Kind kind, String command, String arguments) {

  /** The words with a meaning; anything else is {@link #OTHER}. */
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
    return new ServerLine(KINDS_BY_COMMAND.getOrDefault(command, Kind.OTHER), command, space < 0 ? "" : line.substring(space + 1));
  }

  /** Whether it is an {@code ACK}, which has a meaning on connections that can resume and none on others. */
  public boolean isAcknowledgement() {
    return kind == Kind.OTHER && command.equals("ACK");
  }

  /** The rest as one number, or NaN. */
  public double number() {
    return number(arguments);
  }

  /** The rest as a load report's names and figures; what is no figure is passed over. */
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
