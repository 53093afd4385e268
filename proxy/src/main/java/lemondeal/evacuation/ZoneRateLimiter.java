package lemondeal.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.Balancer;

/**
 * Counts this proxy's sends into zones against what its standing allows. Shares are often less than one connection a
 * second: the first ones are dealt over the proxies by place, so that they don't all come at once.
 */
public final class ZoneRateLimiter {
  /** What is not used is kept for no longer than this part of a second, and one connection at least. */
  private static final double BURST_SECONDS = 0.25;

  /** What is left to send into a zone. */
  private static final class Bucket {
    double tokens;
    long refilledAt;
  }

  private final Map<Integer, Bucket> buckets = new HashMap<>();
  private final double phase;
  private final long startedAt;

  public ZoneRateLimiter(ZoneMembership membership, long now) {
    phase = (double) (membership.selfIndex() + 1) / membership.size();
    startedAt = now;
  }

  /** Whether one more connection may go there now; one that may is counted. */
  public boolean tryAcquire(ZoneAccess access, long now) {
    boolean admitted = available(access, now) >= 1;
    if (admitted) {
      recordSend(access.zone());
    }
    return admitted;
  }

  /** Connections that may go there now; {@link lemondeal.Balancer.ZoneOpen#ANY} where nothing bounds them. */
  public int available(ZoneAccess access, long now) {
    if (Double.isInfinite(access.maxPerSecond())) {
      buckets.remove(access.zone());
      return Balancer.ZoneOpen.UNLIMITED;
    }
    Bucket bucket = buckets.computeIfAbsent(access.zone(), zone -> newBucket(now));
    double capacity = Math.max(1, access.maxPerSecond() * BURST_SECONDS);
    bucket.tokens = Math.min(capacity, bucket.tokens + access.maxPerSecond() * (now - bucket.refilledAt) / 1_000);
    bucket.refilledAt = now;
    return access.maxPerSecond() <= 0 ? 0 : (int) Math.max(0, bucket.tokens);
  }

  /** One connection went there. */
  public void recordSend(int zone) {
    Bucket bucket = buckets.get(zone);
    if (bucket != null) {
      bucket.tokens--;
    }
  }

  /** A start begins with nothing: what was sent before it is not known. */
  private Bucket newBucket(long now) {
    Bucket bucket = new Bucket();
    bucket.tokens = now == startedAt ? 0 : 1 - phase;
    bucket.refilledAt = now;
    return bucket;
  }
}
