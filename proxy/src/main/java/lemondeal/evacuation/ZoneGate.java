package lemondeal.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.Balancer;

/**
 * Counts this proxy's sends into zones against what its standing allows. Shares are often less than one connection a
 * second: the first ones are dealt over the proxies by place, so that they don't all come at once.
 */
public final class ZoneGate {
  /** What is not used is kept for no longer than this part of a second, and one connection at least. */
  private static final double KEPT_SECONDS = 0.25;

  /** What is left to send into a zone. */
  private static final class Left {
    double sends;
    long at;
  }

  private final Map<Integer, Left> zones = new HashMap<>();
  private final double place;
  private final long startedAt;

  public ZoneGate(Named named, long now) {
    place = (double) (named.self() + 1) / named.size();
    startedAt = now;
  }

  /** Whether one more connection may go there now; one that may is counted. */
  public boolean admits(ZoneStanding standing, long now) {
    boolean admits = left(standing, now) >= 1;
    if (admits) {
      sent(standing.zone());
    }
    return admits;
  }

  /** Connections that may go there now; {@link lemondeal.Balancer.ZoneOpen#ANY} where nothing bounds them. */
  public int left(ZoneStanding standing, long now) {
    if (Double.isInfinite(standing.perSecond())) {
      zones.remove(standing.zone());
      return Balancer.ZoneOpen.UNLIMITED;
    }
    Left left = zones.computeIfAbsent(standing.zone(), zone -> fresh(now));
    double most = Math.max(1, standing.perSecond() * KEPT_SECONDS);
    left.sends = Math.min(most, left.sends + standing.perSecond() * (now - left.at) / 1_000);
    left.at = now;
    return standing.perSecond() <= 0 ? 0 : (int) Math.max(0, left.sends);
  }

  /** One connection went there. */
  public void sent(int zone) {
    Left left = zones.get(zone);
    if (left != null) {
      left.sends--;
    }
  }

  /** A start begins with nothing: what was sent before it is not known. */
  private Left fresh(long now) {
    Left left = new Left();
    left.sends = now == startedAt ? 0 : 1 - place;
    left.at = now;
    return left;
  }
}
