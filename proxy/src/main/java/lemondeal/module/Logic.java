package lemondeal.module;

// The interface of this module (settings, events, actions) is the file Balancer.java in the folder above.

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer;

/** The decision module of one node: wires its parts, which the package lists, and hands them each event. */
public final class Logic implements Balancer {
  private final Node node = new Node();
  private final Moves moves = new Moves(node);
  private final Load load = new Load(node);
  private final Groups groups = new Groups(node, moves);
  private final Shedding shedding = new Shedding(node, moves, groups);
  private final Health health = new Health(node, moves, load, shedding);
  private final ColdAdmission cold = new ColdAdmission(node, load);
  private final ZoneAdmission zoneAdmission = new ZoneAdmission(node, moves);
  private final Setups setups = new Setups(node);
  private final Ranking ranking = new Ranking(node, load, health, shedding, cold, zoneAdmission);
  private final Requests requests = new Requests(node, load, health, groups, cold, setups, ranking,
      zoneAdmission);
  private final Membership membership = new Membership(node);

  @Override
  public List<Action> on(long now, Event event) {
    node.now = now;
    node.out = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      requests.arrived(e.request());
    } else if (event instanceof Ended e) {
      requests.ended(e);
    } else if (event instanceof Established e) {
      requests.established(e);
    } else if (event instanceof Wake e && e.token() == Membership.TOKEN_ASK) {
      membership.ask();
    } else if (event instanceof Wake e) {
      requests.wake(e.token());
    } else if (event instanceof ServerList e) {
      membership.serverList(e);
    } else if (event instanceof ClientGone e) {
      requests.clientGone(e.id());
    } else if (event instanceof MessageDelay e) {
      shedding.messageDelay(e);
    } else if (event instanceof LoadChanged e) {
      groups.weigh(node.flows.get(e.id()), e.load());
    } else if (event instanceof Unanswered e && node.servers.containsKey(e.server())) {
      health.unanswered(node.servers.get(e.server()));
    } else if (event instanceof ProbeResult e && node.servers.containsKey(e.server())) {
      requests.probed(e);
    } else if (event instanceof Adopted e) {
      requests.adopted(e);
    } else if (event instanceof ZoneOpen e) {
      zoneAdmission.told(e);
    } else if (event instanceof Start e) {
      node.start(e);
      groups.start();
      membership.start();
    }
    requests.drainQueue();
    return node.out;
  }

  @Override
  public Standing standing(long at) {
    node.now = at;
    return new Standing(membership.listed, node.fleet.length, ranking.avoided());
  }
}
