package lemondeal.consul;

import java.net.InetSocketAddress;
import lemondeal.config.Addresses;
import lemondeal.membership.Health;
import lemondeal.membership.Member;

/**
 * How the operator's file maps Consul's instances to servers: where the address, the zone, the model and the cell are
 * read from. Pure. Validated at startup; an entry that can't be used is skipped as a whole and counted.
 *
 * @param address where the address is read from
 * @param taggedName the tagged address's name, only with {@link AddressSource#TAGGED}
 * @param zone where the zone's name is read from, or null if all servers are in the first zone
 * @param model where the model's name is read from, or null
 * @param cell where the cell's number is read from, or null
 */
public record MemberMapping(AddressSource address, String taggedName, Field zone, Field model, Field cell) {

  /** Where an instance's address is read from. */
  public enum AddressSource {
    /** {@code Service.Address}, or the node's if it is empty, as in Consul's own DNS. */
    SERVICE,
    /** {@code Node.Address} with the service's port. */
    NODE,
    /** {@code Service.TaggedAddresses.NAME}. */
    TAGGED
  }

  /** Where a field is read from: a key of the node's or the service's metadata, or a tag with a prefix. */
  public enum FieldLocation { NODE_META, SERVICE_META, TAG }

  /** One field: for {@link FieldLocation#TAG} the key is the prefix, and the rest of the tag is the value. */
  public record Field(FieldLocation location, String key) {}

  /** The mapping if the operator's file has none. */
  public static final MemberMapping DEFAULT = new MemberMapping(AddressSource.SERVICE, null, null, null, null);

  /** Thrown for an entry that can't be used; the other entries still are. */
  public static final class UnusableEntryException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableEntryException(String message) {
      super(message, null, false, false);
    }
  }

  /** Maps the entry to a member, or throws with the reason why it can't be used. */
  public Member member(CatalogEntry entry) throws UnusableEntryException {
    return new Member(entry.node() + "/" + entry.serviceId(), fieldValue(zone, entry), fieldValue(model, entry),
        cell(entry), address(entry), health(entry), entry.passingWeight(), entry.warningWeight(), entry.createIndex());
  }

  /**
   * The health of an instance and its node, where the worst check counts: maintenance of either first, then any
   * critical check, including {@code serfHealth} (the node failed or is leaving), then a warning.
   */
  public static Health health(CatalogEntry entry) {
    boolean maintenance = false;
    boolean critical = false;
    boolean warning = false;
    for (CatalogEntry.Check check : entry.checks()) {
      if (check.id().equals("_node_maintenance") || check.id().equals("_service_maintenance:" + entry.serviceId())) {
        maintenance |= !check.status().equals("passing");
      } else if (check.serviceId().isEmpty() || check.serviceId().equals(entry.serviceId())) {
        critical |= check.status().equals("critical");
        warning |= check.status().equals("warning");
      }
    }
    return maintenance ? Health.MAINTENANCE : critical ? Health.CRITICAL : warning ? Health.WARNING : Health.PASSING;
  }

  private InetSocketAddress address(CatalogEntry entry) throws UnusableEntryException {
    String text = switch (address) {
      case SERVICE -> (entry.serviceAddress().isEmpty() ? entry.nodeAddress() : entry.serviceAddress()) + ":"
          + entry.port();
      case NODE -> entry.nodeAddress() + ":" + entry.port();
      case TAGGED -> entry.taggedAddresses().getOrDefault(taggedName, "");
    };
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException e) {
      // Host names are not resolved: the platform has no DNS, and the result could differ between proxies.
      throw new UnusableEntryException(entry.node() + "/" + entry.serviceId() + ": " + e.getMessage());
    }
  }

  private static String fieldValue(Field field, CatalogEntry entry) {
    if (field == null) {
      return "";
    }
    return switch (field.location()) {
      case NODE_META -> entry.nodeMeta().getOrDefault(field.key(), "");
      case SERVICE_META -> entry.serviceMeta().getOrDefault(field.key(), "");
      case TAG -> entry.tags().stream().filter(tag -> tag.startsWith(field.key())).findFirst()
          .map(tag -> tag.substring(field.key().length())).orElse("");
    };
  }

  private int cell(CatalogEntry entry) throws UnusableEntryException {
    String text = fieldValue(cell, entry);
    if (text.isEmpty()) {
      return 0;
    }
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new UnusableEntryException(entry.node() + "/" + entry.serviceId() + ": cell '" + text
          + "' is not an integer");
    }
  }
}
