package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/** Times of the operator's file, such as {@code 250ms}, {@code 30s}, {@code 5m} or {@code 1h}: their form the schema checks. */
final class Times {
  private static final long SECOND = 1000;
  private static final long DAY = 24 * 3600 * SECOND;

  private Times() {}

  /**
   * Milliseconds of the key in this object, or {@code otherwise} where it is not there.
   *
   * @param path of the object in the file, for a fault
   * @param fault is told what is wrong, where anything is
   */
  static long millis(JsonNode node, String path, String key, long otherwise, Consumer<String> fault) {
    if (!node.has(key)) {
      return otherwise;
    }
    String text = node.get(key).asText();
    int unit = text.endsWith("ms") ? 2 : 1;
    long number = Long.parseLong(text.substring(0, text.length() - unit));
    long millis = number * switch (text.substring(text.length() - unit)) {
      case "ms" -> 1;
      case "s" -> SECOND;
      case "m" -> 60 * SECOND;
      default -> 3600 * SECOND;
    };
    if (millis > DAY) {
      fault.accept(path + "." + key + ": found " + text + "; allowed: 1ms to 24h");
    }
    return millis;
  }
}
