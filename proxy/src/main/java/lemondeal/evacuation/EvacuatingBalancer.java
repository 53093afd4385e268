package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.Balancer;

/**
 * Decorates a decision module so that it places requests within the fleet's zone evacuations. The events for the module
 * are also used as health observations, and each zone's limit is passed to the module before each event, so that no
 * lease outlives a pause of the process. Does no I/O: reports go in by {@link #receiveReport} and out by
 * {@link Callbacks}. Not used by a proxy without this section in its settings.
 */
public final class EvacuatingBalancer implements Balancer {
  /** Token of the wake-ups that only trigger a check; they are not passed to the module. */
  public static final long CHECK_TOKEN = -1;
  /** Milliseconds between two checks. */
  public static final long CHECK_INTERVAL_MILLIS = 50;

  /** Callbacks to the surrounding program. */
  public interface Callbacks {
    /** Publishes this proxy's next report. */
    void publishReport(byte[] content);

    /** A decision has become known; {@code state} must be saved on disk. */
    void onDecision(Evacuation.Decision decision, EvacuationState state);

    /** This proxy's access to the zone has changed its state. */
    void onAccessChange(ZoneAccess access);

    /** Number of members with a recent row, this proxy included. */
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
   * @param movesPerSecond established connections a second that are moved out of a zone, by all proxies together
   * @param reportInterval milliseconds between two reports
   */
  public EvacuatingBalancer(Balancer module, ZoneMembership membership, Evacuation evacuation, double movesPerSecond,
      long reportInterval, Callbacks callbacks, long now) {
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

  /** Receives the newest report of a proxy. */
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
      // Applied before a request can be sent to a server that is new in the list, as its zone may be evacuated.
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

  /** Passes changed zone limits to the module, and the number of connections to move out of evacuated zones. */
  private void updateZoneLimits(long now, List<Action> result) {
    long millis = now / 1_000;
    for (ZoneAccess access : evacuation.accesses(millis)) {
      if (states.put(access.zone(), access.state()) != access.state()) {
        callbacks.onAccessChange(access);
      }
      int moves = access.state() == ZoneAccess.State.CLOSED ? moveBudget.takeWholeTokens() : 0;
      ZoneOpen limit = new ZoneOpen(access.zone(), access.openShare(), rateLimiter.available(access, millis), 0);
      if (moves > 0 || !limit.equals(zoneLimits.get(limit.zone()))
          && !(isUnlimited(limit) && !zoneLimits.containsKey(limit.zone()))) {
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

  /** While a starting proxy queries its peers for decisions, it is not ready for clients. */
  @Override
  public ServerSummary serverSummary(long now) {
    ServerSummary summary = module.serverSummary(now);
    boolean starting = evacuation.accesses(now / 1_000).stream()
        .anyMatch(access -> access.state() == ZoneAccess.State.ASKING);
    return new ServerSummary(summary.listReceived() && !starting, summary.known(), summary.avoided());
  }

  /** The share that was last passed to the module for each zone, for metrics. */
  public Map<Integer, Double> openShares() {
    Map<Integer, Double> shares = new HashMap<>();
    zoneLimits.forEach((zone, limit) -> shares.put(zone, limit.keyShare()));
    return shares;
  }
}
