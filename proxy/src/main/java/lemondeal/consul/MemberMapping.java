package lemondeal.consul;

import java.net.InetSocketAddress;
import lemondeal.config.Addresses;
import lemondeal.membership.Health;
import lemondeal.membership.Member;

/**
 * How the operator's file says that Consul's instances become servers: where the address, the zone, the model and the
 * cell stand. Pure. Checked at the start; an entry that can't be used is passed over and counted, never half taken.
 *
 * @param address where the address is taken from
 * @param tagged the tagged address's name, with {@link AddressFrom#TAGGED} alone
 * @param zone where the zone's name stands, or null where all are in the first zone
 * @param model where the model's name stands, or null
 * @param cell where the cell's number stands, or null
 */
public record MemberMapping(AddressSource address, String taggedName, Field zone, Field model, Field cell) {

  /** Where an instance's address is taken from. */
  public enum AddressSource {
    /** {@code Service.Address}, or the node's where it is empty: as Consul's own DNS does. */
    SERVICE,
    /** {@code Node.Address} with the service's port. */
    NODE,
    /** {@code Service.TaggedAddresses.NAME}. */
    TAGGED
  }

  /** Where a field stands: a key of the node's or the service's metadata, or a tag that begins with a prefix. */
  public enum FieldLocation { NODE_META, SERVICE_META, TAG }

  /** One field: for {@link Where#TAG} the key is the prefix, and the rest of the tag is the value. */
  public record Field(FieldLocation location, String key) {}

  /** The mapping where the operator's file names none. */
  public static final MemberMapping DEFAULT = new MemberMapping(AddressSource.SERVICE, null, null, null, null);

  /** Thrown for an entry that can't be used; the others are taken. */
  public static final class UnusableEntryException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableEntryException(String message) {
      super(message, null, false, false);
    }
  }

  /** The instance, or why it can't be used. */
  public Member member(CatalogEntry entry) throws UnusableEntryException {
    return new Member(entry.node() + "/" + entry.serviceId(), fieldValue(zone, entry), fieldValue(model, entry), cell(entry),
        address(entry), health(entry), entry.passingWeight(), entry.warningWeight(), entry.createIndex());
  }

  /**
   * The checks of an instance and its node, the worst counting: maintenance of either above all, then any critical
   * check, {@code serfHealth} among them (a node that fails or leaves), then a warning.
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
      // No names are looked up: the platform has no DNS, and a name's answer could differ from proxy to proxy.
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
      throw new UnusableEntryException(entry.node() + "/" + entry.serviceId() + ": cell '" + text + "' is no whole number");
    }
  }
}
