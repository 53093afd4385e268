package lemondeal.module;

import static lemondeal.module.Rendezvous.*;

import java.util.*;
import lemondeal.Balancer.ZoneOpen;

/** How far zones are open, where the fleet decides that together. Which keys may enter is cut by key, so that
 * a zone that opens again gets back the keys that it had; the order within a zone is left alone. */
final class ZoneAdmission {
  private final Node node;
  private final Moves moves;
  private final Map<Integer, ZoneOpen> doors = new HashMap<>(0);

  ZoneAdmission(Node node, Moves moves) {
    this.node = node;
    this.moves = moves;
  }

  void told(ZoneOpen door) {
    if (door.share() >= 1 && door.sends() == ZoneOpen.ANY) {
      doors.remove(door.zone());
    } else {
      doors.put(door.zone(), door);
    }
    if (door.leave() > 0) {
      leave(door);
    }
  }

  boolean admits(Server s, Flow flow) {
    ZoneOpen door = doors.isEmpty() ? null : doors.get(s.zone);
    return door == null || (door.sends() > 0 && unit(mix(flow.groupHash ^ mix(s.zone))) < door.share());
  }

  /** Whether any zone is not open to all. */
  boolean closed() {
    return !doors.isEmpty();
  }

  void sent(Server s) {
    doors.computeIfPresent(s.zone, (zone, door) -> door.sends() == ZoneOpen.ANY ? door
        : new ZoneOpen(zone, door.share(), door.sends() - 1, 0));
  }

  /** Those of the class worth most go first: what the others take may not be enough for all. */
  private void leave(ZoneOpen door) {
    node.flows.values().stream()
        .filter(f -> f.established && !f.moving && f.server().zone == door.zone() && !admits(f.server(), f))
        .sorted(Comparator.comparingDouble(f -> f.type == null ? 0 : -f.type.worth()))
        .limit(door.leave()).toList().forEach(moves::move);
  }
}
