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

/** Reads one batch of the wire, a line of JSON, into the module's events. */
final class WireReader {

  /** An event with the instance it is for; {@code event} is null where the instance was killed. */
  record Addressed(String instance, Event event) {}

  record Batch(long time, List<Addressed> events) {}

  private static final JsonFactory JSON = new JsonFactory();

  private WireReader() {}

  static Batch read(String line) {
    try (JsonParser in = JSON.createParser(line)) {
      return batch(in);
    } catch (JsonProcessingException e) {
      throw new WireException("not JSON: " + e.getOriginalMessage() + " at column "
          + e.getLocation().getColumnNr());
    } catch (IOException e) {
      throw new WireException("cannot read the batch: " + e.getMessage());
    }
  }

  private static Batch batch(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.START_OBJECT) {
      throw new WireException("a batch should be an object, found " + in.currentToken());
    }
    Long time = null;
    List<Addressed> events = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String part = in.currentName();
      JsonToken value = in.nextToken();
      if (part.equals("time")) {
        if (value != JsonToken.VALUE_NUMBER_INT) {
          throw new WireException("batch: time should be a whole number, found " + value);
        }
        time = in.getLongValue();
      } else if (part.equals("input")) {
        if (value != JsonToken.START_ARRAY) {
          throw new WireException("batch: input should be an array, found " + value);
        }
        events = events(in);
      } else {
        in.skipChildren();
      }
    }
    if (time == null || events == null) {
      throw new WireException("batch: " + (time == null ? "time" : "input") + " is missing");
    }
    if (in.nextToken() != null) {
      throw new WireException("something follows the batch on its line");
    }
    return new Batch(time, events);
  }

  private static List<Addressed> events(JsonParser in) throws IOException {
    List<Addressed> events = new ArrayList<>();
    Fields fields = new Fields(in);
    JsonToken token;
    while ((token = in.nextToken()) != JsonToken.END_ARRAY) {
      if (token != JsonToken.START_ARRAY) {
        throw new WireException("batch: an event should be an array, found " + token);
      }
      fields.open("event");
      String name = fields.text("name");
      fields.inside(name);
      String instance = fields.text("who");
      events.add(new Addressed(instance, event(name, fields)));
      fields.close();
    }
    return events;
  }

  private static Event event(String name, Fields in) throws IOException {
    return switch (name) {
      case "ENLIST" -> start(in);
      case "FLEET" -> serverList(in);
      case "NEW_REQUEST" -> arrived(in);
      case "ALREADY_OPEN" -> adopted(in);
      case "ACCEPTED" -> new Established(in.text("ref"), attempt(in), in.text("host"),
          in.whole("delaySeen"));
      case "SETTLED" -> new Ended(in.text("ref"), attempt(in), in.text("host"),
          outcome(in.text("stateCode")), in.whole("delaySeen", 0), in.flag("last"), report(in));
      case "NOTE" -> note(in);
      case "REMINDER" -> new Wake(in.whole("nonce"));
      case "FROM_PEER" -> new PeerMessage((int) in.whole("sender"), in.text("contents"));
      case "SAMPLED" -> sampled(in);
      case "EXPIRED" -> new ClientGone(in.text("ref"));
      case "KILL" -> null;
      default -> throw new WireException("unknown event " + name);
    };
  }

  private static Event start(Fields in) throws IOException {
    long seed = in.whole("nonce64");
    Map<String, Object> settings = in.objectOrNull("settings");
    if (settings == null) {
      throw new WireException("ENLIST: settings is missing");
    }
    try {
      return new Start(seed, SettingsReader.read(settings));
    } catch (ConfigException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static Event serverList(Fields in) throws IOException {
    long version = in.whole("epoch", 0);
    String word = in.text("kind");
    ListKind kind = switch (word) {
      case "Partial" -> ListKind.CHANGES;
      case "Complete" -> ListKind.FULL;
      case "Persisted" -> ListKind.SAVED;
      case "Error" -> ListKind.FAILED;
      default -> throw new WireException("FLEET: unknown kind " + word);
    };
    List<ServerEntry> entries = new ArrayList<>();
    if (in.enterArray("nodesList")) {
      while (in.nextArray("entry")) {
        in.open("FLEET entry");
        entries.add(entry(in));
        in.close();
      }
      in.open("FLEET");
    }
    return new ServerList(version, kind, entries);
  }

  private static ServerEntry entry(Fields in) throws IOException {
    int zone = (int) in.whole("zone", 0);
    int cell = (int) in.whole("unitGroup", 0);
    long born = in.whole("born", 0);
    int model = (int) in.whole("model", 0);
    String word = in.text("stageState");
    ServerState state = switch (word) {
      case "U" -> ServerState.READY;
      case "L" -> ServerState.DRAINING;
      case "D" -> ServerState.GONE;
      default -> throw new WireException("FLEET entry: unknown stageState " + word);
    };
    double weight = in.number("rating", Double.NaN);
    return new ServerEntry(in.text("host"), zone, cell, model, born, state, weight);
  }

  private static Event arrived(Fields in) throws IOException {
    String id = in.text("ref");
    long due = in.whole("due");
    int requestClass = (int) in.whole("qos", 0);
    String key = in.textOrNull("pathKey");
    String group = in.textOrNull("group");
    double cost = in.number("effort", Double.NaN);
    boolean midFlow = in.flag("midFlow");
    boolean returned = in.flag("returned");
    int tenant = (int) in.whole("party", 0);
    return new Arrived(new Request(id, due, requestClass, key, group, cost, midFlow, returned, tenant,
        in.flag("againByClient")));
  }

  private static Event adopted(Fields in) throws IOException {
    String id = in.text("ref");
    int requestClass = (int) in.whole("qos", 0);
    int tenant = (int) in.whole("party", 0);
    String key = in.textOrNull("pathKey");
    long due = in.whole("due", 0);
    double cost = in.number("effort", Double.NaN);
    String group = in.textOrNull("group");
    boolean again = in.flag("againByClient");
    boolean midFlow = in.flag("midFlow");
    boolean returned = in.flag("returned");
    return new Adopted(new Request(id, due, requestClass, key, group, cost, midFlow, returned, tenant,
        again), in.text("host"));
  }

  private static Event note(Fields in) throws IOException {
    String id = in.text("ref");
    int attempt = attempt(in);
    String server = in.text("host");
    long sort = in.whole("sort");
    double x = in.number("x", Double.NaN);
    if (sort == 1) {
      return new LoadChanged(id, attempt, server, x);
    }
    if (sort == 2) {
      return new MessageDelay(id, attempt, server, x);
    }
    throw new WireException("NOTE: unknown sort " + sort);
  }

  private static Event sampled(Fields in) throws IOException {
    Outcome outcome = outcome(in.text("stateCode"));
    return new ProbeResult(in.text("host"), outcome, in.whole("delaySeen", 0), report(in));
  }

  private static int attempt(Fields in) throws IOException {
    return (int) in.whole("n");
  }

  private static Outcome outcome(String word) {
    return switch (word) {
      case "GOOD" -> Outcome.SERVED;
      case "BAD" -> Outcome.ERROR;
      case "FULL" -> Outcome.REFUSED;
      case "LATE" -> Outcome.TIMED_OUT;
      case "NOCONN" -> Outcome.NO_CONNECTION;
      case "RST" -> Outcome.RESET;
      case "CXL" -> Outcome.CANCELLED;
      case "NOP" -> Outcome.NOT_SENT;
      default -> throw new WireException("unknown outcome " + word);
    };
  }

  private static LoadReport report(Fields in) throws IOException {
    Map<String, Object> values = in.objectOrNull("serverStats");
    return values == null ? null : new LoadReport(value(values, "x0"), value(values, "x1"),
        value(values, "busy_reqs"), value(values, "pending"), value(values, "cpu_share"));
  }

  private static double value(Map<String, Object> values, String name) {
    return values.get(name) instanceof Double d ? d : Double.NaN;
  }
}
