package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/**
 * Reads durations of the operator's file, such as {@code 250ms}, {@code 30s}, {@code 5m} or {@code 1h}. Their form is
 * checked by the schema.
 */
final class Durations {
  private static final long SECOND_MILLIS = 1000;
  private static final long DAY_MILLIS = 24 * 3600 * SECOND_MILLIS;

  private Durations() {}

  /**
   * The value of the key in milliseconds, or {@code defaultMillis} if the object does not have the key.
   *
   * @param path of the object in the file, for messages
   * @param faults receives a message if the value is not allowed
   */
  static long millis(JsonNode node, String path, String key, long defaultMillis, Consumer<String> faults) {
    if (!node.has(key)) {
      return defaultMillis;
    }
    String text = node.get(key).asText();
    int unit = text.endsWith("ms") ? 2 : 1;
    long number = Long.parseLong(text.substring(0, text.length() - unit));
    long millis = number * switch (text.substring(text.length() - unit)) {
      case "ms" -> 1;
      case "s" -> SECOND_MILLIS;
      case "m" -> 60 * SECOND_MILLIS;
      default -> 3600 * SECOND_MILLIS;
    };
    if (millis > DAY_MILLIS) {
      faults.accept(path + "." + key + ": found " + text + "; allowed: 1ms to 24h");
    }
    return millis;
  }
}
