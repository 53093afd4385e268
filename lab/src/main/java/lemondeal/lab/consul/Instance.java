package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A service instance in the fake Consul's catalogue, with its checks. Guarded by the catalogue's lock. */
public final class Instance {
  static final String SERF_HEALTH = "serfHealth";
  static final String NODE_MAINTENANCE = "_node_maintenance";
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  final String node;
  final String nodeAddress;
  final String id;
  final String service;
  final int port;
  final List<String> tags = new ArrayList<>();
  final Map<String, String> nodeMeta = new LinkedHashMap<>();
  final Map<String, String> serviceMeta = new LinkedHashMap<>();
  /** Statuses by check id. */
  final Map<String, String> checks = new LinkedHashMap<>();
  String address = "";
  int passingWeight = 1;
  int warningWeight = 1;
  long createIndex;
  long modifyIndex;

  Instance(String node, String nodeAddress, String service, String id, int port) {
    this.node = node;
    this.nodeAddress = nodeAddress;
    this.service = service;
    this.id = id;
    this.port = port;
    checks.put(SERF_HEALTH, "passing");
    checks.put("service:" + id, "passing");
  }

  /** Sets {@code Weights.Warning}. */
  public void setWarningWeight(int weight) {
    warningWeight = weight;
  }

  /** Sets {@code Weights.Passing}. */
  public void setPassingWeight(int weight) {
    passingWeight = weight;
  }

  public void addTag(String tag) {
    tags.add(tag);
  }

  /** Sets a key of the node's metadata. */
  public void putNodeMeta(String key, String value) {
    nodeMeta.put(key, value);
  }

  /** Sets a key of the service's metadata. */
  public void putServiceMeta(String key, String value) {
    serviceMeta.put(key, value);
  }

  /** Sets the service address; empty means the node's address. */
  public void setAddress(String text) {
    address = text;
  }

  static boolean isNodeCheck(String check) {
    return check.equals(SERF_HEALTH) || check.equals(NODE_MAINTENANCE);
  }

  /** Returns the worst status of all checks. */
  String worstStatus() {
    return checks.containsValue("critical") ? "critical" : checks.containsValue("warning") ? "warning" : "passing";
  }

  // ---- JSON of Consul's endpoints ------------------------------------------------------------

  /** Returns the entry of {@code /v1/health/service/NAME}. */
  ObjectNode healthEntry() {
    ObjectNode entry = JSON.objectNode();
    entry.set("Node", nodeEntry());
    ObjectNode serviceEntry = entry.putObject("Service").put("ID", id).put("Service", service);
    tags.forEach(serviceEntry.putArray("Tags")::add);
    serviceEntry.put("Address", address);
    serviceEntry.set("Meta", textObject(serviceMeta));
    serviceEntry.put("Port", port).put("EnableTagOverride", false).put("CreateIndex", createIndex)
        .put("ModifyIndex", modifyIndex);
    serviceEntry.putObject("Weights").put("Passing", passingWeight).put("Warning", warningWeight);
    checks.forEach((check, status) -> entry.withArray("Checks").add(checkEntry(check, status)));
    return entry;
  }

  ObjectNode nodeEntry() {
    ObjectNode entry = JSON.objectNode().put("ID", node + "-id").put("Node", node).put("Address", nodeAddress)
        .put("Datacenter", Catalogue.DATACENTER);
    entry.putObject("TaggedAddresses").put("lan", nodeAddress).put("wan", nodeAddress);
    entry.set("Meta", textObject(nodeMeta));
    return entry;
  }

  ObjectNode checkEntry(String check, String status) {
    boolean nodeCheck = isNodeCheck(check);
    ObjectNode entry = JSON.objectNode().put("Node", node).put("CheckID", check).put("Name", check)
        .put("Status", status).put("Notes", "").put("Output", "").put("ServiceID", nodeCheck ? "" : id)
        .put("ServiceName", nodeCheck ? "" : service);
    entry.putArray("ServiceTags");
    return entry;
  }

  /** Returns the entry of {@code /v1/catalog/service/NAME}. */
  ObjectNode catalogueEntry() {
    ObjectNode entry = nodeEntry();
    entry.set("NodeMeta", entry.remove("Meta"));
    entry.put("ServiceID", id).put("ServiceName", service).put("ServiceAddress", address).put("ServicePort", port)
        .put("ServiceEnableTagOverride", false).put("CreateIndex", createIndex).put("ModifyIndex", modifyIndex);
    tags.forEach(entry.putArray("ServiceTags")::add);
    entry.set("ServiceMeta", textObject(serviceMeta));
    entry.putObject("ServiceWeights").put("Passing", passingWeight).put("Warning", warningWeight);
    return entry;
  }

  private static ObjectNode textObject(Map<String, String> values) {
    ObjectNode object = JSON.objectNode();
    values.forEach(object::put);
    return object;
  }
}
