package lemondeal.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import lemondeal.lab.emulator.Fault;
import lemondeal.lab.emulator.Scenario;

/** Makes a scenario of the part of an experiment's file that describes it, which the schema has passed. */
final class ScenarioReader {
  private final BiConsumer<String, String> fault;

  /** @param fault takes the place in the file and what is wrong there */
  ScenarioReader(BiConsumer<String, String> fault) {
    this.fault = fault;
  }

  Scenario read(JsonNode in) {
    List<Scenario.Fleet> fleets = new ArrayList<>();
    in.path("fleets").forEach(fleet -> fleets.add(fleet(fleet)));
    List<Scenario.ClientClass> classes = new ArrayList<>();
    in.path("classes").forEach(one -> classes.add(clientClass(one)));
    List<Scenario.Burst> bursts = new ArrayList<>();
    in.path("bursts").forEach(burst -> bursts.add(new Scenario.Burst(time(burst, "at", 0), time(burst, "for", 0),
        burst.path("factor").asDouble(1))));
    JsonNode groups = in.path("groups");
    JsonNode network = in.path("network");
    JsonNode store = in.path("store");
    JsonNode discovery = in.path("discovery");
    JsonNode front = in.path("front");
    JsonNode rules = in.path("rules");
    int zones = in.path("zones").asInt(1);
    return new Scenario(in.path("seconds").asInt(), in.path("settle").asInt(0), zones, in.path("proxies").asInt(1), fleets, classes,
        in.path("per_second").asDouble(), bursts, groups.path("count").asInt(0), groups.path("zipf").asDouble(0),
        groups.path("load").asDouble(0) * 1_000,
        new Scenario.Network(time(network, "near", 500), time(network, "far", 1_500)),
        new Scenario.Store(store.path("per_second").asDouble(0), time(store, "takes", 0)),
        new Scenario.Discovery(discovery.path("per_second").asDouble(200), time(discovery, "delay", 500_000),
            time(discovery, "patience", 2 * Scenario.SECOND)),
        new Scenario.Front(time(front, "late", 2 * Scenario.SECOND), time(front, "retry", 200_000),
            time(front, "retry_most", 4 * Scenario.SECOND), time(front, "move", 200_000), front.path("give_up").asInt(12)),
        new Scenario.Rules(time(rules, "answer_slack", 20_000), time(rules, "drain_grace", Scenario.SECOND),
            rules.path("cold_multiple").asDouble(4), time(rules, "cold_window", 2 * Scenario.SECOND)),
        faults(in, fleets, zones));
  }

  private static Scenario.Fleet fleet(JsonNode in) {
    double cores = in.path("cores").asDouble(1);
    return new Scenario.Fleet(in.path("name").asText(), in.path("count").asInt(1), cores,
        in.path("weight").asDouble(cores), in.path("slots").asInt(4_000), in.path("room").asInt(64),
        in.path("cold_from").asDouble(1), time(in, "warm_within", 0), in.path("choke").asDouble(0));
  }

  private static Scenario.ClientClass clientClass(JsonNode in) {
    return new Scenario.ClientClass(in.path("name").asText(), in.path("share").asDouble(1),
        in.path("load").asDouble(0) * 1_000, in.path("load_sigma").asDouble(0), in.path("swing_sigma").asDouble(0),
        time(in, "change_every", 0), time(in, "life", 30 * Scenario.SECOND),
        in.path("life").isMissingNode() || in.path("memoryless").asBoolean(false) ? -1 : in.path("life_sigma").asDouble(0),
        time(in, "setup", 0), in.path("setup_memoryless").asBoolean(false), time(in, "aim", 500_000),
        time(in, "message_aim", 300_000), time(in, "deadline", 2 * Scenario.SECOND), in.path("worth").asDouble(1));
  }

  private List<Fault> faults(JsonNode in, List<Scenario.Fleet> fleets, int zones) {
    List<String> names = fleets.stream().map(Scenario.Fleet::name).toList();
    List<Fault> faults = new ArrayList<>();
    int number = 0;
    for (JsonNode text : in.path("faults")) {
      try {
        faults.add(Expressions.fault(text.asText(), names, zones));
      } catch (ExpressionException e) {
        fault.accept("scenario.faults[" + number + "]", e.getMessage());
      }
      number++;
    }
    return faults;
  }

  private static long time(JsonNode in, String key, long otherwise) {
    return in.has(key) ? Expressions.micros(in.get(key).asText()) : otherwise;
  }
}
