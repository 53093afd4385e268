package lemondeal.evacuation;

import java.util.HashMap;
import java.util.Map;
import lemondeal.Balancer;

/**
 * Token buckets that limit this proxy's sends to each zone to its access. A proxy's share is often less than one
 * connection a second; the first tokens of the members are offset by their index, so that they do not all send at once.
 */
public final class ZoneRateLimiter {
  /** Unused tokens are kept for this part of a second, but at least one is kept. */
  private static final double BURST_SECONDS = 0.25;

  /** The token bucket of one zone. */
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

  /** Whether one more connection may go to the zone now; if so, its token is taken. */
  public boolean tryAcquire(ZoneAccess access, long now) {
    boolean admitted = available(access, now) >= 1;
    if (admitted) {
      recordSend(access.zone());
    }
    return admitted;
  }

  /**
   * Number of connections that may go to the zone now; {@link lemondeal.Balancer.ZoneOpen#UNLIMITED} if there is no
   * limit.
   */
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

  /** Takes the token of a connection that was sent to the zone. */
  public void recordSend(int zone) {
    Bucket bucket = buckets.get(zone);
    if (bucket != null) {
      bucket.tokens--;
    }
  }

  /** After a start the bucket is empty, because what an earlier process sent is unknown. */
  private Bucket newBucket(long now) {
    Bucket bucket = new Bucket();
    bucket.tokens = now == startedAt ? 0 : 1 - phase;
    bucket.refilledAt = now;
    return bucket;
  }
}
