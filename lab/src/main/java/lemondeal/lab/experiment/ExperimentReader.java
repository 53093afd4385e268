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
import lemondeal.lab.emulator.Simulation;
import lemondeal.lab.emulator.policy.Policies;

/**
 * Reads an experiment's file: validates it against the schema, and then checks what the schema cannot express. Reports
 * all errors of a stage at once, with their locations.
 */
final class ExperimentReader {
  private static final int MAX_RUNS = 100_000;

  private final List<String> errors = new ArrayList<>();

  /** Reads the experiment; throws {@link InvalidFileException} with all errors of its file. */
  static Experiment read(Path path) {
    ExperimentReader reader = new ExperimentReader();
    Experiment experiment = reader.experiment(ExperimentFile.read(path));
    if (!reader.errors.isEmpty()) {
      throw new InvalidFileException(path, reader.errors);
    }
    return experiment;
  }

  private void addError(String path, String message) {
    String error = path + ": " + message;
    if (!errors.contains(error)) {
      errors.add(error);
    }
  }

  private Experiment experiment(JsonNode root) {
    List<String> policies = new ArrayList<>();
    for (JsonNode policy : root.path("policies")) {
      String name = policy.asText();
      if (Policies.byName(name) == null) {
        addError("policies", "found '" + name + "'; allowed: " + String.join(", ", Policies.names()));
      }
      if (policies.contains(name)) {
        addError("policies", "'" + name + "' is listed twice; allowed: each policy once");
      }
      policies.add(name);
    }
    String baseline = root.path("baseline").asText(policies.get(0));
    if (!policies.contains(baseline)) {
      addError("baseline", "found '" + baseline + "'; allowed: " + String.join(", ", policies));
    }
    List<Experiment.Point> points = points(root);
    if (!errors.isEmpty()) {
      return null;
    }
    List<String> figureNames = figureNames(points.get(0));
    List<String> reportedFigures = new ArrayList<>();
    for (JsonNode name : root.path("measure")) {
      if (!figureNames.contains(name.asText())) {
        addError("measure", "found '" + name.asText() + "'; allowed: " + String.join(", ", figureNames));
      }
      reportedFigures.add(name.asText());
    }
    Experiment experiment = new Experiment(root.path("name").asText(), root.path("question").asText(), policies,
        baseline, points, seeds(root.path("seeds")), reportedFigures, conditions(root, figureNames, policies), root);
    if (experiment.runCount() > MAX_RUNS) {
      addError("the file", "found " + experiment.runCount() + " runs; allowed: " + MAX_RUNS);
    }
    return experiment;
  }

  /** The names of a run's figures, from a run without clients. */
  private static List<String> figureNames(Experiment.Point point) {
    var scenario = point.scenario();
    var empty = new lemondeal.lab.emulator.Scenario(0, 0, 1, 1, scenario.pools().subList(0, 1), scenario.classes(), 0,
        List.of(), 0, 0, 0, scenario.network(), scenario.store(), scenario.discovery(), scenario.frontEnd(),
        scenario.rules(), List.of());
    return List.copyOf(new Simulation(empty, Policies.byName("random"), 0).run().figures().keySet());
  }

  private List<Condition> conditions(JsonNode root, List<String> figureNames, List<String> policies) {
    List<Condition> conditions = new ArrayList<>();
    int index = 0;
    for (JsonNode text : root.path("expect")) {
      try {
        conditions.add(Expressions.parseCondition(text.asText(), figureNames, policies));
      } catch (ExpressionException e) {
        addError("expect[" + index + "]", e.getMessage());
      }
      index++;
    }
    return conditions;
  }

  private static List<Long> seeds(JsonNode node) {
    if (node.isArray()) {
      List<Long> seeds = new ArrayList<>();
      node.forEach(seed -> seeds.add(seed.asLong()));
      return seeds;
    }
    return LongStream.rangeClosed(1, node.asLong(5)).boxed().toList();
  }

  // ---- Sweeps -----------------------------------------------------------------------------------

  /** Combines every point with every combination of the sweep's values, and sets each value at its path. */
  private List<Experiment.Point> points(JsonNode root) {
    List<Map<String, JsonNode>> combinations = new ArrayList<>();
    for (JsonNode pointNode : root.path("points")) {
      Map<String, JsonNode> values = new LinkedHashMap<>();
      pointNode.fields().forEachRemaining(field -> values.put(field.getKey(), field.getValue()));
      combinations.add(values);
    }
    if (combinations.isEmpty()) {
      combinations.add(new LinkedHashMap<>());
    }
    root.path("sweep").fields().forEachRemaining(field -> {
      List<Map<String, JsonNode>> extended = new ArrayList<>();
      for (Map<String, JsonNode> combination : combinations) {
        for (JsonNode value : field.getValue()) {
          Map<String, JsonNode> combined = new LinkedHashMap<>(combination);
          combined.put(field.getKey(), value);
          extended.add(combined);
        }
      }
      combinations.clear();
      combinations.addAll(extended);
    });
    List<Experiment.Point> points = new ArrayList<>();
    for (Map<String, JsonNode> values : combinations) {
      ObjectNode copy = root.deepCopy();
      Map<String, String> namingValues = new LinkedHashMap<>();
      values.forEach((path, value) -> {
        setValue(copy.path("scenario"), path, value);
        // The first value of a point with several values names it; a sweep's values all appear in the name.
        if (namingValues.isEmpty() || root.path("sweep").has(path)) {
          namingValues.put(path, value.asText());
        }
      });
      ExperimentFile.validate(copy).forEach(error -> addError("sweep " + namingValues, error));
      if (errors.isEmpty()) {
        points.add(new Experiment.Point(pointName(namingValues), namingValues,
            new ScenarioReader(this::addError).read(copy.path("scenario"))));
      }
    }
    return points;
  }

  private static String pointName(Map<String, String> values) {
    List<String> parts = new ArrayList<>();
    values.forEach((path, value) -> parts.add(path.substring(path.lastIndexOf('.') + 1) + "=" + value));
    return String.join(", ", parts);
  }

  /** Sets a value at a path such as {@code fleets.0.cores}; all of the path but its last step must exist. */
  private void setValue(JsonNode scenario, String path, JsonNode value) {
    String[] steps = path.split("\\.");
    JsonNode parent = scenario;
    for (int i = 0; i < steps.length - 1; i++) {
      parent = parent.isArray() && steps[i].matches("[0-9]{1,4}") ? parent.path(Integer.parseInt(steps[i]))
          : parent.path(steps[i]);
    }
    String lastStep = steps[steps.length - 1];
    if (parent instanceof ObjectNode object) {
      object.set(lastStep, value);
    } else if (parent instanceof ArrayNode array && lastStep.matches("[0-9]{1,4}")
        && Integer.parseInt(lastStep) < array.size()) {
      array.set(Integer.parseInt(lastStep), value);
    } else {
      addError("sweep", "found '" + path + "', which does not exist in scenario; allowed: a path such as per_second or "
          + "fleets.0.cores");
    }
  }
}
