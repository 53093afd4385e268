package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One instance of a service in the stand-in's catalogue, with its checks. Changed under the catalogue's lock alone. */
public final class Instance {
  static final String MEMBERSHIP = "serfHealth";
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
  /** Statuses by the check's id. */
  final Map<String, String> checks = new LinkedHashMap<>();
  String address = "";
  int passing = 1;
  int warning = 1;
  long createIndex;
  long modifyIndex;

  Instance(String node, String nodeAddress, String service, String id, int port) {
    this.node = node;
    this.nodeAddress = nodeAddress;
    this.service = service;
    this.id = id;
    this.port = port;
    checks.put(MEMBERSHIP, "passing");
    checks.put("service:" + id, "passing");
  }

  /** Sets {@code Weights.Warning}. */
  public void warningWeight(int weight) {
    warning = weight;
  }

  /** Sets {@code Weights.Passing}. */
  public void passingWeight(int weight) {
    passing = weight;
  }

  /** Adds a tag. */
  public void tag(String tag) {
    tags.add(tag);
  }

  /** Sets a key of the node's metadata. */
  public void nodeMeta(String key, String value) {
    nodeMeta.put(key, value);
  }

  /** Sets a key of the service's metadata. */
  public void serviceMeta(String key, String value) {
    serviceMeta.put(key, value);
  }

  /** Sets the service's own address; empty for its node's. */
  public void address(String text) {
    address = text;
  }

  static boolean isOfNode(String check) {
    return check.equals(MEMBERSHIP) || check.equals(NODE_MAINTENANCE);
  }

  /** The worst of its checks. */
  String status() {
    return checks.containsValue("critical") ? "critical" : checks.containsValue("warning") ? "warning" : "passing";
  }

  // ---- As Consul's endpoints show it ------------------------------------------------------------

  /** An entry of {@code /v1/health/service/NAME}. */
  ObjectNode health() {
    ObjectNode entry = JSON.objectNode();
    entry.set("Node", node());
    ObjectNode own = entry.putObject("Service").put("ID", id).put("Service", service);
    tags.forEach(own.putArray("Tags")::add);
    own.put("Address", address);
    own.set("Meta", texts(serviceMeta));
    own.put("Port", port).put("EnableTagOverride", false).put("CreateIndex", createIndex).put("ModifyIndex", modifyIndex);
    own.putObject("Weights").put("Passing", passing).put("Warning", warning);
    checks.forEach((check, status) -> entry.withArray("Checks").add(check(check, status)));
    return entry;
  }

  ObjectNode node() {
    ObjectNode one = JSON.objectNode().put("ID", node + "-id").put("Node", node).put("Address", nodeAddress)
        .put("Datacenter", Catalogue.DATACENTER);
    one.putObject("TaggedAddresses").put("lan", nodeAddress).put("wan", nodeAddress);
    one.set("Meta", texts(nodeMeta));
    return one;
  }

  ObjectNode check(String check, String status) {
    boolean ofNode = isOfNode(check);
    ObjectNode one = JSON.objectNode().put("Node", node).put("CheckID", check).put("Name", check).put("Status", status)
        .put("Notes", "").put("Output", "").put("ServiceID", ofNode ? "" : id).put("ServiceName", ofNode ? "" : service);
    one.putArray("ServiceTags");
    return one;
  }

  /** An entry of {@code /v1/catalog/service/NAME}. */
  ObjectNode catalogue() {
    ObjectNode entry = node();
    entry.set("NodeMeta", entry.remove("Meta"));
    entry.put("ServiceID", id).put("ServiceName", service).put("ServiceAddress", address).put("ServicePort", port)
        .put("ServiceEnableTagOverride", false).put("CreateIndex", createIndex).put("ModifyIndex", modifyIndex);
    tags.forEach(entry.putArray("ServiceTags")::add);
    entry.set("ServiceMeta", texts(serviceMeta));
    entry.putObject("ServiceWeights").put("Passing", passing).put("Warning", warning);
    return entry;
  }

  private static ObjectNode texts(Map<String, String> values) {
    ObjectNode node = JSON.objectNode();
    values.forEach(node::put);
    return node;
  }
}
