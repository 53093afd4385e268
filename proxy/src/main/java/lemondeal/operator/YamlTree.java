package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/**
 * A YAML file as a tree of JSON nodes, with the position of each value in the file. Jackson's YAML reader is not used,
 * since its trees have no positions for the faults that the schema finds.
 */
public final class YamlTree {
  private static final int MAX_BYTES = 1 << 20;
  /** Guards against nested aliases that expand to billions of values. */
  private static final int MAX_VALUES = 20_000;

  private final String file;
  private final Map<String, Mark> marks = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();
  private int valueCount;
  private JsonNode root;

  private YamlTree(String file) {
    this.file = file;
  }

  /** Throws {@link InvalidFileException} for a file that cannot be read as YAML. */
  static YamlTree read(Path path) {
    YamlTree tree = new YamlTree(path.toString());
    try {
      if (Files.size(path) > MAX_BYTES) {
        throw new InvalidFileException(tree.file, "longer than " + MAX_BYTES + " bytes");
      }
      tree.parse(Files.readString(path));
    } catch (IOException e) {
      throw new InvalidFileException(tree.file, "cannot be read: " + e);
    }
    if (!tree.faults.isEmpty()) {
      throw new InvalidFileException(tree.faults);
    }
    return tree;
  }

  private void parse(String text) {
    try {
      Optional<Node> node = new Compose(LoadSettings.builder().setLabel(file).build()).composeString(text);
      root = node.isPresent() ? toJson(node.get(), "") : JsonNodeFactory.instance.nullNode();
    } catch (MarkedYamlEngineException e) {
      Mark mark = e.getProblemMark().orElse(null);
      faults.add(fault(mark, "not YAML: " + e.getProblem()));
    } catch (YamlEngineException e) {
      throw new InvalidFileException(file, "not YAML: " + e.getMessage());
    }
  }

  /** The file's content; a {@code NullNode} for an empty file. */
  public JsonNode root() {
    return root;
  }

  /**
   * A fault at the value that the JSON pointer refers to, or at its key if the pointer ends in '/'. If the file does
   * not have it, at the nearest enclosing value.
   */
  public Fault fault(String pointer, String message) {
    String nearest = pointer;
    while (!marks.containsKey(nearest) && !nearest.isEmpty()) {
      nearest = nearest.substring(0, nearest.lastIndexOf('/'));
    }
    return fault(marks.get(nearest), message);
  }

  private Fault fault(Mark mark, String message) {
    return mark == null ? new Fault(file, 0, 0, message)
        : new Fault(file, mark.getLine() + 1, mark.getColumn() + 1, message);
  }

  private JsonNode toJson(Node node, String pointer) {
    node.getStartMark().ifPresent(mark -> marks.put(pointer, mark));
    if (++valueCount > MAX_VALUES) {
      throw new YamlEngineException("more than " + MAX_VALUES + " values");
    }
    if (node instanceof MappingNode mapping) {
      return toObject(mapping, pointer);
    }
    if (node instanceof SequenceNode sequence) {
      ArrayNode array = JsonNodeFactory.instance.arrayNode();
      for (Node item : sequence.getValue()) {
        array.add(toJson(item, pointer + "/" + array.size()));
      }
      return array;
    }
    return toScalar((ScalarNode) node);
  }

  private ObjectNode toObject(MappingNode mapping, String pointer) {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    for (NodeTuple tuple : mapping.getValue()) {
      Mark mark = tuple.getKeyNode().getStartMark().orElse(null);
      if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
        faults.add(fault(mark, "a key must be a scalar"));
        continue;
      }
      String childPointer = pointer + "/" + escapePointer(key.getValue());
      if (object.has(key.getValue())) {
        faults.add(fault(mark, "duplicate key '" + key.getValue() + "'"));
      }
      object.set(key.getValue(), toJson(tuple.getValueNode(), childPointer));
      if (mark != null) {
        marks.put(childPointer + "/", mark);
      }
    }
    return object;
  }

  /** Escapes the special characters of JSON pointers. */
  public static String escapePointer(String key) {
    return key.replace("~", "~0").replace("/", "~1");
  }

  private static JsonNode toScalar(ScalarNode node) {
    JsonNodeFactory factory = JsonNodeFactory.instance;
    Tag tag = node.getTag();
    String text = node.getValue();
    try {
      if (tag.equals(Tag.NULL)) {
        return factory.nullNode();
      }
      if (tag.equals(Tag.BOOL)) {
        return factory.booleanNode(Boolean.parseBoolean(text));
      }
      if (tag.equals(Tag.INT)) {
        return factory.numberNode(new BigInteger(text));
      }
      if (tag.equals(Tag.FLOAT)) {
        return factory.numberNode(new BigDecimal(text));
      }
    } catch (NumberFormatException e) {
      // Such as ".inf": kept as text, which the schema then rejects.
      return factory.textNode(text);
    }
    return factory.textNode(text);
  }
}
