package lemondeal.proxy;

import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import lemondeal.config.Limits;

/**
 * Tells the module how long messages take at a server: once a second while that is over a share of the
 * shortest aim, and once more when it is back under.
 */
final class DelayMeter {

  private static final class Server {
    long notedAt = Long.MIN_VALUE / 2;
    boolean slow;
  }

  private final long threshold;
  private final long pause;
  private final Consumer<MessageDelay> told;
  private final Map<String, Server> servers = new HashMap<>();

  DelayMeter(Settings settings, Limits limits, Consumer<MessageDelay> told) {
    long shortest = Long.MAX_VALUE;
    for (RequestClass c : settings.classes()) {
      shortest = c.messageAim() > 0 ? Math.min(shortest, c.messageAim()) : shortest;
    }
    threshold = shortest == Long.MAX_VALUE ? shortest : (long) (shortest * limits.noteShare());
    pause = limits.noteEvery();
    this.told = told;
  }

  /** A message of this execution took so long from line to answering line. */
  void measured(long now, String id, int attempt, String server, long micros) {
    Server s = servers.computeIfAbsent(server, name -> new Server());
    boolean over = micros > threshold;
    if ((over || s.slow) && now - s.notedAt >= pause) {
      s.notedAt = now;
      s.slow = over;
      told.accept(new MessageDelay(id, attempt, server, micros / 1e3));
    }
  }
}
