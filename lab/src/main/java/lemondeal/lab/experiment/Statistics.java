package lemondeal.lab.experiment;

import java.util.List;
import org.apache.commons.statistics.distribution.TDistribution;

/** Means and differences of paired runs, with their 95% confidence intervals (Student's t). */
final class Statistics {
  private static final double TAIL = 0.025;

  /**
   * A mean and its confidence interval.
   *
   * @param halfWidth half the width of the 95% confidence interval; not a number for a single value
   */
  record Mean(double mean, double halfWidth, int count) {
    /** Whether the interval excludes 0. */
    boolean isSignificant() {
      return count > 1 && Math.abs(mean) > halfWidth;
    }
  }

  private Statistics() {}

  static Mean mean(List<Double> values) {
    int count = values.size();
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    double mean = sum / count;
    if (count < 2) {
      return new Mean(mean, Double.NaN, count);
    }
    double squaredDeviations = 0;
    for (double value : values) {
      squaredDeviations += (value - mean) * (value - mean);
    }
    double standardError = Math.sqrt(squaredDeviations / (count - 1) / count);
    return new Mean(mean, standardError * TDistribution.of(count - 1).inverseSurvivalProbability(TAIL), count);
  }

  /** The mean of the differences of two lists, paired by index. */
  static Mean difference(List<Double> first, List<Double> second) {
    List<Double> differences = new java.util.ArrayList<>();
    for (int i = 0; i < first.size(); i++) {
      differences.add(first.get(i) - second.get(i));
    }
    return mean(differences);
  }
}
