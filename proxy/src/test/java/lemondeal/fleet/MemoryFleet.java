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
final class MemoryFleet {
  private record Task(long at, long order, Runnable run) {}

  private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
      a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final FleetRoster roster;
  private final Map<String, FleetLink.Ear> ears = new HashMap<>();
  private final Map<String, Long> aheadMillis = new HashMap<>();
  /** Pairs "from>to" that nothing passes. */
  final Set<String> cut = new HashSet<>();
  final Map<String, Long> delayMillis = new HashMap<>();
  final List<String> redialled = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  int letters;
  private long nowMillis = 1_000_000;
  private long order;

  MemoryFleet(String... names) {
    roster = IntakeTest.roster(names);
  }

  /** A member that starts now, whose clock is that far ahead of the others'. */
  FleetMember start(String name, long incarnation, long ahead) throws IOException {
    aheadMillis.put(name, ahead);
    FleetSettings settings = new FleetSettings(name, roster, null, 2000, 200);
    FleetMember member = new FleetMember(settings, name, incarnation, link(name), new EventLog() {
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
        return (nowMillis + aheadMillis.get(name)) * 1000;
      }

      @Override
      public Timer after(long micros, Runnable task) {
        Task added = at(nowMillis + (micros + 999) / 1000, task);
        return () -> tasks.remove(added);
      }
    });
    return member;
  }

  private FleetLink link(String name) {
    return new FleetLink() {
      private Ear mine;

      @Override
      public void start(Ear ear) {
        mine = ear;
        ears.put(name, ear);
      }

      @Override
      public void tell(String peer, Letter letter) {
        letters++;
        String way = name + ">" + peer;
        if (!cut.contains(way)) {
          byte[] bytes = letter.bytes(0);
          at(nowMillis + delayMillis.getOrDefault(way, 1L), () -> deliver(way, peer, bytes));
        }
      }

      private void deliver(String way, String peer, byte[] bytes) {
        if (ears.get(peer) != null && !cut.contains(way)) {
          ears.get(peer).heard(name, bytes);
        }
      }

      @Override
      public void redial(String peer) {
        redialled.add(name + ">" + peer);
      }

      @Override
      public void addTo(Map<String, Long> figures) {
        // Counts nothing.
      }

      @Override
      public void close() {
        ears.remove(name, mine);
      }
    };
  }

  private Task at(long millis, Runnable run) {
    Task task = new Task(millis, order++, run);
    tasks.add(task);
    return task;
  }

  void run(long millis) {
    long until = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().at <= until) {
      Task task = tasks.poll();
      nowMillis = Math.max(nowMillis, task.at);
      task.run.run();
    }
    nowMillis = until;
  }
}
