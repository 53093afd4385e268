package lemondeal.lab.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** An experiment's file as a tree, held to its schema; what is allowed at a place is the schema's own description. */
final class ExperimentFile {
  private static final YAMLMapper YAML = YAMLMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final int SHOWN = 60;
  private static final JsonSchema SCHEMA = schema();

  private ExperimentFile() {}

  private static JsonSchema schema() {
    try (InputStream in = ExperimentFile.class.getResourceAsStream("/lemondeal/experiment.schema.json")) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The file's tree, or {@link FileFaults} with all that the schema finds. */
  static JsonNode read(Path file) {
    JsonNode root;
    try {
      root = YAML.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new FileFaults(file, List.of(e.getLocation() == null ? e.getOriginalMessage()
          : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr() + ": "
              + e.getOriginalMessage().lines().findFirst().orElse("no YAML")));
    } catch (IOException e) {
      throw new FileFaults(file, List.of("can't be read: " + e.getMessage()));
    }
    List<String> faults = faults(root);
    if (!faults.isEmpty()) {
      throw new FileFaults(file, faults);
    }
    return root;
  }

  /** What the schema finds wrong with a tree, in the order of places; empty where nothing is. */
  static List<String> faults(JsonNode root) {
    TreeSet<String> faults = new TreeSet<>();
    for (ValidationMessage message : SCHEMA.validate(root)) {
      faults.add(fault(root, message));
    }
    return new ArrayList<>(faults);
  }

  private static String fault(JsonNode root, ValidationMessage message) {
    JsonNodePath path = message.getInstanceLocation();
    StringBuilder name = new StringBuilder();
    JsonNode found = root;
    JsonNode allowed = SCHEMA.getSchemaNode();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object step = path.getElement(i);
      boolean place = step instanceof Integer;
      name.append(place ? "[" + step + "]" : (name.isEmpty() ? "" : ".") + step);
      found = place ? found.path((Integer) step) : found.path(step.toString());
      allowed = resolved(place ? allowed.path("items") : allowed.path("properties").has(step.toString())
          ? allowed.path("properties").path(step.toString()) : allowed.path("additionalProperties"));
    }
    String where = name.isEmpty() ? "the file" : name.toString();
    String key = message.getProperty();
    return switch (message.getType()) {
      case "additionalProperties" -> where + ": unknown key '" + key + "'; allowed: " + description(allowed);
      case "required" -> where + ": the key '" + key + "' is missing; allowed: "
          + description(resolved(allowed.path("properties").path(key)));
      default -> where + ": found " + shown(found) + "; allowed: " + description(allowed);
    };
  }

  private static JsonNode resolved(JsonNode node) {
    return node.has("$ref") ? SCHEMA.getSchemaNode().at(node.get("$ref").asText().substring(1)) : node;
  }

  private static String description(JsonNode node) {
    return node.path("description").asText("see docs/EXPERIMENTS.md");
  }

  private static String shown(JsonNode found) {
    String text = found.toString();
    return text.length() <= SHOWN ? text : text.substring(0, SHOWN) + "...";
  }
}
