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
 * Holds a YAML file to a JSON Schema that ships with the program. Finds all faults at once and says of each where it is,
 * what was found and what is allowed; the last is the schema's own {@code description}.
 */
public final class SchemaCheck {
  private static final int SHOWN = 60;

  private final JsonSchema schema;
  private final JsonNode text;

  /** {@code resource} is a schema's name beside this program's classes. */
  public SchemaCheck(String resource) {
    try (InputStream in = SchemaCheck.class.getResourceAsStream("/lemondeal/" + resource)) {
      schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    text = schema.getSchemaNode();
  }

  /** The file's content, or {@link FileFaults} with all that is wrong. */
  public JsonNode read(Path file) {
    return tree(file).root();
  }

  /** As {@link #read}, with the places, for faults that no schema can find. */
  public YamlTree tree(Path file) {
    YamlTree tree = YamlTree.read(file);
    List<Fault> faults = new ArrayList<>();
    for (ValidationMessage message : schema.validate(tree.root())) {
      faults.add(fault(tree, message));
    }
    if (!faults.isEmpty()) {
      faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
      throw new FileFaults(faults);
    }
    return tree;
  }

  private Fault fault(YamlTree tree, ValidationMessage message) {
    JsonNodePath path = message.getInstanceLocation();
    StringBuilder pointer = new StringBuilder();
    StringBuilder name = new StringBuilder();
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      pointer.append('/').append(YamlTree.escaped(element.toString()));
      name.append(element instanceof Integer ? "[" + element + "]" : (name.isEmpty() ? "" : ".") + element);
    }
    String where = name.isEmpty() ? "the file" : name.toString();
    String key = message.getProperty();
    return switch (message.getType()) {
      case "additionalProperties", "unevaluatedProperties" -> tree.fault(pointer + "/" + YamlTree.escaped(key) + "/",
          where + ": unknown key '" + key + "'; allowed: " + keys(schemaAt(path)));
      case "required" -> tree.fault(pointer.toString(), where + ": the key '" + key + "' is missing; allowed: "
          + allowed(child(schemaAt(path), key)));
      default -> tree.fault(pointer.toString(), where + ": found " + shown(tree.root().at(pointer.toString()))
          + "; allowed: " + allowed(schemaAt(path)));
    };
  }

  private JsonNode schemaAt(JsonNodePath path) {
    JsonNode at = resolved(text);
    for (int i = 0; i < path.getNameCount(); i++) {
      Object element = path.getElement(i);
      at = element instanceof Integer ? resolved(at.path("items")) : child(at, element.toString());
    }
    return at;
  }

  private JsonNode child(JsonNode node, String key) {
    JsonNode named = node.path("properties").path(key);
    return resolved(named.isMissingNode() ? node.path("additionalProperties") : named);
  }

  private JsonNode resolved(JsonNode node) {
    return node.has("$ref") ? text.at(node.get("$ref").asText().substring(1)) : node;
  }

  private static String keys(JsonNode node) {
    TreeSet<String> keys = new TreeSet<>();
    node.path("properties").fieldNames().forEachRemaining(keys::add);
    return String.join(", ", keys);
  }

  private static String allowed(JsonNode node) {
    return node.path("description").asText("see the documentation");
  }

  private static String shown(JsonNode found) {
    String shown = found.toString();
    return shown.length() <= SHOWN ? shown : shown.substring(0, SHOWN) + "...";
  }
}
