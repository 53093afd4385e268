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
  private static final long IN_TIME = 20;
  /** Seconds of work that pile up or are done in one, with a little to spare. */
  private static final double WORK_FLOWS = 1.2;

  private static final class Server {
    long notedAt = NEVER;
    boolean slow;
    /** The last delay that it told itself, in milliseconds, and when. */
    double toldMillis;
    long toldAt = NEVER;
    /** When something last came from it. */
    long heardAt = NEVER;
    /** The connection that was last told to wait while nothing came, and when; null if there is none. */
    String waiting;
    long waitingAt = NEVER;
  }

  private final long threshold;
  private final long pause;
  private final long together;
  private final Consumer<Event> told;
  private final Map<String, Server> servers = new HashMap<>();

  DelayMeter(Settings settings, Limits limits, Consumer<Event> told) {
    long shortest = Long.MAX_VALUE;
    for (RequestClass c : settings.classes()) {
      shortest = c.messageLatencyTarget() > 0 ? Math.min(shortest, c.messageLatencyTarget()) : shortest;
    }
    threshold = shortest == Long.MAX_VALUE ? shortest : (long) (shortest * limits.noteShare());
    pause = limits.noteEvery();
    together = limits.noteEvery() + limits.unease();
    this.told = told;
  }

  /** Forgets all but these servers. */
  void keepOnly(Set<String> known) {
    servers.keySet().retainAll(known);
  }

  /** Something came from this server, on whichever connection. */
  void heard(long now, String server) {
    Server s = server(server);
    s.heardAt = now;
    s.waiting = null;
  }

  private Server server(String name) {
    return servers.computeIfAbsent(name, added -> new Server());
  }

  /**
   * A line of this execution has waited so long for an answer. Guards against one connection that falls quiet while
   * its server serves all others: told as the server's delay, it once sent half of the clients away from a sound
   * server. A silence is told as a delay only if two connections wait and nothing has come on any other meanwhile.
   * Where a large fleet leaves one proxy a connection or two at a server, a second one may never wait: so the module
   * hears of the first one too, as a reason to ask the server.
   */
  void waiting(long now, String id, int attempt, String server, long micros) {
    Server s = server(server);
    if (s.heardAt > now - micros) {
      return;
    }
    boolean another = s.waiting != null && !s.waiting.equals(id) && now - s.waitingAt <= together;
    s.waiting = id;
    s.waitingAt = now;
    told.accept(new Unanswered(id, attempt, server));
    if (another) {
      measured(now, id, attempt, server, micros);
    }
  }

  /** The server told this delay itself, in milliseconds. */
  void told(long now, String server, double millis) {
    Server s = server(server);
    s.toldMillis = millis;
    s.toldAt = now;
  }

  /**
   * Whether the figure goes on a row of delays that the server tells, one a second: it comes in time, and differs from
   * the last by no more than the work that can have piled up or been done since.
   */
  boolean goesOn(long now, String server, double millis) {
    Server s = server(server);
    long since = now - s.toldAt;
    return Math.abs(since - pause) <= pause / IN_TIME && Math.abs(millis - s.toldMillis) * 1000 <= WORK_FLOWS * since;
  }

  /** A message of this execution took so long from line to answering line. */
  void measured(long now, String id, int attempt, String server, long micros) {
    Server s = server(server);
    boolean over = micros > threshold;
    if ((over || s.slow) && now - s.notedAt >= pause) {
      s.notedAt = now;
      s.slow = over;
      told.accept(new MessageDelay(id, attempt, server, micros / 1e3));
    }
  }
}
