package lemondeal.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.PeerMessage;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Wake;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemondeal.config.ConfigException;
import lemondeal.config.SettingsReader;

/** Parses one batch, a line of JSON, into events of the module. */
final class WireReader {

  /** An event and the instance that it is for; {@code event} is null if the instance is to be removed. */
  record AddressedEvent(String instance, Event event) {}

  record Batch(long time, List<AddressedEvent> events) {}

  private static final JsonFactory JSON = new JsonFactory();

  private WireReader() {}

  static Batch read(String line) {
    try (JsonParser parser = JSON.createParser(line)) {
      return batch(parser);
    } catch (JsonProcessingException e) {
      throw new WireException("not JSON: " + e.getOriginalMessage() + " at column "
          + e.getLocation().getColumnNr());
    } catch (IOException e) {
      throw new WireException("cannot read the batch: " + e.getMessage());
    }
  }

  private static Batch batch(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new WireException("a batch should be an object, found " + parser.currentToken());
    }
    Long time = null;
    List<AddressedEvent> events = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String fieldName = parser.currentName();
      JsonToken value = parser.nextToken();
      if (fieldName.equals("time")) {
        if (value != JsonToken.VALUE_NUMBER_INT) {
          throw new WireException("batch: time should be a whole number, found " + value);
        }
        time = parser.getLongValue();
      } else if (fieldName.equals("input")) {
        if (value != JsonToken.START_ARRAY) {
          throw new WireException("batch: input should be an array, found " + value);
        }
        events = events(parser);
      } else {
        parser.skipChildren();
      }
    }
    if (time == null || events == null) {
      throw new WireException("batch: " + (time == null ? "time" : "input") + " is missing");
    }
    if (parser.nextToken() != null) {
      throw new WireException("unexpected data after the batch");
    }
    return new Batch(time, events);
  }

  private static List<AddressedEvent> events(JsonParser parser) throws IOException {
    List<AddressedEvent> events = new ArrayList<>();
    JsonArrayReader fields = new JsonArrayReader(parser);
    JsonToken token;
    while ((token = parser.nextToken()) != JsonToken.END_ARRAY) {
      if (token != JsonToken.START_ARRAY) {
        throw new WireException("batch: an event should be an array, found " + token);
      }
      fields.begin("event");
      String eventName = fields.string("name");
      fields.setContext(eventName);
      String instance = fields.string("who");
      events.add(new AddressedEvent(instance, event(eventName, fields)));
      fields.skipRemaining();
    }
    return events;
  }

  private static Event event(String name, JsonArrayReader fields) throws IOException {
    return switch (name) {
      case "ENLIST" -> start(fields);
      case "FLEET" -> serverList(fields);
      case "NEW_REQUEST" -> arrived(fields);
      case "ALREADY_OPEN" -> adopted(fields);
      case "ACCEPTED" -> new Established(fields.string("ref"), attempt(fields), fields.string("host"),
          fields.wholeNumber("delaySeen"));
      case "SETTLED" -> new Ended(fields.string("ref"), attempt(fields), fields.string("host"),
          outcome(fields.string("stateCode")), fields.wholeNumber("delaySeen", 0), fields.flag("last"), report(fields));
      case "NOTE" -> note(fields);
      case "REMINDER" -> new Wake(fields.wholeNumber("nonce"));
      case "FROM_PEER" -> new PeerMessage((int) fields.wholeNumber("sender"), fields.string("contents"));
      case "SAMPLED" -> sampled(fields);
      case "EXPIRED" -> new ClientGone(fields.string("ref"));
      case "KILL" -> null;
      default -> throw new WireException("unknown event " + name);
    };
  }

  private static Event start(JsonArrayReader fields) throws IOException {
    long seed = fields.wholeNumber("nonce64");
    Map<String, Object> settings = fields.objectOrNull("settings");
    if (settings == null) {
      throw new WireException("ENLIST: settings is missing");
    }
    try {
      return new Start(seed, SettingsReader.read(settings));
    } catch (ConfigException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static Event serverList(JsonArrayReader fields) throws IOException {
    long version = fields.wholeNumber("epoch", 0);
    String kindCode = fields.string("kind");
    ListKind kind = switch (kindCode) {
      case "Partial" -> ListKind.CHANGES;
      case "Complete" -> ListKind.FULL;
      case "Persisted" -> ListKind.SAVED;
      case "Error" -> ListKind.FAILED;
      default -> throw new WireException("FLEET: unknown kind " + kindCode);
    };
    List<ServerEntry> entries = new ArrayList<>();
    if (fields.enterArray("nodesList")) {
      while (fields.nextArray("entry")) {
        fields.begin("FLEET entry");
        entries.add(entry(fields));
        fields.skipRemaining();
      }
      fields.begin("FLEET");
    }
    return new ServerList(version, kind, entries);
  }

  private static ServerEntry entry(JsonArrayReader fields) throws IOException {
    int zone = (int) fields.wholeNumber("zone", 0);
    int cell = (int) fields.wholeNumber("unitGroup", 0);
    long startedAt = fields.wholeNumber("born", 0);
    int model = (int) fields.wholeNumber("model", 0);
    String stateCode = fields.string("stageState");
    ServerState state = switch (stateCode) {
      case "U" -> ServerState.READY;
      case "L" -> ServerState.DRAINING;
      case "D" -> ServerState.GONE;
      default -> throw new WireException("FLEET entry: unknown stageState " + stateCode);
    };
    double weight = fields.number("rating", Double.NaN);
    return new ServerEntry(fields.string("host"), zone, cell, model, startedAt, state, weight);
  }

  private static Event arrived(JsonArrayReader fields) throws IOException {
    String id = fields.string("ref");
    long due = fields.wholeNumber("due");
    int requestClass = (int) fields.wholeNumber("qos", 0);
    String key = fields.stringOrNull("pathKey");
    String group = fields.stringOrNull("group");
    double cost = fields.number("effort", Double.NaN);
    boolean midFlow = fields.flag("midFlow");
    boolean returned = fields.flag("returned");
    int tenant = (int) fields.wholeNumber("party", 0);
    return new Arrived(new Request(id, due, requestClass, key, group, cost, midFlow, returned, tenant,
        fields.flag("againByClient")));
  }

  private static Event adopted(JsonArrayReader fields) throws IOException {
    String id = fields.string("ref");
    int requestClass = (int) fields.wholeNumber("qos", 0);
    int tenant = (int) fields.wholeNumber("party", 0);
    String key = fields.stringOrNull("pathKey");
    long due = fields.wholeNumber("due", 0);
    double cost = fields.number("effort", Double.NaN);
    String group = fields.stringOrNull("group");
    boolean clientRetry = fields.flag("againByClient");
    boolean midFlow = fields.flag("midFlow");
    boolean returned = fields.flag("returned");
    return new Adopted(new Request(id, due, requestClass, key, group, cost, midFlow, returned, tenant,
        clientRetry), fields.string("host"));
  }

  private static Event note(JsonArrayReader fields) throws IOException {
    String id = fields.string("ref");
    int attempt = attempt(fields);
    String server = fields.string("host");
    long sort = fields.wholeNumber("sort");
    double value = fields.number("x", Double.NaN);
    if (sort == 1) {
      return new LoadChanged(id, attempt, server, value);
    }
    if (sort == 2) {
      return new MessageDelay(id, attempt, server, value);
    }
    throw new WireException("NOTE: unknown sort " + sort);
  }

  private static Event sampled(JsonArrayReader fields) throws IOException {
    Outcome outcome = outcome(fields.string("stateCode"));
    return new ProbeResult(fields.string("host"), outcome, fields.wholeNumber("delaySeen", 0), report(fields));
  }

  private static int attempt(JsonArrayReader fields) throws IOException {
    return (int) fields.wholeNumber("n");
  }

  private static Outcome outcome(String code) {
    return switch (code) {
      case "GOOD" -> Outcome.SERVED;
      case "BAD" -> Outcome.ERROR;
      case "FULL" -> Outcome.REFUSED;
      case "LATE" -> Outcome.TIMED_OUT;
      case "NOCONN" -> Outcome.NO_CONNECTION;
      case "RST" -> Outcome.RESET;
      case "CXL" -> Outcome.CANCELLED;
      case "NOP" -> Outcome.NOT_SENT;
      default -> throw new WireException("unknown outcome " + code);
    };
  }

  private static LoadReport report(JsonArrayReader fields) throws IOException {
    Map<String, Object> values = fields.objectOrNull("serverStats");
    return values == null ? null : new LoadReport(value(values, "x0"), value(values, "x1"),
        value(values, "busy_reqs"), value(values, "pending"), value(values, "cpu_share"));
  }

  private static double value(Map<String, Object> values, String name) {
    return values.get(name) instanceof Double d ? d : Double.NaN;
  }
}
