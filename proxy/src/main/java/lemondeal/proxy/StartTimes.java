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
 * When servers started, on this process's own clock. Discovery gives it by the wall clock of all machines, which may be
 * stepped while processes run; what is computed from it (slow start) is a span of real time. All times are
 * microseconds.
 *
 * <p>The difference between the two clocks is sampled all the time. A start is converted with the difference that held
 * when it was stamped; if several may have held then, with the one that makes the server youngest, since a server that
 * is taken for colder than it is gets too little load and not too much.
 */
final class StartTimes {
  /** Differences that lie closer together are one that drifts: clocks are corrected in such small steps. */
  private static final long MIN_STEP = 50_000;
  /** Steps that are kept: a start is announced soon after it was stamped. */
  private static final int MAX_STEPS = 16;

  /** A difference of the clocks, and when it was first and last seen, on this process's clock. */
  private static final class ClockOffset {
    private final long firstSeen;
    private long lastSeen;
    private long micros;

    ClockOffset(long seen, long micros) {
      firstSeen = seen;
      lastSeen = seen;
      this.micros = micros;
    }
  }

  private record ConvertedStart(long wallTime, long localTime) {}

  private final LongSupplier clock;
  private final LongSupplier wallClock;
  private final Deque<ClockOffset> offsets = new ArrayDeque<>();
  private final Map<String, ConvertedStart> starts = new HashMap<>();

  /** {@code clock} is monotonic; {@code wallClock} may be stepped. */
  StartTimes(LongSupplier clock, LongSupplier wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
    sample();
  }

  /** Detects steps of the wall clock. The more often this runs, the more exactly the time of a step is known. */
  void sample() {
    long now = clock.getAsLong();
    long micros = wallClock.getAsLong() - now;
    ClockOffset last = offsets.peekLast();
    if (last != null && Math.abs(micros - last.micros) < MIN_STEP) {
      last.micros = micros;
      last.lastSeen = now;
      return;
    }
    offsets.addLast(new ClockOffset(now, micros));
    if (offsets.size() > MAX_STEPS) {
      offsets.removeFirst();
    }
  }

  /** The number of starts held, for a test that none is held forever. */
  int size() {
    return starts.size();
  }

  /** The list with its starts on this process's clock. A start that was converted before keeps its result. */
  ServerList toLocalClock(ServerList list) {
    sample();
    List<ServerEntry> entries = new ArrayList<>(list.entries().size());
    for (ServerEntry entry : list.entries()) {
      long start = toLocalClock(entry.server(), entry.startedAt());
      entries.add(new ServerEntry(entry.server(), entry.zone(), entry.cell(), entry.model(), start, entry.state(),
          entry.weight()));
      if (entry.state() == ServerState.GONE) {
        starts.remove(entry.server());
      }
    }
    return new ServerList(list.version(), list.kind(), entries, list.pool());
  }

  /** Forgets all servers but these: names that never recur would accumulate. */
  void keepOnly(Set<String> servers) {
    starts.keySet().retainAll(servers);
  }

  /** A wall time of 0 means a start long ago. */
  private long toLocalClock(String server, long wallTime) {
    if (wallTime == 0) {
      return 0;
    }
    ConvertedStart known = starts.get(server);
    if (known == null || known.wallTime != wallTime) {
      known = new ConvertedStart(wallTime, convert(wallTime));
      starts.put(server, known);
    }
    return known.localTime;
  }

  private long convert(long wallTime) {
    long now = clock.getAsLong();
    long latestStart = Long.MIN_VALUE;
    long earliestStart = Long.MIN_VALUE;
    ClockOffset previous = null;
    for (ClockOffset offset : offsets) {
      if (previous != null) {
        // The step happened between these two samples.
        latestStart = Math.max(latestStart, ifWithin(wallTime - previous.micros, earliestStart, offset.firstSeen));
        earliestStart = previous.lastSeen;
      }
      previous = offset;
    }
    latestStart = Math.max(latestStart, ifWithin(wallTime - previous.micros, earliestStart, now));
    // Stamped by a clock that is ahead of this machine's: the server has only just started.
    return latestStart == Long.MIN_VALUE ? now : latestStart;
  }

  private static long ifWithin(long start, long from, long to) {
    return start >= from && start <= to ? start : Long.MIN_VALUE;
  }
}
