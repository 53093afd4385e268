package lemondeal.lab.soak;

/**
 * One violation of a rule.
 *
 * @param atMillis when it was detected, in milliseconds since the start of the soak
 */
public record Violation(Rule rule, long atMillis, String detail) {
  @Override
  public String toString() {
    return "%s at %d ms: %s".formatted(rule, atMillis, detail);
  }
}
