package lemondeal.module;

import static lemondeal.module.Rendezvous.*;

import java.util.*;
import lemondeal.Balancer.ZoneOpen;

/** How far zones are open, where the fleet decides that together. Which keys may enter is cut by key, so that
 * a zone that opens again gets back the keys that it had; the order within a zone is left alone. */
final class ZoneAdmission {
  private final NodeState node;
  private final ConnectionMover mover;
  private final Map<Integer, ZoneOpen> restrictions = new HashMap<>(0);

  ZoneAdmission(NodeState node, ConnectionMover mover) {
    this.node = node;
    this.mover = mover;
  }

  void update(ZoneOpen restriction) {
    if (restriction.keyShare() >= 1 && restriction.maxSends() == ZoneOpen.UNLIMITED) {
      restrictions.remove(restriction.zone());
    } else {
      restrictions.put(restriction.zone(), restriction);
    }
    if (restriction.connectionsToMove() > 0) {
      moveConnections(restriction);
    }
  }

  boolean admits(Server server, RequestState request) {
    ZoneOpen restriction = restrictions.isEmpty() ? null : restrictions.get(server.zone);
    return restriction == null || (restriction.maxSends() > 0 && toUnitInterval(mix(request.groupHash ^ mix(server.zone))) < restriction.keyShare());
  }

  /** Whether any zone is not open to all. */
  boolean anyRestricted() {
    return !restrictions.isEmpty();
  }

  void recordSend(Server server) {
    restrictions.computeIfPresent(server.zone, (zone, restriction) -> restriction.maxSends() == ZoneOpen.UNLIMITED ? restriction
        : new ZoneOpen(zone, restriction.keyShare(), restriction.maxSends() - 1, 0));
  }

  /** Those of the class worth most go first: what the others take may not be enough for all. */
  private void moveConnections(ZoneOpen restriction) {
    node.requests.values().stream()
        .filter(request -> request.established && !request.moveSent && request.currentServer().zone == restriction.zone() && !admits(request.currentServer(), request))
        .sorted(Comparator.comparingDouble(request -> request.requestClass == null ? 0 : -request.requestClass.worth()))
        .limit(restriction.connectionsToMove()).toList().forEach(mover::move);
  }
}
