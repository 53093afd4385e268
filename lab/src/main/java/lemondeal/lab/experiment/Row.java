package lemondeal.lab.experiment;

import java.util.List;
import java.util.Map;

/**
 * What one run brought.
 *
 * @param point the sweep's point by name, "" where nothing is swept
 * @param figures all figures by name
 * @param course seconds and the share of the worth served around them
 * @param breaches how many of each rule
 * @param firstBreach the first of them, "" where there is none
 * @param digest of all events, in hexadecimal: alike for two runs in which the same happened
 */
record Row(String policy, String point, long seed, Map<String, Double> figures, List<double[]> course,
    Map<String, Integer> breaches, String firstBreach, String digest, long events) {

  /** Which run it was; a key of the results. */
  String key() {
    return key(policy, point, seed);
  }

  static String key(String policy, String point, long seed) {
    return policy + "|" + point + "|" + seed;
  }
}
