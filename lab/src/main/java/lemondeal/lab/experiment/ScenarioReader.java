package lemondeal.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import lemondeal.lab.emulator.Fault;
import lemondeal.lab.emulator.Scenario;

/** Reads the scenario of an experiment's file, after validation against the schema. */
final class ScenarioReader {
  private final BiConsumer<String, String> errorHandler;

  /** @param errorHandler receives the location in the file and a description of the error */
  ScenarioReader(BiConsumer<String, String> errorHandler) {
    this.errorHandler = errorHandler;
  }

  Scenario read(JsonNode node) {
    List<Scenario.ServerPool> pools = new ArrayList<>();
    node.path("fleets").forEach(poolNode -> pools.add(pool(poolNode)));
    List<Scenario.ClientClass> classes = new ArrayList<>();
    node.path("classes").forEach(classNode -> classes.add(clientClass(classNode)));
    List<Scenario.Burst> bursts = new ArrayList<>();
    node.path("bursts").forEach(burstNode -> bursts.add(new Scenario.Burst(time(burstNode, "at", 0),
        time(burstNode, "for", 0), burstNode.path("factor").asDouble(1))));
    JsonNode groups = node.path("groups");
    JsonNode network = node.path("network");
    JsonNode store = node.path("store");
    JsonNode discovery = node.path("discovery");
    JsonNode frontEnd = node.path("front");
    JsonNode rules = node.path("rules");
    int zoneCount = node.path("zones").asInt(1);
    return new Scenario(node.path("seconds").asInt(), node.path("settle").asInt(0), zoneCount,
        node.path("proxies").asInt(1), pools, classes, node.path("per_second").asDouble(), bursts,
        groups.path("count").asInt(0), groups.path("zipf").asDouble(0), groups.path("load").asDouble(0) * 1_000,
        new Scenario.Network(time(network, "near", 500), time(network, "far", 1_500)),
        new Scenario.Store(store.path("per_second").asDouble(0), time(store, "takes", 0)),
        new Scenario.Discovery(discovery.path("per_second").asDouble(200), time(discovery, "delay", 500_000),
            time(discovery, "patience", 2 * Scenario.SECOND)),
        new Scenario.FrontEnd(time(frontEnd, "late", 2 * Scenario.SECOND), time(frontEnd, "retry", 200_000),
            time(frontEnd, "retry_most", 4 * Scenario.SECOND), time(frontEnd, "move", 200_000),
            frontEnd.path("give_up").asInt(12)),
        new Scenario.Rules(time(rules, "answer_slack", 20_000), time(rules, "drain_grace", Scenario.SECOND),
            rules.path("cold_multiple").asDouble(4), time(rules, "cold_window", 2 * Scenario.SECOND)),
        faults(node, pools, zoneCount));
  }

  private static Scenario.ServerPool pool(JsonNode node) {
    double cores = node.path("cores").asDouble(1);
    return new Scenario.ServerPool(node.path("name").asText(), node.path("count").asInt(1), cores,
        node.path("weight").asDouble(cores), node.path("slots").asInt(4_000), node.path("room").asInt(64),
        node.path("cold_from").asDouble(1), time(node, "warm_within", 0), node.path("choke").asDouble(0));
  }

  private static Scenario.ClientClass clientClass(JsonNode node) {
    return new Scenario.ClientClass(node.path("name").asText(), node.path("share").asDouble(1),
        node.path("load").asDouble(0) * 1_000, node.path("load_sigma").asDouble(0),
        node.path("swing_sigma").asDouble(0), time(node, "change_every", 0), time(node, "life", 30 * Scenario.SECOND),
        node.path("life").isMissingNode() || node.path("memoryless").asBoolean(false) ? -1
            : node.path("life_sigma").asDouble(0),
        time(node, "setup", 0), node.path("setup_memoryless").asBoolean(false), time(node, "aim", 500_000),
        time(node, "message_aim", 300_000), time(node, "deadline", 2 * Scenario.SECOND),
        node.path("worth").asDouble(1));
  }

  private List<Fault> faults(JsonNode node, List<Scenario.ServerPool> pools, int zoneCount) {
    List<String> poolNames = pools.stream().map(Scenario.ServerPool::name).toList();
    List<Fault> faults = new ArrayList<>();
    int index = 0;
    for (JsonNode text : node.path("faults")) {
      try {
        faults.add(Expressions.parseFault(text.asText(), poolNames, zoneCount));
      } catch (ExpressionException e) {
        errorHandler.accept("scenario.faults[" + index + "]", e.getMessage());
      }
      index++;
    }
    return faults;
  }

  private static long time(JsonNode node, String key, long defaultMicros) {
    return node.has(key) ? Expressions.parseMicros(node.get(key).asText()) : defaultMicros;
  }
}
