package lemondeal.module;

import static lemondeal.module.Rendezvous.*;

import java.util.*;
import lemondeal.Balancer.ZoneOpen;

/** How far each zone is open, as the proxies decide together. Admission is by key, so that a zone that opens
 * again regains the keys that it had; the ranking within a zone does not change. */
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
    return restriction == null || (restriction.maxSends() > 0
        && toUnitInterval(mix(request.groupHash ^ mix(server.zone))) < restriction.keyShare());
  }

  /** Whether any zone is not fully open. */
  boolean anyRestricted() {
    return !restrictions.isEmpty();
  }

  void recordSend(Server server) {
    restrictions.computeIfPresent(server.zone,
        (zone, restriction) -> restriction.maxSends() == ZoneOpen.UNLIMITED ? restriction
            : new ZoneOpen(zone, restriction.keyShare(), restriction.maxSends() - 1, 0));
  }

  /** Moves connections of the class of highest worth first: the other zones may not have capacity for all. */
  private void moveConnections(ZoneOpen restriction) {
    node.requests.values().stream()
        .filter(request -> request.established && !request.moveSent
            && request.currentServer().zone == restriction.zone()
            && !admits(request.currentServer(), request))
        .sorted(Comparator.comparingDouble(
            request -> request.requestClass == null ? 0 : -request.requestClass.worth()))
        .limit(restriction.connectionsToMove()).toList().forEach(mover::move);
  }
}
