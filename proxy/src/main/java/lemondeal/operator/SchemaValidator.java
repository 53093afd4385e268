package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Validates a YAML file against a JSON Schema that ships with the program. Reports all faults at once, each with its
 * location, the value found and what is allowed; the latter is the {@code description} in the schema.
 */
public final class SchemaValidator {
  private static final int MAX_SHOWN_CHARACTERS = 60;

  private final JsonSchema schema;
  private final JsonNode schemaRoot;

  /** @param resource the file name of the schema among the program's resources */
  public SchemaValidator(String resource) {
    try (InputStream in = SchemaValidator.class.getResourceAsStream("/lemondeal/" + resource)) {
      schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    schemaRoot = schema.getSchemaNode();
  }

  /** The file's content; throws {@link InvalidFileException} with all its faults. */
  public JsonNode read(Path file) {
    return readTree(file).root();
  }

  /** As {@link #read}, with positions for faults that the schema cannot find. */
  public YamlTree readTree(Path file) {
    YamlTree tree = YamlTree.read(file);
    List<Fault> faults = new ArrayList<>();
    for (ValidationMessage message : schema.validate(tree.root())) {
      faults.add(fault(tree, message));
    }
    if (!faults.isEmpty()) {
      faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
      throw new InvalidFileException(faults);
    }
    return tree;
  }

  private Fault fault(YamlTree tree, ValidationMessage message) {
    JsonNodePath path = message.getInstanceLocation();
    StringBuilder pointer = new StringBuilder();
    StringBuilder keyPath = new StringBuilder();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      pointer.append('/').append(YamlTree.escapePointer(element.toString()));
      keyPath.append(element instanceof Integer ? "[" + element + "]" : (keyPath.isEmpty() ? "" : ".") + element);
    }
    String location = keyPath.isEmpty() ? "the file" : keyPath.toString();
    String key = message.getProperty();
    return switch (message.getType()) {
      case "additionalProperties", "unevaluatedProperties" -> tree.fault(
          pointer + "/" + YamlTree.escapePointer(key) + "/",
          location + ": unknown key '" + key + "'; allowed: " + allowedKeys(schemaAt(path)));
      case "required" -> tree.fault(pointer.toString(), location + ": the key '" + key + "' is missing; allowed: "
          + description(propertySchema(schemaAt(path), key)));
      default -> tree.fault(pointer.toString(), location + ": found " + abbreviated(tree.root().at(pointer.toString()))
          + "; allowed: " + description(schemaAt(path)));
    };
  }

  private JsonNode schemaAt(JsonNodePath path) {
    JsonNode node = resolveReference(schemaRoot);
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      node = element instanceof Integer ? resolveReference(node.path("items"))
          : propertySchema(node, element.toString());
    }
    return node;
  }

  private JsonNode propertySchema(JsonNode node, String key) {
    JsonNode named = node.path("properties").path(key);
    return resolveReference(named.isMissingNode() ? node.path("additionalProperties") : named);
  }

  private JsonNode resolveReference(JsonNode node) {
    return node.has("$ref") ? schemaRoot.at(node.get("$ref").asText().substring(1)) : node;
  }

  private static String allowedKeys(JsonNode node) {
    TreeSet<String> keys = new TreeSet<>();
    node.path("properties").fieldNames().forEachRemaining(keys::add);
    return String.join(", ", keys);
  }

  private static String description(JsonNode node) {
    return node.path("description").asText("see the documentation");
  }

  private static String abbreviated(JsonNode found) {
    String text = found.toString();
    return text.length() <= MAX_SHOWN_CHARACTERS ? text : text.substring(0, MAX_SHOWN_CHARACTERS) + "...";
  }
}
