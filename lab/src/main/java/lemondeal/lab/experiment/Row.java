package lemondeal.lab.experiment;

import java.util.List;
import java.util.Map;

/**
 * The results of one run, as saved in the rows file.
 *
 * @param point name of the sweep's point, "" without a sweep
 * @param figures all figures by name
 * @param course samples over time: seconds, and the share of the requested worth that was served then
 * @param breaches number of breaches of each rule
 * @param firstBreach description of the first breach, "" if there is none
 * @param digest digest of all events, in hexadecimal: equal for two runs with the same events
 * @param events number of events
 */
record Row(String policy, String point, long seed, Map<String, Double> figures, List<double[]> course,
    Map<String, Integer> breaches, String firstBreach, String digest, long events) {

  /** Identifies the run among an experiment's results. */
  String key() {
    return key(policy, point, seed);
  }

  static String key(String policy, String point, long seed) {
    return policy + "|" + point + "|" + seed;
  }
}
