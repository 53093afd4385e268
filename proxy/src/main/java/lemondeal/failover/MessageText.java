package lemondeal.failover;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.List;

/** Formats numbers and lists for messages, independent of the locale. */
final class MessageText {
  private static final int MAX_LISTED = 8;

  private MessageText() {}

  /** "a, b and c"; a long list is shortened to "a, b, ... and 5 more". */
  static String join(List<String> names) {
    if (names.size() > MAX_LISTED) {
      return String.join(", ", names.subList(0, MAX_LISTED - 1)) + " and " + (names.size() - MAX_LISTED + 1) + " more";
    }
    int last = names.size() - 1;
    return last <= 0 ? String.join("", names)
        : String.join(", ", names.subList(0, last)) + " and " + names.get(last);
  }

  /** At most four decimals, without trailing zeros. */
  static String decimal(double value) {
    BigDecimal rounded = BigDecimal.valueOf(value).setScale(4, RoundingMode.HALF_UP).stripTrailingZeros();
    return rounded.signum() == 0 ? "0" : rounded.toPlainString();
  }
}
