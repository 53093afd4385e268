package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.Balancer;

/**
 * A module that places within what the fleet decided of its zones. Stands between the proxy and its module: what the
 * module hears is evidence, and how far zones are open is told to it before each event, so that no share outlives a stall
 * of the process. Pure: rows go in by {@link #hear} and out by {@link Side}. A proxy without such a section runs none of it.
 */
public final class EvacuatingBalancer implements Balancer {
  /** A wake-up of this token is for looking around alone; the module hears nothing of it. */
  public static final long CHECK_TOKEN = -1;
  /** Milliseconds between two looks. */
  public static final long CHECK_INTERVAL_MILLIS = 50;

  /** What is told outside. */
  public interface Callbacks {
    /** The content of the own next row. */
    void publishReport(byte[] content);

    /** A decision became known; {@code state} is to be kept on disk. */
    void onDecision(Evacuation.Decision decision, EvacuationState state);

    /** From now on this proxy stands so to the zone; told when the state changes. */
    void onAccessChange(ZoneAccess access);

    /** Proxies heard of for certain, this one included. */
    int liveMembers();
  }

  private final Balancer module;
  private final Evacuation evacuation;
  private final ZoneRateLimiter rateLimiter;
  private final Callbacks callbacks;
  private final MoveBudget moveBudget;
  private final long reportInterval;
  private final ZoneObserver observer;
  private final Map<Integer, ZoneOpen> zoneLimits = new TreeMap<>();
  private final Map<Integer, ZoneAccess.State> states = new TreeMap<>();
  private boolean started;
  private long lastCheckAt;
  private long lastReportAt;

  /**
   * @param movesPerSecond standing connections that leave a zone, of all proxies together
   * @param tell milliseconds between two rows
   */
  public EvacuatingBalancer(Balancer module, ZoneMembership membership, Evacuation evacuation, double movesPerSecond, long reportInterval, Callbacks callbacks, long now) {
    this.module = module;
    this.evacuation = evacuation;
    this.callbacks = callbacks;
    this.reportInterval = reportInterval;
    rateLimiter = new ZoneRateLimiter(membership, now);
    moveBudget = new MoveBudget(movesPerSecond, membership.size());
    observer = new ZoneObserver(evacuation.healthTracker());
    lastCheckAt = now - CHECK_INTERVAL_MILLIS;
    lastReportAt = now - reportInterval;
  }

  /** Takes the newest content of a proxy's row. */
  public void receiveReport(String owner, byte[] content) {
    evacuation.receiveReport(owner, content);
  }

  @Override
  public List<Action> on(long now, Event event) {
    List<Action> result = new ArrayList<>();
    long millis = now / 1_000;
    if (event instanceof Start e) {
      observer.start(e.settings());
      started = true;
    } else if (started && millis - lastCheckAt >= CHECK_INTERVAL_MILLIS) {
      check(now, result);
    }
    if (event instanceof Wake e && e.token() == CHECK_TOKEN || observer.observe(millis, event)) {
      return result;
    }
    List<Action> moduleActions = module.on(now, event);
    result.addAll(moduleActions);
    if (event instanceof ServerList && started) {
      // Before anybody can be sent to a server that is new here: its zone may have been left.
      check(now, result);
    } else if (recordLimitedSends(moduleActions)) {
      updateZoneLimits(now, result);
    }
    return result;
  }

  private void check(long now, List<Action> result) {
    long millis = now / 1_000;
    observer.refreshListAge(millis);
    for (Evacuation.Decision decision : evacuation.tick(millis)) {
      callbacks.onDecision(decision, evacuation.state());
    }
    moveBudget.refill(millis - lastCheckAt, callbacks.liveMembers());
    lastCheckAt = millis;
    updateZoneLimits(now, result);
    for (ZoneOpen limit : zoneLimits.values()) {
      if (limit.keyShare() == 0) {
        result.addAll(observer.probe(limit.zone(), millis));
      }
    }
    if (evacuation.reportDue() || millis - lastReportAt >= reportInterval) {
      lastReportAt = millis;
      callbacks.publishReport(evacuation.nextReport(millis));
    }
  }

  /** Tells the module what changed of the zones' doors, and whom to move out of a zone that is left. */
  private void updateZoneLimits(long now, List<Action> result) {
    long millis = now / 1_000;
    for (ZoneAccess access : evacuation.accesses(millis)) {
      if (states.put(access.zone(), access.state()) != access.state()) {
        callbacks.onAccessChange(access);
      }
      int moves = access.state() == ZoneAccess.State.CLOSED ? moveBudget.takeWholeTokens() : 0;
      ZoneOpen limit = new ZoneOpen(access.zone(), access.openShare(), rateLimiter.available(access, millis), 0);
      if (moves > 0 || !limit.equals(zoneLimits.get(limit.zone())) && !(isUnlimited(limit) && !zoneLimits.containsKey(limit.zone()))) {
        zoneLimits.put(limit.zone(), limit);
        List<Action> moved = module.on(now, new ZoneOpen(limit.zone(), limit.keyShare(), limit.maxSends(), moves));
        moveBudget.refund(moves - (int) moved.stream().filter(Move.class::isInstance).count());
        result.addAll(moved);
      }
    }
  }

  private static boolean isUnlimited(ZoneOpen limit) {
    return limit.keyShare() >= 1 && limit.maxSends() == ZoneOpen.UNLIMITED;
  }

  private boolean recordLimitedSends(List<Action> actions) {
    boolean limited = false;
    for (Action action : actions) {
      if (action instanceof Send send) {
        ZoneOpen limit = zoneLimits.get(observer.zoneOf(send.server()));
        if (limit != null && !isUnlimited(limit)) {
          rateLimiter.recordSend(limit.zone());
          limited = true;
        }
      }
    }
    return limited;
  }

  /** While a starting proxy asks what was decided, it is not to be sent clients. */
  @Override
  public ServerSummary serverSummary(long now) {
    ServerSummary standing = module.serverSummary(now);
    boolean starting = evacuation.accesses(now / 1_000).stream().anyMatch(access -> access.state() == ZoneAccess.State.ASKING);
    return new ServerSummary(standing.listReceived() && !starting, standing.known(), standing.avoided());
  }

  /** How far each zone is open by what was last told, for the figures. */
  public Map<Integer, Double> openShares() {
    Map<Integer, Double> shares = new HashMap<>();
    zoneLimits.forEach((zone, limit) -> shares.put(zone, limit.keyShare()));
    return shares;
  }
}
