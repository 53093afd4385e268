package lemondeal.lab.experiment;

import java.util.Locale;
import java.util.Map;

/**
 * An expectation of an experiment's author, such as {@code served of lemondeal >= 0.8}, checked against the means over
 * the seeds.
 */
record Condition(String text, Side left, String comparison, Side right) {

  /**
   * One side of the comparison: a number, or a figure of a policy times a number.
   *
   * @param figure null for a number
   * @param policy null for the experiment's first policy
   */
  record Side(String figure, String policy, double number) {}

  /** The result of a condition. */
  record Verdict(String condition, boolean holds, String comparedValues) {}

  /**
   * @param means the means by policy, then by figure
   * @param firstPolicy the policy of sides that name none
   */
  Verdict evaluate(Map<String, Map<String, Double>> means, String firstPolicy) {
    double leftValue = value(left, means, firstPolicy);
    double rightValue = value(right, means, firstPolicy);
    boolean holds = switch (comparison) {
      case "<" -> leftValue < rightValue;
      case "<=" -> leftValue <= rightValue;
      case ">" -> leftValue > rightValue;
      case ">=" -> leftValue >= rightValue;
      default -> leftValue == rightValue;
    };
    return new Verdict(text, holds, String.format(Locale.ROOT, "%.4g against %.4g", leftValue, rightValue));
  }

  private static double value(Side side, Map<String, Map<String, Double>> means, String firstPolicy) {
    return side.figure() == null ? side.number()
        : side.number() * means.get(side.policy() == null ? firstPolicy : side.policy()).get(side.figure());
  }
}
