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
 * Parses the body of {@code GET /v1/health/service/NAME}: an array of entries, each with {@code Node}, {@code Service}
 * and {@code Checks}. Unused fields are skipped, whatever they contain; fields in use must have the expected type.
 * Depth, string length and the number of entries are limited, since the answer comes from an external system.
 */
public final class HealthResponseParser {
  private static final int MAX_DEPTH = 16;
  private static final int MAX_STRING_LENGTH = 64 * 1024;

  private final JsonFactory factory;
  private final int maxEntries;

  /** @param maxEntries maximum number of entries; a larger answer is rejected */
  public HealthResponseParser(int maxEntries) {
    this.maxEntries = maxEntries;
    factory = JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(MAX_DEPTH).maxStringLength(MAX_STRING_LENGTH).maxNumberLength(32).build()).build();
  }

  /**
   * Passes each entry to {@code onEntry} as soon as it is parsed, in the order of the answer: collecting ten thousand
   * entries would hold them in memory beside those of the previous answer. Throws if the body is malformed, possibly
   * after some entries.
   *
   * @throws IOException if reading the body fails
   */
  public void read(InputStream body, Consumer<CatalogEntry> onEntry) throws ProtocolException, IOException {
    try (JsonParser in = factory.createParser(body)) {
      expect(in.nextToken(), JsonToken.START_ARRAY, "the answer");
      int count = 0;
      while (in.nextToken() == JsonToken.START_OBJECT) {
        if (count++ == maxEntries) {
          throw new ProtocolException("more than " + maxEntries + " instances");
        }
        onEntry.accept(entry(in));
      }
      expect(in.currentToken(), JsonToken.END_ARRAY, "the answer");
      if (in.nextToken() != null) {
        throw new ProtocolException("trailing content after the answer");
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
      throw new ProtocolException("entry has no " + (node == null ? "Node" : "Service"));
    }
    return new CatalogEntry(node.name, node.address, node.meta, service.id, service.address, service.port, service.tags,
        service.meta, service.taggedAddresses, service.passingWeight, service.warningWeight, service.createIndex,
        checks);
  }

  /** The fields of a node that are used. */
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
        case "Node" -> node.name = string(in, value, "Node.Node");
        case "Address" -> node.address = string(in, value, "Node.Address");
        case "Meta" -> node.meta = stringMap(in, value, "Node.Meta");
        default -> in.skipChildren();
      }
    }
    if (node.name.isEmpty()) {
      throw new ProtocolException("node has no name");
    }
    return node;
  }

  /** The fields of a service that are used. */
  private static final class Service {
    String id = "";
    String address = "";
    int port;
    List<String> tags = List.of();
    Map<String, String> meta = Map.of();
    Map<String, String> taggedAddresses = Map.of();
    int passingWeight = 1;
    int warningWeight = 1;
    long createIndex;
  }

  private static Service service(JsonParser in, JsonToken start) throws IOException, ProtocolException {
    expect(start, JsonToken.START_OBJECT, "Service");
    Service service = new Service();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "ID" -> service.id = string(in, value, "Service.ID");
        case "Address" -> service.address = string(in, value, "Service.Address");
        case "Port" -> service.port = (int) integer(in, value, "Service.Port", 0, 65_535);
        case "Tags" -> service.tags = stringList(in, value, "Service.Tags");
        case "Meta" -> service.meta = stringMap(in, value, "Service.Meta");
        case "TaggedAddresses" -> service.taggedAddresses = taggedAddresses(in, value);
        case "Weights" -> weights(in, value, service);
        case "CreateIndex" -> service.createIndex = integer(in, value, "Service.CreateIndex", 0, Long.MAX_VALUE);
        default -> in.skipChildren();
      }
    }
    if (service.id.isEmpty()) {
      throw new ProtocolException("service has no ID");
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
        case "Passing" -> service.passingWeight = (int) integer(in, value, "Service.Weights.Passing", 0, 1_000_000);
        case "Warning" -> service.warningWeight = (int) integer(in, value, "Service.Weights.Warning", 0, 1_000_000);
        default -> in.skipChildren();
      }
    }
  }

  /** Each tagged address as "address:port". */
  private static Map<String, String> taggedAddresses(JsonParser in, JsonToken start)
      throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    expect(start, JsonToken.START_OBJECT, "Service.TaggedAddresses");
    Map<String, String> addresses = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String tag = in.currentName();
      expect(in.nextToken(), JsonToken.START_OBJECT, "Service.TaggedAddresses." + tag);
      String address = "";
      long port = 0;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        JsonToken value = in.nextToken();
        switch (name) {
          case "Address" -> address = string(in, value, "Service.TaggedAddresses." + tag + ".Address");
          case "Port" -> port = integer(in, value, "Service.TaggedAddresses." + tag + ".Port", 0, 65_535);
          default -> in.skipChildren();
        }
      }
      addresses.put(tag, address + ":" + port);
    }
    return addresses;
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
          case "CheckID" -> id = string(in, value, "Checks.CheckID");
          case "ServiceID" -> serviceId = string(in, value, "Checks.ServiceID");
          case "Status" -> status = string(in, value, "Checks.Status");
          default -> in.skipChildren();
        }
      }
      if (!status.equals("passing") && !status.equals("warning") && !status.equals("critical")) {
        throw new ProtocolException("check has unknown status '" + status + "'");
      }
      checks.add(new CatalogEntry.Check(id, serviceId, status));
    }
    expect(in.currentToken(), JsonToken.END_ARRAY, "Checks");
    return checks;
  }

  private static String string(JsonParser in, JsonToken value, String field) throws IOException, ProtocolException {
    if (value == JsonToken.VALUE_NULL) {
      return "";
    }
    expect(value, JsonToken.VALUE_STRING, field);
    return in.getText();
  }

  private static long integer(JsonParser in, JsonToken value, String field, long min, long max)
      throws IOException, ProtocolException {
    expect(value, JsonToken.VALUE_NUMBER_INT, field);
    long number = in.getLongValue();
    if (number < min || number > max) {
      throw new ProtocolException(field + " is " + number + ", not within " + min + " to " + max);
    }
    return number;
  }

  private static List<String> stringList(JsonParser in, JsonToken start, String field)
      throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return List.of();
    }
    expect(start, JsonToken.START_ARRAY, field);
    List<String> items = new ArrayList<>();
    for (JsonToken value = in.nextToken(); value != JsonToken.END_ARRAY; value = in.nextToken()) {
      items.add(string(in, value, field));
    }
    return items;
  }

  private static Map<String, String> stringMap(JsonParser in, JsonToken start, String field)
      throws IOException, ProtocolException {
    if (start == JsonToken.VALUE_NULL) {
      return Map.of();
    }
    expect(start, JsonToken.START_OBJECT, field);
    Map<String, String> map = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = in.currentName();
      map.put(key, string(in, in.nextToken(), field + "." + key));
    }
    return map;
  }

  private static void expect(JsonToken found, JsonToken expected, String field) throws ProtocolException {
    if (found != expected) {
      throw new ProtocolException(field + " is " + (found == null ? "truncated" : found.asString() == null
          ? found.name().toLowerCase(java.util.Locale.ROOT) : "'" + found.asString() + "'")
          + ", not " + tokenName(expected));
    }
  }

  private static String tokenName(JsonToken token) {
    return switch (token) {
      case START_ARRAY -> "an array";
      case START_OBJECT -> "an object";
      case END_ARRAY -> "the end of an array";
      case VALUE_STRING -> "text";
      case VALUE_NUMBER_INT -> "an integer";
      default -> token.name();
    };
  }
}
