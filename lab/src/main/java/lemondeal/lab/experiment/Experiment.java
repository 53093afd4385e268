package lemondeal.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import lemondeal.lab.emulator.Scenario;

/**
 * A question, and what is played to answer it: every policy at every point of the sweep with every seed.
 *
 * @param policies the first is the one that others are compared with, unless {@code baseline} names another
 * @param points scenarios of the sweep with what they are called; one named "" where nothing is swept
 * @param measure the figures that the report shows, in its order
 * @param expect what the author expects of the means at the first point
 * @param file the file's content as it was read, kept with the results
 */
record Experiment(String name, String question, List<String> policies, String baseline, List<Point> points,
    List<Long> seeds, List<String> reportedFigures, List<Condition> expectations, JsonNode source) {

  /** One point of a sweep. */
  record Point(String name, Map<String, String> values, Scenario scenario) {}

  /** Runs in all. */
  int runCount() {
    return policies.size() * points.size() * seeds.size();
  }
}
