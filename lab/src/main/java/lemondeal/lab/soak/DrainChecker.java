package lemondeal.lab.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Until when each proxy may send to a server that drains or has been removed. Times are of {@link System#nanoTime}. */
final class DrainChecker {
  /** Whatever call failed, a change counts as told so long after discovery had it and could be reached. */
  private static final long MAX_NOTIFICATION_SECONDS = 6;
  /** STANDING: after SIGHUP what is pushed counts so much later. */
  private static final long PUSH_AFTER_RELOAD_SECONDS = 4;
  private static final long SLACK_MILLIS = 50;

  private record ServerAndProxy(String server, int proxy) {}

  private final ServerListing listing;
  private final RuleChecker checker;
  private final long graceMillis;
  private final boolean pushed;
  private final Map<ServerAndProxy, Long> recordNotified = new ConcurrentHashMap<>();
  private final Map<Integer, Long> reachableSince = new ConcurrentHashMap<>();
  /** From when on what is pushed to a proxy counts at once. */
  private final Map<Integer, Long> pushEffectiveFrom = new ConcurrentHashMap<>();

  /** {@code pushed}: what discovery has counts as told to a proxy that can reach it, whether or not a watch is open. */
  DrainChecker(ServerListing listing, RuleChecker checker, long graceMillis, boolean pushed) {
    this.listing = listing;
    this.checker = checker;
    this.graceMillis = graceMillis;
    this.pushed = pushed;
  }

  /** The proxy's process begins: it has been told nothing, and can reach discovery from now on. */
  void processStarted(int proxy) {
    recordNotified.keySet().removeIf(key -> key.proxy == proxy);
    reachableSince.put(proxy, System.nanoTime());
  }

  /** Its watches fall silent: what they miss counts as told so much later. */
  void watchesStalled(int proxy) {
    pushEffectiveFrom.merge(proxy, System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_NOTIFICATION_SECONDS), Math::max);
  }

  /** It is told to read its configuration anew. */
  void reloaded(int proxy) {
    pushEffectiveFrom.merge(proxy, System.nanoTime() + TimeUnit.SECONDS.toNanos(PUSH_AFTER_RELOAD_SECONDS), Math::max);
  }

  /** Discovery has just written these entries to the proxy. */
  void recordNotified(int proxy, Iterable<ServerListing.Entry> entries) {
    long now = System.nanoTime();
    for (ServerListing.Entry entry : entries) {
      ServerAndProxy key = new ServerAndProxy(entry.server().identity().id(), proxy);
      if (entry.lifecycle().equals(ServerListing.IN_SERVICE)) {
        recordNotified.remove(key);
      } else {
        recordNotified.putIfAbsent(key, now);
      }
    }
  }

  /** From now on the proxy can reach its discovery, or not until told otherwise. */
  void setReachable(int proxy, boolean reachable) {
    reachableSince.put(proxy, reachable ? System.nanoTime() : Long.MAX_VALUE);
  }

  /** A server got a first line from a proxy. */
  void checkReceived(String server, int proxy) {
    long now = System.nanoTime();
    ServerListing.Entry entry = listing.entry(server);
    if (entry == null || entry.lifecycle().equals(ServerListing.IN_SERVICE)) {
      return;
    }
    long reachableNanos = reachableSince.getOrDefault(proxy, Long.MAX_VALUE);
    long notifiedNanos = Math.min(assumedNotificationNanos(proxy, reachableNanos, entry),
        recordNotified.getOrDefault(new ServerAndProxy(server, proxy), Long.MAX_VALUE));
    long limitMillis = graceMillis + SLACK_MILLIS + checker.allowanceMillis();
    long afterMillis = TimeUnit.NANOSECONDS.toMillis(now - notifiedNanos);
    if (notifiedNanos != Long.MAX_VALUE && afterMillis > limitMillis) {
      checker.reportViolation(Rule.SENT_TO_DRAINING, server + " (" + entry.lifecycle() + ") got a request from proxy " + proxy + " "
          + afterMillis + " ms after that proxy was told, " + limitMillis + " allowed");
    }
  }

  /** When the change counts as told, whether or not it was written; without end while discovery is out of reach. */
  private long assumedNotificationNanos(int proxy, long reachableNanos, ServerListing.Entry entry) {
    if (reachableNanos == Long.MAX_VALUE) {
      return Long.MAX_VALUE;
    }
    long earliest = Math.max(reachableNanos, entry.changedAtNanos());
    long latest = earliest + TimeUnit.SECONDS.toNanos(MAX_NOTIFICATION_SECONDS);
    return pushed ? Math.min(latest, Math.max(earliest, pushEffectiveFrom.getOrDefault(proxy, earliest))) : latest;
  }
}
