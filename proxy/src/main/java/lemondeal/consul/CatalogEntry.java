package lemondeal.consul;

import java.util.List;
import java.util.Map;

/**
 * One instance of a service as Consul's health endpoint lists it: its node, the service itself and the checks of both.
 * Values are the catalog's own; empty strings and maps where it has none.
 *
 * @param node the node's name, unique within a datacenter
 * @param nodeAddress the node's address
 * @param nodeMeta the node's metadata
 * @param serviceId unique only within its node: two nodes may use the same id
 * @param serviceAddress empty if the service uses its node's address
 * @param port the service's port
 * @param tags the service's tags, in their order
 * @param serviceMeta the service's metadata
 * @param taggedAddresses the service's tagged addresses, each "address:port"
 * @param passingWeight {@code Weights.Passing}, 1 if none is given
 * @param warningWeight {@code Weights.Warning}, 1 if none is given
 * @param createIndex the index at which the service was registered; changes when it registers again
 * @param checks of the service and of its node
 */
public record CatalogEntry(String node, String nodeAddress, Map<String, String> nodeMeta, String serviceId,
    String serviceAddress, int port, List<String> tags, Map<String, String> serviceMeta,
    Map<String, String> taggedAddresses, int passingWeight, int warningWeight, long createIndex, List<Check> checks) {

  /**
   * One health check.
   *
   * @param id such as {@code serfHealth}, {@code _node_maintenance} or {@code _service_maintenance:ID}
   * @param serviceId empty for a check of the node
   * @param status passing, warning or critical
   */
  public record Check(String id, String serviceId, String status) {}
}
