package lemondeal.lab.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Checks that each proxy stops sending to a server soon after the server drains or is removed from the list. Times are
 * of {@link System#nanoTime}.
 */
final class DrainChecker {
  /** A proxy must know of a change this long after discovery has it and is reachable, even if a request failed. */
  private static final long MAX_NOTIFICATION_SECONDS = 6;
  /** STANDING: after SIGHUP, pushed changes count as received only after this time. */
  private static final long PUSH_AFTER_RELOAD_SECONDS = 4;
  private static final long SLACK_MILLIS = 50;

  private record ServerAndProxy(String server, int proxy) {}

  private final ServerListing listing;
  private final RuleChecker checker;
  private final long graceMillis;
  private final boolean pushed;
  private final Map<ServerAndProxy, Long> notifiedAt = new ConcurrentHashMap<>();
  private final Map<Integer, Long> reachableSince = new ConcurrentHashMap<>();
  /** The time from which a change pushed to a proxy counts as received at once, by proxy. */
  private final Map<Integer, Long> pushEffectiveFrom = new ConcurrentHashMap<>();

  /**
   * @param pushed whether a proxy that can reach discovery counts as notified of a change at once, with or without an
   *     open watch
   */
  DrainChecker(ServerListing listing, RuleChecker checker, long graceMillis, boolean pushed) {
    this.listing = listing;
    this.checker = checker;
    this.graceMillis = graceMillis;
    this.pushed = pushed;
  }

  /** The proxy's process was started: it knows of no change yet, and can reach discovery from now on. */
  void processStarted(int proxy) {
    notifiedAt.keySet().removeIf(key -> key.proxy == proxy);
    reachableSince.put(proxy, System.nanoTime());
  }

  /** The proxy's watches deliver nothing any more: changes count as received only after the longest allowed time. */
  void watchesStalled(int proxy) {
    pushEffectiveFrom.merge(proxy, System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_NOTIFICATION_SECONDS), Math::max);
  }

  /** The proxy is about to be ordered to reload its configuration. */
  void reloadRequested(int proxy) {
    pushEffectiveFrom.merge(proxy, System.nanoTime() + TimeUnit.SECONDS.toNanos(PUSH_AFTER_RELOAD_SECONDS), Math::max);
  }

  /** Discovery has just written these entries to the proxy. */
  void recordNotified(int proxy, Iterable<ServerListing.Entry> entries) {
    long now = System.nanoTime();
    for (ServerListing.Entry entry : entries) {
      ServerAndProxy key = new ServerAndProxy(entry.server().identity().id(), proxy);
      if (entry.lifecycle().equals(ServerListing.IN_SERVICE)) {
        notifiedAt.remove(key);
      } else {
        notifiedAt.putIfAbsent(key, now);
      }
    }
  }

  /** Sets whether the proxy can reach its discovery. */
  void setReachable(int proxy, boolean reachable) {
    reachableSince.put(proxy, reachable ? System.nanoTime() : Long.MAX_VALUE);
  }

  /** Checks a request that a server received from a proxy. */
  void checkReceived(String server, int proxy) {
    long now = System.nanoTime();
    ServerListing.Entry entry = listing.entry(server);
    if (entry == null || entry.lifecycle().equals(ServerListing.IN_SERVICE)) {
      return;
    }
    long reachableNanos = reachableSince.getOrDefault(proxy, Long.MAX_VALUE);
    long notifiedNanos = Math.min(assumedNotificationNanos(proxy, reachableNanos, entry),
        notifiedAt.getOrDefault(new ServerAndProxy(server, proxy), Long.MAX_VALUE));
    long limitMillis = graceMillis + SLACK_MILLIS + checker.allowanceMillis();
    long afterMillis = TimeUnit.NANOSECONDS.toMillis(now - notifiedNanos);
    if (notifiedNanos != Long.MAX_VALUE && afterMillis > limitMillis) {
      checker.reportViolation(Rule.SENT_TO_DRAINING, server + " (" + entry.lifecycle()
          + ") received a request from proxy " + proxy + " " + afterMillis
          + " ms after that proxy was notified, " + limitMillis + " ms allowed");
    }
  }

  /**
   * When the proxy is assumed to know of the change even if discovery has not written it to the proxy; never
   * ({@link Long#MAX_VALUE}) while discovery is unreachable.
   */
  private long assumedNotificationNanos(int proxy, long reachableNanos, ServerListing.Entry entry) {
    if (reachableNanos == Long.MAX_VALUE) {
      return Long.MAX_VALUE;
    }
    long earliest = Math.max(reachableNanos, entry.changedAtNanos());
    long latest = earliest + TimeUnit.SECONDS.toNanos(MAX_NOTIFICATION_SECONDS);
    return pushed ? Math.min(latest, Math.max(earliest, pushEffectiveFrom.getOrDefault(proxy, earliest))) : latest;
  }
}
