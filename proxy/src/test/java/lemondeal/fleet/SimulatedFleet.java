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

/** A fleet in one thread with a clock of its own, whose network delays and cuts as a test says. */
final class SimulatedFleet {
  private record Task(long dueAt, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
      a.dueAt != b.dueAt ? Long.compare(a.dueAt, b.dueAt) : Long.compare(a.order, b.order));
  private final FleetRoster roster;
  private final Map<String, FleetTransport.Listener> listeners = new HashMap<>();
  private final Map<String, Long> clockOffsetMillis = new HashMap<>();
  /** Pairs "from>to" that nothing passes. */
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

  /** A member that starts now, whose clock is that far ahead of the others'. */
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
      private Listener mine;

      @Override
      public void start(Listener ear) {
        mine = ear;
        listeners.put(name, ear);
      }

      @Override
      public void sendLatest(String peer, FleetMessage letter) {
        sentMessages++;
        String way = name + ">" + peer;
        if (!disconnected.contains(way)) {
          byte[] bytes = letter.encode(0);
          scheduleAt(nowMillis + delayMillis.getOrDefault(way, 1L), () -> deliver(way, peer, bytes));
        }
      }

      private void deliver(String way, String peer, byte[] bytes) {
        if (listeners.get(peer) != null && !disconnected.contains(way)) {
          listeners.get(peer).onMessage(name, bytes);
        }
      }

      @Override
      public void reconnect(String peer) {
        reconnects.add(name + ">" + peer);
      }

      @Override
      public void addTo(Map<String, Long> figures) {
        // Counts nothing.
      }

      @Override
      public void close() {
        listeners.remove(name, mine);
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
