package lemondeal.consul;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemondeal.codec.ProtocolException;

/**
 * Reads the body of {@code GET /v1/health/service/NAME}: an array of entries, each with {@code Node}, {@code Service}
 * and {@code Checks}. What the proxy does not use is passed over, whatever it holds; what it uses must have its type.
 * Bounded, since the answer comes from outside: depth, the length of a string, and the number of entries.
 */
public final class HealthAnswer {
  private static final int DEPTH = 16;
  private static final int STRING = 64 * 1024;

  private final JsonFactory factory;
  private final int most;

  /** @param most entries read at most; an answer with more is refused */
  public HealthAnswer(int most) {
    this.most = most;
    factory = JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(DEPTH).maxStringLength(STRING).maxNumberLength(32).build()).build();
  }

  /**
   * Hands over the entries in the order of the answer, each as soon as it is read: ten thousand at once would be held
   * beside those of before. Throws where the body is not such an answer, possibly after some entries.
   *
   * @throws IOException where the body can't be read on
   */
  public void read(InputStream body, Consumer<CatalogEntry> each) throws ProtocolException, IOException {
    try (JsonParser in = factory.createParser(body)) {
      expect(in.nextToken(), JsonToken.START_ARRAY, "the answer");
      int count = 0;
      while (in.nextToken() == JsonToken.START_OBJECT) {
        if (count++ == most) {
          throw new ProtocolException("more than " + most + " instances");
        }
        each.accept(entry(in));
      }
      expect(in.currentToken(), JsonToken.END_ARRAY, "the answer");
      if (in.nextToken() != null) {
        throw new ProtocolException("something follows the answer");
      }
    } catch (JsonProcessingException e) {
      throw new ProtocolException("not JSON: " + e.getOriginalMessage());
    }
  }

  private static CatalogEntry entry(JsonParser in) throws IOException, ProtocolException {
    Node node = null;
    Service service = null;
    List<CatalogEntry.Check> checks = List.of();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "Node" -> node = node(in, value);
        case "Service" -> service = service(in, value);
        case "Checks" -> checks = checks(in, value);
        default -> in.skipChildren();
      }
    }
    if (node == null || service == null) {
      throw new ProtocolException("an entry without " + (node == null ? "Node" : "Service"));
    }
    return new CatalogEntry(node.name, node.address, node.meta, service.id, service.address, service.port, service.tags,
        service.meta, service.tagged, service.passing, service.warning, service.createIndex, checks);
  }

  /** The parts of a node that are used. */
  private static final class Node {
    String name = "";
    String address = "";
    Map<String, String> meta = Map.of();
  }

  private static Node node(JsonParser in, JsonToken start) throws IOException, ProtocolException {
    expect(start, JsonToken.START_OBJECT, "Node");
    Node node = new Node();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "Node" -> node.name = text(in, value, "Node.Node");
        case "Address" -> node.address = text(in, value, "Node.Address");
        case "Meta" -> node.meta = texts(in, value, "Node.Meta");
        default -> in.skipChildren();
      }
    }
    if (node.name.isEmpty()) {
      throw new ProtocolException("a node without a name");
    }
    return node;
  }

  /** The parts of a service that are used. */
  private static final class Service {
    String id = "";
    String address = "";
    int port;
    List<String> tags = List.of();
    Map<String, String> meta = Map.of();
    Map<String, String> tagged = Map.of();
    int passing = 1;
    int warning = 1;
    long createIndex;
  }

  private static Service service(JsonParser in, JsonToken start) throws IOException, ProtocolException {
    expect(start, JsonToken.START_OBJECT, "Service");
    Service service = new Service();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "ID" -> service.id = text(in, value, "Service.ID");
        case "Address" -> service.address = text(in, value, "Service.Address");
        case "Port" -> service.port = (int) whole(in, value, "Service.Port", 0, 65_535);
        case "Tags" -> service.tags = list(in, value, "Service.Tags");
        case "Meta" -> service.meta = texts(in, value, "Service.Meta");
        case "TaggedAddresses" -> service.tagged = tagged(in, value);
        case "Weights" -> weights(in, value, service);
        case "CreateIndex" -> service.createIndex = whole(in, value, "Service.CreateIndex", 0, Long.MAX_VALUE);
        default -> in.skipChildren();
      }
    }
    if (service.id.isEmpty()) {
      throw new ProtocolException("a service without an ID");
    }
    return service;
  }

  private static void weights(JsonParser in, JsonToken start, Service service) throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return;
    }
    expect(start, JsonToken.START_OBJECT, "Service.Weights");
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "Passing" -> service.passing = (int) whole(in, value, "Service.Weights.Passing", 0, 1_000_000);
        case "Warning" -> service.warning = (int) whole(in, value, "Service.Weights.Warning", 0, 1_000_000);
        default -> in.skipChildren();
      }
    }
  }

  /** Each tagged address as "address:port". */
  private static Map<String, String> tagged(JsonParser in, JsonToken start) throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    expect(start, JsonToken.START_OBJECT, "Service.TaggedAddresses");
    Map<String, String> tagged = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String tag = in.currentName();
      expect(in.nextToken(), JsonToken.START_OBJECT, "Service.TaggedAddresses." + tag);
      String address = "";
      long port = 0;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        JsonToken value = in.nextToken();
        switch (name) {
          case "Address" -> address = text(in, value, "Service.TaggedAddresses." + tag + ".Address");
          case "Port" -> port = whole(in, value, "Service.TaggedAddresses." + tag + ".Port", 0, 65_535);
          default -> in.skipChildren();
        }
      }
      tagged.put(tag, address + ":" + port);
    }
    return tagged;
  }

  private static List<CatalogEntry.Check> checks(JsonParser in, JsonToken start) throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return List.of();
    }
    expect(start, JsonToken.START_ARRAY, "Checks");
    List<CatalogEntry.Check> checks = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      String id = "";
      String serviceId = "";
      String status = "";
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        JsonToken value = in.nextToken();
        switch (name) {
          case "CheckID" -> id = text(in, value, "Checks.CheckID");
          case "ServiceID" -> serviceId = text(in, value, "Checks.ServiceID");
          case "Status" -> status = text(in, value, "Checks.Status");
          default -> in.skipChildren();
        }
      }
      if (!status.equals("passing") && !status.equals("warning") && !status.equals("critical")) {
        throw new ProtocolException("a check whose status is '" + status + "'");
      }
      checks.add(new CatalogEntry.Check(id, serviceId, status));
    }
    expect(in.currentToken(), JsonToken.END_ARRAY, "Checks");
    return checks;
  }

  private static String text(JsonParser in, JsonToken value, String what) throws IOException, ProtocolException {
    if (value == JsonToken.VALUE_NULL) {
      return "";
    }
    expect(value, JsonToken.VALUE_STRING, what);
    return in.getText();
  }

  private static long whole(JsonParser in, JsonToken value, String what, long least, long most) throws IOException, ProtocolException {
    expect(value, JsonToken.VALUE_NUMBER_INT, what);
    long number = in.getLongValue();
    if (number < least || number > most) {
      throw new ProtocolException(what + " is " + number + ", not within " + least + " to " + most);
    }
    return number;
  }

  private static List<String> list(JsonParser in, JsonToken start, String what) throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return List.of();
    }
    expect(start, JsonToken.START_ARRAY, what);
    List<String> items = new ArrayList<>();
    for (JsonToken value = in.nextToken(); value != JsonToken.END_ARRAY; value = in.nextToken()) {
      items.add(text(in, value, what));
    }
    return items;
  }

  private static Map<String, String> texts(JsonParser in, JsonToken start, String what) throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    expect(start, JsonToken.START_OBJECT, what);
    Map<String, String> map = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = in.currentName();
      map.put(key, text(in, in.nextToken(), what + "." + key));
    }
    return map;
  }

  private static void expect(JsonToken found, JsonToken wanted, String what) throws ProtocolException {
    if (found != wanted) {
      throw new ProtocolException(what + " is " + (found == null ? "cut off" : found.asString() == null
          ? found.name().toLowerCase(java.util.Locale.ROOT) : "'" + found.asString() + "'") + ", not " + name(wanted));
    }
  }

  private static String name(JsonToken token) {
    return switch (token) {
      case START_ARRAY -> "a list";
      case START_OBJECT -> "an object";
      case END_ARRAY -> "the end of a list";
      case VALUE_STRING -> "text";
      case VALUE_NUMBER_INT -> "a whole number";
      default -> token.name();
    };
  }
}
