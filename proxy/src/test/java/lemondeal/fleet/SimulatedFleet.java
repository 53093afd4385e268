package lemondeal.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import lemondeal.log.EventLog;
import lemondeal.net.Timers;

/** A fleet in one thread with a simulated clock, and a network whose delays and disconnections a test controls. */
final class SimulatedFleet {
  private record Task(long dueAt, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
      a.dueAt != b.dueAt ? Long.compare(a.dueAt, b.dueAt) : Long.compare(a.order, b.order));
  private final FleetRoster roster;
  private final Map<String, FleetTransport.Listener> listeners = new HashMap<>();
  private final Map<String, Long> clockOffsetMillis = new HashMap<>();
  /** Pairs "from>to" between which no message passes. */
  final Set<String> disconnected = new HashSet<>();
  final Map<String, Long> delayMillis = new HashMap<>();
  final List<String> reconnects = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  int sentMessages;
  private long nowMillis = 1_000_000;
  private long order;

  SimulatedFleet(String... names) {
    roster = MessageValidatorTest.roster(names);
  }

  /** Starts a member whose clock is ahead of the simulated clock by {@code clockOffset} milliseconds. */
  FleetMember start(String name, long incarnation, long clockOffset) throws IOException {
    clockOffsetMillis.put(name, clockOffset);
    FleetSettings settings = new FleetSettings(name, roster, null, 2000, 200);
    FleetMember member = new FleetMember(settings, name, incarnation, transport(name), new EventLog() {
      @Override
      public void event(Level level, String event, String line, Object... fields) {
        log.add(name + " " + event + " " + line);
      }

      @Override
      public void failure(String line, Throwable failure) {
        log.add(line);
      }
    });
    member.start(Runnable::run, new Timers() {
      @Override
      public long now() {
        return (nowMillis + clockOffsetMillis.get(name)) * 1000;
      }

      @Override
      public Timer after(long micros, Runnable task) {
        Task added = scheduleAt(nowMillis + (micros + 999) / 1000, task);
        return () -> tasks.remove(added);
      }
    });
    return member;
  }

  private FleetTransport transport(String name) {
    return new FleetTransport() {
      private Listener ownListener;

      @Override
      public void start(Listener listener) {
        ownListener = listener;
        listeners.put(name, listener);
      }

      @Override
      public void sendLatest(String peer, FleetMessage message) {
        sentMessages++;
        String route = name + ">" + peer;
        if (!disconnected.contains(route)) {
          byte[] bytes = message.encode(0);
          scheduleAt(nowMillis + delayMillis.getOrDefault(route, 1L), () -> deliver(route, peer, bytes));
        }
      }

      private void deliver(String route, String peer, byte[] bytes) {
        if (listeners.get(peer) != null && !disconnected.contains(route)) {
          listeners.get(peer).onMessage(name, bytes);
        }
      }

      @Override
      public void reconnect(String peer) {
        reconnects.add(name + ">" + peer);
      }

      @Override
      public void addTo(Map<String, Long> figures) {
        // Has no counters.
      }

      @Override
      public void close() {
        listeners.remove(name, ownListener);
      }
    };
  }

  private Task scheduleAt(long millis, Runnable action) {
    Task task = new Task(millis, order++, action);
    tasks.add(task);
    return task;
  }

  void run(long millis) {
    long end = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().dueAt <= end) {
      Task task = tasks.poll();
      nowMillis = Math.max(nowMillis, task.dueAt);
      task.action.run();
    }
    nowMillis = end;
  }
}
