package lemondeal.module;

// The interface of this module (settings, events, actions) is in Balancer.java in the parent directory.

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer;

/** The decision module of one node: creates its parts, listed in package-info, and dispatches events to
 * them. */
public final class DecisionModule implements Balancer {
  private final NodeState node = new NodeState();
  private final ConnectionMover mover = new ConnectionMover(node);
  private final LoadEstimator load = new LoadEstimator(node);
  private final GroupShedding groupShedding = new GroupShedding(node, mover);
  private final ServerShedding serverShedding = new ServerShedding(node, mover, groupShedding);
  private final Health health = new Health(node, mover, load, serverShedding);
  private final SlowStart slowStart = new SlowStart(node, load);
  private final ZoneAdmission zoneAdmission = new ZoneAdmission(node, mover);
  private final SetupLimiter setupLimiter = new SetupLimiter(node);
  private final Ranking ranking = new Ranking(node, load, health, serverShedding, slowStart, zoneAdmission);
  private final RequestLifecycle requestLifecycle = new RequestLifecycle(node, load, health, groupShedding,
      slowStart, setupLimiter, ranking, zoneAdmission);
  private final Membership membership = new Membership(node);

  @Override
  public List<Action> on(long now, Event event) {
    node.now = now;
    node.actions = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      requestLifecycle.arrived(e.request());
    } else if (event instanceof Ended e) {
      requestLifecycle.ended(e);
    } else if (event instanceof Established e) {
      requestLifecycle.established(e);
    } else if (event instanceof Wake e && e.token() == Membership.SUBSCRIBE_TOKEN) {
      membership.subscribe();
    } else if (event instanceof Wake e) {
      requestLifecycle.wakeUp(e.token());
    } else if (event instanceof ServerList e) {
      membership.applyList(e);
    } else if (event instanceof ListValidity e) {
      node.listValidity = e;
    } else if (event instanceof ClientGone e) {
      requestLifecycle.clientGone(e.id());
    } else if (event instanceof MessageDelay e) {
      serverShedding.messageDelay(e);
    } else if (event instanceof LoadChanged e) {
      groupShedding.recordLoad(node.requests.get(e.id()), e.load());
    } else if (event instanceof Unanswered e && node.servers.containsKey(e.server())) {
      health.unanswered(node.servers.get(e.server()));
    } else if (event instanceof ProbeResult e && node.servers.containsKey(e.server())) {
      requestLifecycle.probed(e);
    } else if (event instanceof Adopted e) {
      requestLifecycle.adopted(e);
    } else if (event instanceof ZoneOpen e) {
      zoneAdmission.update(e);
    } else if (event instanceof Start e) {
      node.start(e);
      groupShedding.start();
      membership.start();
    }
    requestLifecycle.drainQueue();
    return node.actions;
  }

  @Override
  public ServerSummary serverSummary(long now) {
    node.now = now;
    return new ServerSummary(membership.listReceived, node.listedServers.length, ranking.avoidedCount());
  }
}
