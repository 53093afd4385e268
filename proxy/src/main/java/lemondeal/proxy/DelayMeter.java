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
 * Tells the module how long messages take at a server: once a second while that is over a share of the
 * shortest aim, and once more when it is back under.
 */
final class DelayMeter {

  private static final long NEVER = Long.MIN_VALUE / 2;
  /** A delay told by a server comes within this part of a second after the last one. */
  private static final long INTERVAL_TOLERANCE_DIVISOR = 20;
  /** Seconds of work that pile up or are done in one, with a little to spare. */
  private static final double MAX_BACKLOG_CHANGE_RATE = 1.2;

  private static final class ServerDelays {
    long reportedAt = NEVER;
    boolean slow;
    /** The last delay that it told itself, in milliseconds, and when. */
    double serverReportedMillis;
    long serverReportedAt = NEVER;
    /** When something last came from it. */
    long lastReceivedAt = NEVER;
    /** The connection that was last told to wait while nothing came, and when; null if there is none. */
    String waitingConnection;
    long waitingSince = NEVER;
  }

  private final long threshold;
  private final long reportInterval;
  private final long coincidenceWindow;
  private final Consumer<Event> eventSink;
  private final Map<String, ServerDelays> servers = new HashMap<>();

  DelayMeter(Settings settings, Limits limits, Consumer<Event> eventSink) {
    long shortestAim = Long.MAX_VALUE;
    for (RequestClass requestClass : settings.classes()) {
      shortestAim = requestClass.messageLatencyTarget() > 0 ? Math.min(shortestAim, requestClass.messageLatencyTarget()) : shortestAim;
    }
    threshold = shortestAim == Long.MAX_VALUE ? shortestAim : (long) (shortestAim * limits.delayReportShare());
    reportInterval = limits.delayReportInterval();
    coincidenceWindow = limits.delayReportInterval() + limits.slowAnswerDelay();
    this.eventSink = eventSink;
  }

  /** Forgets all but these servers. */
  void keepOnly(Set<String> known) {
    servers.keySet().retainAll(known);
  }

  /** Something came from this server, on whichever connection. */
  void recordReceived(long now, String server) {
    ServerDelays delays = delaysOf(server);
    delays.lastReceivedAt = now;
    delays.waitingConnection = null;
  }

  private ServerDelays delaysOf(String name) {
    return servers.computeIfAbsent(name, added -> new ServerDelays());
  }

  /**
   * A line of this execution has waited so long for an answer. Guards against one connection that falls quiet while
   * its server serves all others: told as the server's delay, it once sent half of the clients away from a sound
   * server. A silence is told as a delay only if two connections wait and nothing has come on any other meanwhile.
   * Where a large fleet leaves one proxy a connection or two at a server, a second one may never wait: so the module
   * hears of the first one too, as a reason to ask the server.
   */
  void recordWaiting(long now, String id, int attempt, String server, long micros) {
    ServerDelays delays = delaysOf(server);
    if (delays.lastReceivedAt > now - micros) {
      return;
    }
    boolean anotherWaits = delays.waitingConnection != null && !delays.waitingConnection.equals(id) && now - delays.waitingSince <= coincidenceWindow;
    delays.waitingConnection = id;
    delays.waitingSince = now;
    eventSink.accept(new Unanswered(id, attempt, server));
    if (anotherWaits) {
      recordMeasured(now, id, attempt, server, micros);
    }
  }

  /** The server told this delay itself, in milliseconds. */
  void recordServerReported(long now, String server, double millis) {
    ServerDelays delays = delaysOf(server);
    delays.serverReportedMillis = millis;
    delays.serverReportedAt = now;
  }

  /**
   * Whether the figure goes on a row of delays that the server tells, one a second: it comes in time, and differs from
   * the last by no more than the work that can have piled up or been done since.
   */
  boolean continuesDelaySeries(long now, String server, double millis) {
    ServerDelays delays = delaysOf(server);
    long elapsed = now - delays.serverReportedAt;
    return Math.abs(elapsed - reportInterval) <= reportInterval / INTERVAL_TOLERANCE_DIVISOR && Math.abs(millis - delays.serverReportedMillis) * 1000 <= MAX_BACKLOG_CHANGE_RATE * elapsed;
  }

  /** A message of this execution took so long from line to answering line. */
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
