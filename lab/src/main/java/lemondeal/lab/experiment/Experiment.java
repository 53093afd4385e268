package lemondeal.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import lemondeal.lab.emulator.Scenario;

/**
 * A question, and the runs that answer it: every policy at every point of the sweep with every seed.
 *
 * @param policies names of the policies; the others are compared with the first, unless {@code baseline} names another
 * @param points named scenarios of the sweep; a single one named "" without a sweep
 * @param reportedFigures names of the figures in the report, in its order
 * @param expectations the author's expectations of the means at the first point
 * @param source the file's content as it was read, saved with the results
 */
record Experiment(String name, String question, List<String> policies, String baseline, List<Point> points,
    List<Long> seeds, List<String> reportedFigures, List<Condition> expectations, JsonNode source) {

  /** One point of a sweep. */
  record Point(String name, Map<String, String> values, Scenario scenario) {}

  /** Total number of runs. */
  int runCount() {
    return policies.size() * points.size() * seeds.size();
  }
}
