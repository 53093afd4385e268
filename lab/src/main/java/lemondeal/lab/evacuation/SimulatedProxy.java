package lemondeal.lab.evacuation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.EvacuationState;
import lemondeal.evacuation.ZoneMembership;
import lemondeal.evacuation.ZoneRateLimiter;
import lemondeal.evacuation.ZoneAccess;

/** A simulated proxy with arriving clients, attempts in flight, its own clock and saved state. */
final class SimulatedProxy {
  private static final long RESPONSE_MILLIS = 5;
  private static final long TIMEOUT_MILLIS = 300;
  private static final long BACKOFF_MILLIS = 1_000;
  private static final long PROBE_INTERVAL_MILLIS = 400;
  private static final long SUSPECT_PROBE_INTERVAL_MILLIS = 100;

  /** An attempt in flight; a probe has key -1. */
  private record Attempt(long endsAt, long startedAt, int server, boolean answered, boolean late, int key) {}

  private final FleetSimulation simulation;
  final int index;
  private final ZoneMembership membership;
  private final Random random;
  private final long clockOffset;
  private final double clockRate;
  private final PriorityQueue<Attempt> inFlight = new PriorityQueue<>(Comparator.comparingLong(Attempt::endsAt));
  private final long[] backoffUntil;
  private byte[] savedState = EvacuationState.NONE.encode();
  private Evacuation evacuation;
  private ZoneRateLimiter rateLimiter;
  private long incarnation;
  private final int[] arrivals;
  private long arrivalsCountedFrom;
  private long nextReportAt;
  private long nextProbeAt;

  SimulatedProxy(FleetSimulation simulation, ZoneMembership membership, Random random) {
    this.simulation = simulation;
    this.membership = membership;
    this.random = random;
    index = membership.selfIndex();
    clockOffset = random.nextInt(1_000_000_000);
    // Clocks drift by at most half of the allowed amount in either direction.
    clockRate = 1 + (random.nextDouble() - 0.5) * simulation.settings().maxClockDrift();
    backoffUntil = new long[simulation.servers()];
    arrivals = new int[simulation.zones()];
  }

  long localClock(long trueTime) {
    return clockOffset + (long) (trueTime * clockRate);
  }

  boolean isRunning() {
    return evacuation != null;
  }

  void crash() {
    evacuation = null;
    inFlight.clear();
  }

  /** @param stateDamaged whether the saved state is unreadable */
  void start(long trueTime, boolean stateDamaged) {
    Optional<EvacuationState> restoredState = stateDamaged ? Optional.empty() : EvacuationState.decode(savedState);
    incarnation = Math.max(incarnation + 1, trueTime);
    evacuation = simulation.createEvacuation(membership, incarnation, restoredState, localClock(trueTime));
    rateLimiter = new ZoneRateLimiter(membership, localClock(trueTime));
    Arrays.fill(backoffUntil, Long.MIN_VALUE);
    for (int server = 0; server < simulation.servers(); server++) {
      evacuation.healthTracker().serverReady("s" + server, simulation.zoneOf(server));
    }
    nextReportAt = localClock(trueTime) + random.nextInt(200);
    nextProbeAt = localClock(trueTime) + random.nextInt((int) PROBE_INTERVAL_MILLIS);
  }

  void receive(String from, byte[] report) {
    if (isRunning()) {
      evacuation.receiveReport(from, report);
    }
  }

  ZoneAccess access(int zone, long trueTime) {
    return evacuation.access(zone, localClock(trueTime));
  }

  /** Runs one cycle: reports ended attempts, makes decisions, routes arriving clients, sends probes and a report. */
  void tick(long trueTime) {
    long localTime = localClock(trueTime);
    while (!inFlight.isEmpty() && inFlight.peek().endsAt() <= trueTime) {
      onAttemptEnd(inFlight.poll(), trueTime, localTime);
    }
    evacuation.healthTracker().listConfirmed(localTime);
    List<Evacuation.Decision> decisions = evacuation.tick(localTime);
    decisions.forEach(decision -> simulation.onDecision(trueTime, index, decision));
    if (!decisions.isEmpty()) {
      savedState = evacuation.state().encode();
    }
    for (int client = random.nextInt(2 + 2 * (index % 3)); client > 0; client--) {
      onClientArrival(random.nextInt(FleetSimulation.KEYS), trueTime, localTime);
    }
    if (localTime >= nextProbeAt) {
      nextProbeAt = localTime + PROBE_INTERVAL_MILLIS;
      for (int zone = 0; zone < simulation.zones(); zone++) {
        nextProbeAt = evacuation.suspectsFailure(zone, localTime)
            ? localTime + SUSPECT_PROBE_INTERVAL_MILLIS : nextProbeAt;
        startAttempt(zone * simulation.servers() / simulation.zones()
            + random.nextInt(simulation.servers() / simulation.zones()), -1, trueTime);
      }
    }
    if (localTime >= nextReportAt || evacuation.reportDue()) {
      nextReportAt = localTime + simulation.settings().reportInterval();
      for (int zone = 0; zone < simulation.zones(); zone++) {
        ZoneAccess access = evacuation.access(zone, localTime);
        simulation.onReport(trueTime, index, zone, access.epoch(), evacuation.votesForNextEpoch(zone));
      }
      simulation.send(trueTime, index, evacuation.nextReport(localTime));
    }
  }

  private void onAttemptEnd(Attempt attempt, long trueTime, long localTime) {
    String server = "s" + attempt.server();
    if (attempt.answered()) {
      if (attempt.late()) {
        evacuation.healthTracker().recordLate(server, localTime);
      } else {
        evacuation.healthTracker().recordResponse(server, localTime);
      }
      return;
    }
    evacuation.healthTracker().recordTimeout(server, localTime - localClock(attempt.startedAt()), localTime);
    backoffUntil[attempt.server()] = localTime + BACKOFF_MILLIS;
    if (attempt.key() >= 0) {
      routeClient(attempt.key(), trueTime, localTime);
    }
  }

  /** Counts and routes an arriving client. Arrival rates differ widely between members. */
  private void onClientArrival(int key, long trueTime, long localTime) {
    arrivals[simulation.zoneOf(simulation.ranking(key)[0])]++;
    if (localTime - arrivalsCountedFrom >= 1_000) {
      for (int zone = 0; zone < arrivals.length; zone++) {
        evacuation.setDemand(zone, arrivals[zone] * 1_000.0 / (localTime - arrivalsCountedFrom));
      }
      Arrays.fill(arrivals, 0);
      arrivalsCountedFrom = localTime;
    }
    routeClient(key, trueTime, localTime);
  }

  /** Sends the client to its key's highest-ranked server that is not backed off and in a zone with rate limit left. */
  private void routeClient(int key, long trueTime, long localTime) {
    for (int server : simulation.ranking(key)) {
      if (backoffUntil[server] <= localTime
          && rateLimiter.tryAcquire(evacuation.access(simulation.zoneOf(server), localTime), localTime)) {
        simulation.onSend(trueTime, index, simulation.zoneOf(server), key, server);
        startAttempt(server, key, trueTime);
        return;
      }
    }
  }

  private void startAttempt(int server, int key, long trueTime) {
    boolean answered = simulation.isAnswered(index, server, trueTime, random);
    inFlight.add(new Attempt(trueTime + (answered ? RESPONSE_MILLIS : TIMEOUT_MILLIS), trueTime, server, answered,
        simulation.isLate(trueTime), key));
  }
}
