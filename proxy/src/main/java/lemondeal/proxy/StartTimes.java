package lemondeal.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;

/**
 * When servers started, on this process's own clock. Discovery tells it by the wall clock of all machines, which may be
 * stepped while processes run; what is reckoned from it (slow start) is a span of real time. All times are microseconds.
 *
 * <p>How far the two clocks are apart is sampled all the time. A start that is told is taken by the difference that was
 * in force when it can have been stamped; where several can have been, by the one that makes the server youngest, since
 * one that is taken for colder than it is gets too little and not too much.
 */
final class StartTimes {
  /** Differences that lie closer together are one, which drifts: clocks are set right in such small steps. */
  private static final long STEP_LEAST = 50_000;
  /** Steps kept in mind: a start is told soon after it was stamped. */
  private static final int STEPS_MOST = 16;

  /** A difference of the clocks, and when it was first and last seen, on this process's clock. */
  private static final class Difference {
    private final long firstSeen;
    private long lastSeen;
    private long micros;

    Difference(long seen, long micros) {
      firstSeen = seen;
      lastSeen = seen;
      this.micros = micros;
    }
  }

  private record Start(long told, long here) {}

  private final LongSupplier clock;
  private final LongSupplier wallClock;
  private final Deque<Difference> differences = new ArrayDeque<>();
  private final Map<String, Start> starts = new HashMap<>();

  /** {@code clock} never goes back; {@code wallClock} may be stepped. */
  StartTimes(LongSupplier clock, LongSupplier wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
    sample();
  }

  /** Looks whether the wall clock was stepped. The more often, the better it is known when. */
  void sample() {
    long now = clock.getAsLong();
    long micros = wallClock.getAsLong() - now;
    Difference last = differences.peekLast();
    if (last != null && Math.abs(micros - last.micros) < STEP_LEAST) {
      last.micros = micros;
      last.lastSeen = now;
      return;
    }
    differences.addLast(new Difference(now, micros));
    if (differences.size() > STEPS_MOST) {
      differences.removeFirst();
    }
  }

  /** Starts that are kept in mind, for a test that none is for good. */
  int held() {
    return starts.size();
  }

  /** The list with its starts on this process's clock. A start that was told before stays where it was. */
  ServerList here(ServerList list) {
    sample();
    List<ServerEntry> entries = new ArrayList<>(list.entries().size());
    for (ServerEntry entry : list.entries()) {
      long start = here(entry.server(), entry.startedAt());
      entries.add(new ServerEntry(entry.server(), entry.zone(), entry.cell(), entry.model(), start, entry.state(),
          entry.weight()));
      if (entry.state() == ServerState.GONE) {
        starts.remove(entry.server());
      }
    }
    return new ServerList(list.version(), list.kind(), entries, list.pool());
  }

  /** Forgets all but these servers: names that never come again would add up. */
  void keepOnly(Set<String> servers) {
    starts.keySet().retainAll(servers);
  }

  /** 0 is told for a start long ago. */
  private long here(String server, long told) {
    if (told == 0) {
      return 0;
    }
    Start known = starts.get(server);
    if (known == null || known.told != told) {
      known = new Start(told, reckoned(told));
      starts.put(server, known);
    }
    return known.here;
  }

  private long reckoned(long told) {
    long now = clock.getAsLong();
    long youngest = Long.MIN_VALUE;
    long earliest = Long.MIN_VALUE;
    Difference before = null;
    for (Difference difference : differences) {
      if (before != null) {
        // The step came between these two looks.
        youngest = Math.max(youngest, within(told - before.micros, earliest, difference.firstSeen));
        earliest = before.lastSeen;
      }
      before = difference;
    }
    youngest = Math.max(youngest, within(told - before.micros, earliest, now));
    // Stamped by a clock that is ahead of this machine's: it has only just started.
    return youngest == Long.MIN_VALUE ? now : youngest;
  }

  private static long within(long start, long from, long to) {
    return start >= from && start <= to ? start : Long.MIN_VALUE;
  }
}
