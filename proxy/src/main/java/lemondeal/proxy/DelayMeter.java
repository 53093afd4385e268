package lemondeal.proxy;

import lemondeal.Balancer.Event;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Unanswered;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import lemondeal.config.Limits;

/**
 * Reports to the module how long messages take at a server: once a second while that exceeds a share of the shortest
 * message latency target, and once more when it no longer does.
 */
final class DelayMeter {

  private static final long NEVER = Long.MIN_VALUE / 2;
  /** A server's delay report may be early or late by the report interval divided by this. */
  private static final long INTERVAL_TOLERANCE_DIVISOR = 20;
  /** Seconds of work that can queue up or be done in one second, with a small margin. */
  private static final double MAX_BACKLOG_CHANGE_RATE = 1.2;

  private static final class ServerDelays {
    long reportedAt = NEVER;
    boolean slow;
    /** The delay that the server last reported itself, in milliseconds, and when. */
    double serverReportedMillis;
    long serverReportedAt = NEVER;
    /** When something was last received from the server. */
    long lastReceivedAt = NEVER;
    /** The connection last reported as waiting while nothing was received, and when; null if there is none. */
    String waitingConnection;
    long waitingReportedAt = NEVER;
  }

  private final long threshold;
  private final long reportInterval;
  private final long coincidenceWindow;
  private final Consumer<Event> eventSink;
  private final Map<String, ServerDelays> servers = new HashMap<>();

  DelayMeter(Settings settings, Limits limits, Consumer<Event> eventSink) {
    long shortestTarget = Long.MAX_VALUE;
    for (RequestClass requestClass : settings.classes()) {
      shortestTarget = requestClass.messageLatencyTarget() > 0
          ? Math.min(shortestTarget, requestClass.messageLatencyTarget()) : shortestTarget;
    }
    threshold = shortestTarget == Long.MAX_VALUE ? shortestTarget : (long) (shortestTarget * limits.delayReportShare());
    reportInterval = limits.delayReportInterval();
    coincidenceWindow = limits.delayReportInterval() + limits.slowAnswerDelay();
    this.eventSink = eventSink;
  }

  /** Forgets all servers but these. */
  void keepOnly(Set<String> known) {
    servers.keySet().retainAll(known);
  }

  /** Something was received from this server, on any of its connections. */
  void recordReceived(long now, String server) {
    ServerDelays delays = delaysOf(server);
    delays.lastReceivedAt = now;
    delays.waitingConnection = null;
  }

  private ServerDelays delaysOf(String name) {
    return servers.computeIfAbsent(name, key -> new ServerDelays());
  }

  /**
   * A line of this execution has waited this long for an answer. Guards against one connection that goes quiet while
   * its server serves all others: reported as the server's delay, it once made the module move half of the clients away
   * from a healthy server. Silence is reported as a delay only if two connections wait and nothing has been received on
   * any other meanwhile. In a large fleet a proxy may have only one or two connections to a server, so that a second
   * one may never wait: the module therefore receives the first one too, as a reason to probe the server.
   */
  void recordWaiting(long now, String id, int attempt, String server, long micros) {
    ServerDelays delays = delaysOf(server);
    if (delays.lastReceivedAt > now - micros) {
      return;
    }
    boolean anotherWaits = delays.waitingConnection != null && !delays.waitingConnection.equals(id)
        && now - delays.waitingReportedAt <= coincidenceWindow;
    delays.waitingConnection = id;
    delays.waitingReportedAt = now;
    eventSink.accept(new Unanswered(id, attempt, server));
    if (anotherWaits) {
      recordMeasured(now, id, attempt, server, micros);
    }
  }

  /** The server reported this delay itself, in milliseconds. */
  void recordServerReported(long now, String server, double millis) {
    ServerDelays delays = delaysOf(server);
    delays.serverReportedMillis = millis;
    delays.serverReportedAt = now;
  }

  /**
   * Whether the figure continues a series of delays that the server reports once a second: it comes on time, and
   * differs from the last by no more than the work that can have queued up or been done since.
   */
  boolean continuesDelaySeries(long now, String server, double millis) {
    ServerDelays delays = delaysOf(server);
    long elapsed = now - delays.serverReportedAt;
    return Math.abs(elapsed - reportInterval) <= reportInterval / INTERVAL_TOLERANCE_DIVISOR
        && Math.abs(millis - delays.serverReportedMillis) * 1000 <= MAX_BACKLOG_CHANGE_RATE * elapsed;
  }

  /** A message of this execution took this long from the client's line to the server's answer. */
  void recordMeasured(long now, String id, int attempt, String server, long micros) {
    ServerDelays delays = delaysOf(server);
    boolean overThreshold = micros > threshold;
    if ((overThreshold || delays.slow) && now - delays.reportedAt >= reportInterval) {
      delays.reportedAt = now;
      delays.slow = overThreshold;
      eventSink.accept(new MessageDelay(id, attempt, server, micros / 1e3));
    }
  }
}
