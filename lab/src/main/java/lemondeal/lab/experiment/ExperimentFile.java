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

/**
 * Reads an experiment's file as a tree and validates it against its schema. The allowed values in an error message are
 * the schema's description of the location.
 */
final class ExperimentFile {
  private static final YAMLMapper YAML = YAMLMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
      .build();
  private static final int MAX_SHOWN_LENGTH = 60;
  private static final JsonSchema SCHEMA = schema();

  private ExperimentFile() {}

  private static JsonSchema schema() {
    try (InputStream in = ExperimentFile.class.getResourceAsStream("/lemondeal/experiment.schema.json")) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads and validates the file; throws {@link InvalidFileException} with all errors found. */
  static JsonNode read(Path file) {
    JsonNode root;
    try {
      root = YAML.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new InvalidFileException(file, List.of(e.getLocation() == null ? e.getOriginalMessage()
          : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr() + ": "
              + e.getOriginalMessage().lines().findFirst().orElse("invalid YAML")));
    } catch (IOException e) {
      throw new InvalidFileException(file, List.of("cannot be read: " + e.getMessage()));
    }
    List<String> errors = validate(root);
    if (!errors.isEmpty()) {
      throw new InvalidFileException(file, errors);
    }
    return root;
  }

  /** The errors that the schema finds in a tree, in alphabetical order; empty if it is valid. */
  static List<String> validate(JsonNode root) {
    TreeSet<String> errors = new TreeSet<>();
    for (ValidationMessage message : SCHEMA.validate(root)) {
      errors.add(describe(root, message));
    }
    return new ArrayList<>(errors);
  }

  private static String describe(JsonNode root, ValidationMessage message) {
    JsonNodePath path = message.getInstanceLocation();
    StringBuilder location = new StringBuilder();
    JsonNode found = root;
    JsonNode schema = SCHEMA.getSchemaNode();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object step = path.getElement(i);
      boolean isIndex = step instanceof Integer;
      location.append(isIndex ? "[" + step + "]" : (location.isEmpty() ? "" : ".") + step);
      found = isIndex ? found.path((Integer) step) : found.path(step.toString());
      schema = resolveReference(isIndex ? schema.path("items") : schema.path("properties").has(step.toString())
          ? schema.path("properties").path(step.toString()) : schema.path("additionalProperties"));
    }
    String shownLocation = location.isEmpty() ? "the file" : location.toString();
    String key = message.getProperty();
    return switch (message.getType()) {
      case "additionalProperties" -> shownLocation + ": unknown key '" + key + "'; allowed: " + allowedValues(schema);
      case "required" -> shownLocation + ": the key '" + key + "' is missing; allowed: "
          + allowedValues(resolveReference(schema.path("properties").path(key)));
      default -> shownLocation + ": found " + abbreviate(found) + "; allowed: " + allowedValues(schema);
    };
  }

  private static JsonNode resolveReference(JsonNode node) {
    return node.has("$ref") ? SCHEMA.getSchemaNode().at(node.get("$ref").asText().substring(1)) : node;
  }

  private static String allowedValues(JsonNode node) {
    return node.path("description").asText("see docs/EXPERIMENTS.md");
  }

  private static String abbreviate(JsonNode found) {
    String text = found.toString();
    return text.length() <= MAX_SHOWN_LENGTH ? text : text.substring(0, MAX_SHOWN_LENGTH) + "...";
  }
}
