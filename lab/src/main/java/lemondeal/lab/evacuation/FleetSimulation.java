package lemondeal.lab.evacuation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.EvacuationSettings;
import lemondeal.evacuation.EvacuationState;
import lemondeal.evacuation.ZoneMembership;
import lemondeal.evacuation.SlowStartRamp;
import lemondeal.evacuation.ZoneAccess;

/** Simulates a fleet, its zones and their faults in steps of ten milliseconds. The same seed gives the same run. */
public final class FleetSimulation {
  static final int KEYS = 40;
  private static final int STEP_MILLIS = 10;
  private static final int TICK_MILLIS = 50;
  private static final int MAX_TRACE_LINES = 400;
  /** All zones must be open for this long before a run ends. */
  private static final long STABLE_MILLIS = 6_000;
  private static final int PAST_REPORTS_PER_MEMBER = 64;

  /** Creates a member's evacuation logic: the real one, or a faulty one that a checker must detect. */
  public interface EvacuationFactory {
    Evacuation create(ZoneMembership membership, EvacuationSettings settings, SlowStartRamp slowStart, long incarnation,
        Optional<EvacuationState> savedState, long localTime);
  }

  /**
   * Size and settings of the fleet.
   *
   * @param memberZones the zone of each member
   * @param recoveryLimitMillis time after the last fault within which all zones must be open again
   */
  public record Topology(int[] memberZones, int zones, int serversPerZone, EvacuationSettings settings,
      SlowStartRamp slowStart, long recoveryLimitMillis) {
    public int members() {
      return memberZones.length;
    }
  }

  /** A report in flight between two members. */
  private record InFlightReport(long arrivesAt, long sequence, int from, int to, byte[] report) {}

  private final Topology topology;
  private final FaultSchedule faultSchedule;
  private final EvacuationFactory factory;
  private final List<InvariantChecker> checkers;
  private final Random random;
  private final List<SimulatedProxy> members = new ArrayList<>();
  private final PriorityQueue<InFlightReport> inFlightReports =
      new PriorityQueue<>(Comparator.comparingLong(InFlightReport::arrivesAt)
          .thenComparingLong(InFlightReport::sequence));
  private final Deque<InFlightReport> pastReports = new ArrayDeque<>();
  private final Deque<String> trace = new ArrayDeque<>();
  private final List<String> breaches = new ArrayList<>();
  private final int[][] rankings = new int[KEYS][];
  private final String[] lastTraced;
  private long nextSequence;
  private long reportCount;
  private long reportBytes;

  public FleetSimulation(long seed, Topology topology, FaultSchedule faultSchedule, EvacuationFactory factory,
      List<InvariantChecker> checkers) {
    this.topology = topology;
    this.faultSchedule = faultSchedule;
    this.factory = factory;
    this.checkers = checkers;
    random = new Random(seed);
    lastTraced = new String[topology.members() * topology.zones()];
    checkers.forEach(checker -> checker.setBreachListener((rule, description) ->
        breaches.add(rule + ": " + description)));
    List<ZoneMembership.Member> memberships = IntStream.range(0, topology.members())
        .mapToObj(i -> new ZoneMembership.Member(memberName(i), topology.memberZones()[i])).toList();
    for (int i = 0; i < topology.members(); i++) {
      members.add(new SimulatedProxy(this, ZoneMembership.of(memberships, memberName(i)),
          new Random(seed * 1_000 + i)));
    }
    for (int key = 0; key < KEYS; key++) {
      int rankedKey = key;
      rankings[key] = IntStream.range(0, servers()).boxed()
          .sorted(Comparator.comparingLong(server -> new Random(rankedKey * 7_919L + server).nextLong()))
          .mapToInt(Integer::intValue).toArray();
    }
  }

  private static String memberName(int member) {
    return "p" + (char) ('a' + member / 26) + (char) ('a' + member % 26);
  }

  /** Runs until all zones have stayed open for a while, a checker reports a breach, or time is up. Returns breaches. */
  public List<String> run() {
    long lastFaultEnd = faultSchedule.lastFaultEnd();
    long stableSince = -1;
    long trueTime = 0;
    for (; breaches.isEmpty() && (stableSince < 0 || trueTime - stableSince < STABLE_MILLIS)
        && trueTime < lastFaultEnd + topology.recoveryLimitMillis(); trueTime += STEP_MILLIS) {
      step(trueTime);
      boolean stable = trueTime > lastFaultEnd && allOpen(trueTime);
      stableSince = !stable ? -1 : stableSince < 0 ? trueTime : stableSince;
    }
    boolean endedOpen = stableSince >= 0;
    long endMillis = trueTime;
    if (breaches.isEmpty()) {
      checkers.forEach(checker -> checker.onEnd(endMillis, endedOpen));
    }
    return breaches;
  }

  private boolean allOpen(long trueTime) {
    return members.stream().allMatch(member -> member.isRunning() && IntStream.range(0, topology.zones())
        .allMatch(zone -> member.access(zone, trueTime).state() == ZoneAccess.State.OPEN));
  }

  private void step(long trueTime) {
    applyFaults(trueTime);
    while (!inFlightReports.isEmpty() && inFlightReports.peek().arrivesAt() <= trueTime) {
      InFlightReport report = inFlightReports.poll();
      if (!isStalled(report.to(), trueTime)) {
        members.get(report.to()).receive(memberName(report.from()), report.report());
      } else {
        // The socket of a suspended process buffers what arrives.
        inFlightReports.add(new InFlightReport(trueTime + STEP_MILLIS, report.sequence(), report.from(), report.to(),
            report.report()));
      }
    }
    checkRateLimits(trueTime);
    for (SimulatedProxy member : members) {
      if (member.isRunning() && !isStalled(member.index, trueTime)
          && (trueTime / STEP_MILLIS + member.index) % (TICK_MILLIS / STEP_MILLIS) == 0) {
        member.tick(trueTime);
      }
    }
  }

  private void applyFaults(long trueTime) {
    for (SimulatedProxy member : members) {
      boolean dead = faultSchedule.isActive(Fault.Kind.DEAD, trueTime, member.index, 0)
          || faultSchedule.isActive(Fault.Kind.DEAD, trueTime, member.index, 1)
          || faultSchedule.anyActive(Fault.Kind.ALL_DEAD, trueTime);
      if (dead && member.isRunning()) {
        member.crash();
        trace(trueTime, member.index, "dies");
      } else if (!dead && !member.isRunning()) {
        boolean damaged = faultSchedule.isActive(Fault.Kind.DEAD, trueTime - STEP_MILLIS, member.index, 1);
        member.start(trueTime, damaged);
        trace(trueTime, member.index, "starts");
        checkers.forEach(checker -> checker.onStart(trueTime, member.index, !damaged));
      }
    }
    faultSchedule.faults().stream().filter(fault -> fault.kind() == Fault.Kind.ZONE_DIES
        && trueTime <= fault.startMillis()
        && fault.startMillis() < trueTime + STEP_MILLIS && isIsolated(fault)).forEach(fault ->
            checkers.forEach(checker -> checker.onIsolatedZoneFailure(trueTime, fault.target())));
    if (faultSchedule.anyActive(Fault.Kind.REPLAY, trueTime) && !pastReports.isEmpty()) {
      InFlightReport replayed = List.copyOf(pastReports).get(random.nextInt(pastReports.size()));
      inFlightReports.add(new InFlightReport(trueTime, nextSequence++, replayed.from(),
          random.nextInt(topology.members()), replayed.report()));
    }
  }

  /** Whether the failure lasts long enough for an evacuation, and no other fault around it should cause one. */
  private boolean isIsolated(Fault failure) {
    return failure.endMillis() - failure.startMillis() > 3_500
        && faultSchedule.faults().stream().filter(other -> other != failure)
        .filter(other -> other.startMillis() < failure.startMillis() + 3_500
            && other.endMillis() > failure.startMillis() - 30_000)
        .allMatch(other -> other.kind() == Fault.Kind.FLAPS || other.kind() == Fault.Kind.LOSSY
            || other.kind() == Fault.Kind.ROWS_LATE && other.target() <= 100);
  }

  private boolean isStalled(int member, long trueTime) {
    return faultSchedule.isActive(Fault.Kind.STALLED, trueTime, member);
  }

  private void checkRateLimits(long trueTime) {
    for (int zone = 0; zone < topology.zones(); zone++) {
      double[] rates = new double[members.size()];
      for (SimulatedProxy member : members) {
        if (member.isRunning() && !isStalled(member.index, trueTime)) {
          ZoneAccess access = member.access(zone, trueTime);
          rates[member.index] = access.maxPerSecond();
          traceAccess(trueTime, member.index, zone, access);
        }
      }
      int checkedZone = zone;
      checkers.forEach(checker -> checker.onRateLimits(trueTime, checkedZone, rates));
    }
  }

  private void traceAccess(long trueTime, int member, int zone, ZoneAccess access) {
    String description = access.state() + " in epoch " + access.epoch();
    if (!description.equals(lastTraced[member * topology.zones() + zone])) {
      lastTraced[member * topology.zones() + zone] = description;
      trace(trueTime, member, "zone " + zone + " " + description);
    }
  }

  // ---- Called by the members -------------------------------------------------------------

  EvacuationSettings settings() {
    return topology.settings();
  }

  int zones() {
    return topology.zones();
  }

  int servers() {
    return topology.zones() * topology.serversPerZone();
  }

  int zoneOf(int server) {
    return server / topology.serversPerZone();
  }

  int[] ranking(int key) {
    return rankings[key];
  }

  Evacuation createEvacuation(ZoneMembership membership, long incarnation, Optional<EvacuationState> savedState,
      long localTime) {
    return factory.create(membership, topology.settings(), topology.slowStart(), incarnation, savedState, localTime);
  }

  boolean isAnswered(int member, int server, long trueTime, Random memberRandom) {
    int zone = zoneOf(server);
    return !faultSchedule.isActive(Fault.Kind.ZONE_DIES, trueTime, zone)
        && !faultSchedule.isActive(Fault.Kind.WAY_CUT, trueTime, topology.memberZones()[member], zone)
        && !faultSchedule.isActive(Fault.Kind.MEMBER_CUT, trueTime, member, zone)
        && !(faultSchedule.isActive(Fault.Kind.FLAPS, trueTime, server) && trueTime % 1_000 < 500)
        && !(faultSchedule.isActive(Fault.Kind.LOSSY, trueTime, member, zone) && memberRandom.nextInt(10) < 3);
  }

  boolean isLate(long trueTime) {
    return faultSchedule.anyActive(Fault.Kind.ALL_LATE, trueTime);
  }

  /** Sends a member's report to all others, subject to the network faults. */
  void send(long trueTime, int from, byte[] report) {
    pastReports.addLast(new InFlightReport(trueTime, 0, from, from, report));
    if (pastReports.size() > PAST_REPORTS_PER_MEMBER * topology.members()) {
      pastReports.removeFirst();
    }
    for (int to = 0; to < topology.members(); to++) {
      if (to != from && !isLost(trueTime, from, to)) {
        reportCount++;
        reportBytes += report.length;
        int maxDelayMillis = faultSchedule.faults().stream().filter(fault -> fault.kind() == Fault.Kind.ROWS_LATE
            && fault.isActive(trueTime))
            .mapToInt(Fault::target).max().orElse(5);
        inFlightReports.add(new InFlightReport(trueTime + 1 + random.nextInt(maxDelayMillis), nextSequence++, from,
            to, report));
      }
    }
  }

  private boolean isLost(long trueTime, int from, int to) {
    return faultSchedule.anyActive(Fault.Kind.ROWS_DROP, trueTime) && random.nextInt(10) < 3
        || faultSchedule.faults().stream().filter(fault -> fault.isActive(trueTime)).anyMatch(fault ->
            fault.kind() == Fault.Kind.SPLIT && Fault.containsMember(fault.target(), from)
                != Fault.containsMember(fault.target(), to)
                || fault.kind() == Fault.Kind.ONE_WAY && Fault.containsMember(fault.target(), from)
                && Fault.containsMember(fault.parameter(), to));
  }

  void onReport(long trueTime, int member, int zone, long epoch, boolean votes) {
    checkers.forEach(checker -> checker.onReport(trueTime, member, zone, epoch, votes));
  }

  void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    trace(trueTime, member, (decision.countedHere() ? "decides epoch " : "learns of epoch ") + decision.epoch()
        + " of zone " + decision.zone());
    checkers.forEach(checker -> checker.onDecision(trueTime, member, decision));
  }

  void onSend(long trueTime, int member, int zone, int key, int server) {
    checkers.forEach(checker -> checker.onSend(trueTime, member, zone, key, server));
  }

  private void trace(long trueTime, int member, String description) {
    trace.addLast(trueTime + " ms: member " + member + " " + description);
    if (trace.size() > MAX_TRACE_LINES) {
      trace.removeFirst();
    }
  }

  /** Returns the faults and the latest events, for the message of a failing seed. */
  public String trace() {
    return faultSchedule.faults() + "\n" + String.join("\n", trace);
  }

  /** Returns the mean size of a report. */
  public double bytesPerReport() {
    return reportCount == 0 ? 0 : (double) reportBytes / reportCount;
  }
}
