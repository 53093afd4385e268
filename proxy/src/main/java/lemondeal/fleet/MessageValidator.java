package lemondeal.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Validates messages from the other proxies. Accepts a row if its owner is a configured member, the owner sent it
 * itself, and the message echoes a recent row of this proxy, which bounds its age; anything else is dropped and
 * counted. Does no I/O; its only state is the last row received of each member and the counters. Used on the I/O
 * thread.
 */
final class MessageValidator {
  private final FleetRoster roster;
  private final String self;
  private final SentRows sentRows;
  private final Map<String, FleetMessage.Echo> lastReceived = new HashMap<>();
  private final Map<DropReason, Long> dropCounts = new EnumMap<>(DropReason.class);

  MessageValidator(FleetRoster roster, String self, SentRows sentRows) {
    this.roster = roster;
    this.self = self;
    this.sentRows = sentRows;
  }

  /**
   * The row to be merged, or null if the message was dropped.
   *
   * @param sender the proxy from which the message came, according to the transport
   */
  TimedRow validate(String sender, byte[] bytes, long nowMillis) {
    FleetMessage message;
    try {
      message = FleetMessage.decode(bytes);
    } catch (FleetMessage.InvalidMessageException e) {
      return drop(e.reason());
    }
    MemberRow row = message.row();
    if (!roster.contains(sender) || !roster.contains(row.owner())) {
      return drop(DropReason.UNNAMED);
    }
    if (!row.owner().equals(sender) || row.owner().equals(self)) {
      return drop(DropReason.FOREIGN);
    }
    if (sentRows.wasNeverSent(message.echo()) || !Sections.isValid(row.content())) {
      return drop(DropReason.GARBLED);
    }
    lastReceived.put(sender, new FleetMessage.Echo(row.incarnation(), row.sequence()));
    if (!sentRows.boundsAge(message.echo())) {
      return drop(DropReason.UNPROVEN);
    }
    return new TimedRow(row, Math.min(nowMillis - row.ageMillis(), sentRows.sentAt(message.echo())));
  }

  /** Identifies the last row received of this owner, to be echoed to it; null if there is none. */
  FleetMessage.Echo lastReceived(String owner) {
    return lastReceived.get(owner);
  }

  private TimedRow drop(DropReason reason) {
    dropCounts.merge(reason, 1L, Long::sum);
    return null;
  }

  long dropCount(DropReason reason) {
    return dropCounts.getOrDefault(reason, 0L);
  }
}
