package lemondeal.codec;

import java.util.HashMap;
import java.util.Map;

/** A line that a server sent: its first word and what follows. */
public record ServerLine(Kind kind, String word, String rest) {

  /** The words with a meaning; anything else is {@link #OTHER}. */
  public enum Kind { UP, BYE, MOVE, ERR, BUSY, LOAD, PONG, NO, SYNTAX, OTHER }

  private static final Map<String, Kind> WORDS = new HashMap<>();

  static {
    for (Kind kind : Kind.values()) {
      if (kind != Kind.OTHER) {
        WORDS.put(kind.name(), kind);
      }
    }
  }

  public static ServerLine parse(String line) {
    int space = line.indexOf(' ');
    String word = space < 0 ? line : line.substring(0, space);
    return new ServerLine(WORDS.getOrDefault(word, Kind.OTHER), word, space < 0 ? "" : line.substring(space + 1));
  }

  /** Whether it is an {@code ACK}, which has a meaning on connections that can resume and none on others. */
  public boolean isAcknowledgement() {
    return kind == Kind.OTHER && word.equals("ACK");
  }

  /** The rest as one number, or NaN. */
  public double number() {
    return number(rest);
  }

  /** The rest as a load report's names and figures; what is no figure is passed over. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new HashMap<>();
    for (String pair : rest.split(",")) {
      int equals = pair.indexOf('=');
      double figure = equals > 0 ? number(pair.substring(equals + 1)) : Double.NaN;
      if (!Double.isNaN(figure)) {
        figures.put(pair.substring(0, equals).trim(), figure);
      }
    }
    return figures;
  }

  private static double number(String text) {
    try {
      return Double.parseDouble(text.trim());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
