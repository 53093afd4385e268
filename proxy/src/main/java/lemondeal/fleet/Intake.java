package lemondeal.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Judges what comes from the other proxies: a row of one that is named, told by itself, of which is known when it was
 * made; all else is dropped and counted. Pure but for what it remembers of whom it heard; on the I/O thread.
 */
final class Intake {
  private final FleetRoster roster;
  private final String self;
  private final Sent sent;
  private final Map<String, Letter.Echo> heard = new HashMap<>();
  private final Map<Drop, Long> drops = new EnumMap<>(Drop.class);

  Intake(FleetRoster roster, String self, Sent sent) {
    this.roster = roster;
    this.self = self;
    this.sent = sent;
  }

  /**
   * The row to be merged, or null where the bytes were dropped.
   *
   * @param sender the proxy that the transport says they came from
   */
  HeldRow take(String sender, byte[] bytes, long nowMillis) {
    Letter letter;
    try {
      letter = Letter.read(bytes);
    } catch (Letter.Unusable e) {
      return drop(e.why());
    }
    Row row = letter.row();
    if (!roster.names(sender) || !roster.names(row.owner())) {
      return drop(Drop.UNNAMED);
    }
    if (!row.owner().equals(sender) || row.owner().equals(self)) {
      return drop(Drop.FOREIGN);
    }
    if (sent.isUntrue(letter.echo()) || !Sections.areIn(row.content())) {
      return drop(Drop.GARBLED);
    }
    heard.put(sender, new Letter.Echo(row.incarnation(), row.sequence()));
    if (!sent.proves(letter.echo())) {
      return drop(Drop.UNPROVEN);
    }
    return new HeldRow(row, Math.min(nowMillis - row.ageMillis(), sent.at(letter.echo())));
  }

  /** The row heard last of this owner, to be echoed to it; null where there is none. */
  Letter.Echo heard(String owner) {
    return heard.get(owner);
  }

  private HeldRow drop(Drop why) {
    drops.merge(why, 1L, Long::sum);
    return null;
  }

  long dropped(Drop why) {
    return drops.getOrDefault(why, 0L);
  }
}
