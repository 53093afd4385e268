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
 * A YAML file as a tree in which every value knows its place. Jackson's own YAML reader was not taken, since its trees
 * have forgotten where they came from when a schema finds fault with them.
 */
public final class YamlTree {
  private static final int LONGEST = 1 << 20;
  /** Guards against a few aliases that stand for billions of values. */
  private static final int MOST_VALUES = 20_000;

  private final String file;
  private final Map<String, Mark> places = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();
  private int values;
  private JsonNode root;

  private YamlTree(String file) {
    this.file = file;
  }

  /** Throws {@link FileFaults} for a file that can't be read as YAML. */
  static YamlTree read(Path path) {
    YamlTree tree = new YamlTree(path.toString());
    try {
      if (Files.size(path) > LONGEST) {
        throw new FileFaults(tree.file, "longer than " + LONGEST + " bytes");
      }
      tree.compose(Files.readString(path));
    } catch (IOException e) {
      throw new FileFaults(tree.file, "cannot be read: " + e);
    }
    if (!tree.faults.isEmpty()) {
      throw new FileFaults(tree.faults);
    }
    return tree;
  }

  private void compose(String text) {
    try {
      Optional<Node> node = new Compose(LoadSettings.builder().setLabel(file).build()).composeString(text);
      root = node.isPresent() ? value(node.get(), "") : JsonNodeFactory.instance.nullNode();
    } catch (MarkedYamlEngineException e) {
      Mark mark = e.getProblemMark().orElse(null);
      faults.add(fault(mark, "not YAML: " + e.getProblem()));
    } catch (YamlEngineException e) {
      throw new FileFaults(file, "not YAML: " + e.getMessage());
    }
  }

  /** The file's content; null's node for an empty file. */
  public JsonNode root() {
    return root;
  }

  /** A fault at the value that the JSON pointer names (at its key, with a '/' behind it), or at the nearest round it. */
  public Fault fault(String pointer, String what) {
    String at = pointer;
    while (!places.containsKey(at) && !at.isEmpty()) {
      at = at.substring(0, at.lastIndexOf('/'));
    }
    return fault(places.get(at), what);
  }

  private Fault fault(Mark mark, String what) {
    return mark == null ? new Fault(file, 0, 0, what) : new Fault(file, mark.getLine() + 1, mark.getColumn() + 1, what);
  }

  private JsonNode value(Node node, String pointer) {
    node.getStartMark().ifPresent(mark -> places.put(pointer, mark));
    if (++values > MOST_VALUES) {
      throw new YamlEngineException("more than " + MOST_VALUES + " values");
    }
    if (node instanceof MappingNode mapping) {
      return object(mapping, pointer);
    }
    if (node instanceof SequenceNode sequence) {
      ArrayNode array = JsonNodeFactory.instance.arrayNode();
      for (Node item : sequence.getValue()) {
        array.add(value(item, pointer + "/" + array.size()));
      }
      return array;
    }
    return scalar((ScalarNode) node);
  }

  private ObjectNode object(MappingNode mapping, String pointer) {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    for (NodeTuple tuple : mapping.getValue()) {
      Mark place = tuple.getKeyNode().getStartMark().orElse(null);
      if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
        faults.add(fault(place, "a key that is no plain word"));
        continue;
      }
      String at = pointer + "/" + escaped(key.getValue());
      if (object.has(key.getValue())) {
        faults.add(fault(place, "the key '" + key.getValue() + "' stands here twice"));
      }
      object.set(key.getValue(), value(tuple.getValueNode(), at));
      if (place != null) {
        places.put(at + "/", place);
      }
    }
    return object;
  }

  /** A JSON pointer's own two characters. */
  public static String escaped(String key) {
    return key.replace("~", "~0").replace("/", "~1");
  }

  private static JsonNode scalar(ScalarNode node) {
    JsonNodeFactory make = JsonNodeFactory.instance;
    Tag tag = node.getTag();
    String text = node.getValue();
    try {
      if (tag.equals(Tag.NULL)) {
        return make.nullNode();
      }
      if (tag.equals(Tag.BOOL)) {
        return make.booleanNode(Boolean.parseBoolean(text));
      }
      if (tag.equals(Tag.INT)) {
        return make.numberNode(new BigInteger(text));
      }
      if (tag.equals(Tag.FLOAT)) {
        return make.numberNode(new BigDecimal(text));
      }
    } catch (NumberFormatException e) {
      // ".inf" and the like: the schema will say that a text is not what is allowed.
      return make.textNode(text);
    }
    return make.textNode(text);
  }
}
