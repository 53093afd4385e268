package lemondeal.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import lemondeal.lab.emulator.World;
import lemondeal.lab.emulator.policy.Policies;

/** Reads an experiment's file: the schema first, then what a schema can't say; all faults at once, with their places. */
final class ExperimentReader {
  private static final int MOST_RUNS = 100_000;

  private final List<String> faults = new ArrayList<>();

  /** The experiment, or {@link FileFaults} with all that is wrong with its file. */
  static Experiment read(Path path) {
    ExperimentReader reader = new ExperimentReader();
    Experiment experiment = reader.experiment(ExperimentFile.read(path));
    if (!reader.faults.isEmpty()) {
      throw new FileFaults(path, reader.faults);
    }
    return experiment;
  }

  private void fault(String where, String what) {
    String fault = where + ": " + what;
    if (!faults.contains(fault)) {
      faults.add(fault);
    }
  }

  private Experiment experiment(JsonNode root) {
    List<String> policies = new ArrayList<>();
    for (JsonNode policy : root.path("policies")) {
      String name = policy.asText();
      if (Policies.named(name) == null) {
        fault("policies", "found '" + name + "'; allowed: " + String.join(", ", Policies.names()));
      }
      if (policies.contains(name)) {
        fault("policies", "'" + name + "' stands twice; allowed: each policy once");
      }
      policies.add(name);
    }
    String baseline = root.path("baseline").asText(policies.get(0));
    if (!policies.contains(baseline)) {
      fault("baseline", "found '" + baseline + "'; allowed: " + String.join(", ", policies));
    }
    List<Experiment.Point> points = points(root);
    if (!faults.isEmpty()) {
      return null;
    }
    List<String> figures = figures(points.get(0));
    List<String> measure = new ArrayList<>();
    for (JsonNode name : root.path("measure")) {
      if (!figures.contains(name.asText())) {
        fault("measure", "found '" + name.asText() + "'; allowed: " + String.join(", ", figures));
      }
      measure.add(name.asText());
    }
    Experiment experiment = new Experiment(root.path("name").asText(), root.path("question").asText(), policies, baseline,
        points, seeds(root.path("seeds")), measure, conditions(root, figures, policies), root);
    if (experiment.runs() > MOST_RUNS) {
      fault("the file", "found " + experiment.runs() + " runs; allowed: " + MOST_RUNS);
    }
    return experiment;
  }

  /** The names of a run's figures: those of a run in which nobody comes. */
  private static List<String> figures(Experiment.Point point) {
    var scenario = point.scenario();
    var empty = new lemondeal.lab.emulator.Scenario(0, 0, 1, 1, scenario.fleets().subList(0, 1), scenario.classes(), 0,
        List.of(), 0, 0, 0, scenario.network(), scenario.store(), scenario.discovery(), scenario.front(),
        scenario.rules(), List.of());
    return List.copyOf(new World(empty, Policies.named("random"), 0).run().figures().keySet());
  }

  private List<Condition> conditions(JsonNode root, List<String> figures, List<String> policies) {
    List<Condition> conditions = new ArrayList<>();
    int number = 0;
    for (JsonNode text : root.path("expect")) {
      try {
        conditions.add(Expressions.condition(text.asText(), figures, policies));
      } catch (ExpressionException e) {
        fault("expect[" + number + "]", e.getMessage());
      }
      number++;
    }
    return conditions;
  }

  private static List<Long> seeds(JsonNode in) {
    if (in.isArray()) {
      List<Long> seeds = new ArrayList<>();
      in.forEach(seed -> seeds.add(seed.asLong()));
      return seeds;
    }
    return LongStream.rangeClosed(1, in.asLong(5)).boxed().toList();
  }

  // ---- Sweeps -----------------------------------------------------------------------------------

  /** Every point with every combination of the sweep's values, each value put where its path leads. */
  private List<Experiment.Point> points(JsonNode root) {
    List<Map<String, JsonNode>> combinations = new ArrayList<>();
    for (JsonNode point : root.path("points")) {
      Map<String, JsonNode> values = new LinkedHashMap<>();
      point.fields().forEachRemaining(one -> values.put(one.getKey(), one.getValue()));
      combinations.add(values);
    }
    if (combinations.isEmpty()) {
      combinations.add(new LinkedHashMap<>());
    }
    root.path("sweep").fields().forEachRemaining(one -> {
      List<Map<String, JsonNode>> more = new ArrayList<>();
      for (Map<String, JsonNode> before : combinations) {
        for (JsonNode value : one.getValue()) {
          Map<String, JsonNode> with = new LinkedHashMap<>(before);
          with.put(one.getKey(), value);
          more.add(with);
        }
      }
      combinations.clear();
      combinations.addAll(more);
    });
    List<Experiment.Point> points = new ArrayList<>();
    for (Map<String, JsonNode> values : combinations) {
      ObjectNode copy = root.deepCopy();
      Map<String, String> shown = new LinkedHashMap<>();
      values.forEach((where, value) -> {
        put(copy.path("scenario"), where, value);
        // Of a point that changes several things together the first names it; a sweep's values all do.
        if (shown.isEmpty() || root.path("sweep").has(where)) {
          shown.put(where, value.asText());
        }
      });
      ExperimentFile.faults(copy).forEach(what -> fault("sweep " + shown, what));
      if (faults.isEmpty()) {
        points.add(new Experiment.Point(name(shown), shown, new ScenarioReader(this::fault).read(copy.path("scenario"))));
      }
    }
    return points;
  }

  private static String name(Map<String, String> values) {
    List<String> parts = new ArrayList<>();
    values.forEach((where, value) -> parts.add(where.substring(where.lastIndexOf('.') + 1) + "=" + value));
    return String.join(", ", parts);
  }

  /** Puts a value at a path such as {@code fleets.0.cores}, all of which but its last step must be there. */
  private void put(JsonNode scenario, String where, JsonNode value) {
    String[] steps = where.split("\\.");
    JsonNode at = scenario;
    for (int i = 0; i < steps.length - 1; i++) {
      at = at.isArray() && steps[i].matches("[0-9]{1,4}") ? at.path(Integer.parseInt(steps[i])) : at.path(steps[i]);
    }
    String last = steps[steps.length - 1];
    if (at instanceof ObjectNode object) {
      object.set(last, value);
    } else if (at instanceof ArrayNode array && last.matches("[0-9]{1,4}") && Integer.parseInt(last) < array.size()) {
      array.set(Integer.parseInt(last), value);
    } else {
      fault("sweep", "found '" + where + "', which leads nowhere in scenario; allowed: a path such as per_second or "
          + "fleets.0.cores");
    }
  }
}
