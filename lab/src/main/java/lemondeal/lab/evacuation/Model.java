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

/** A fleet, its zones and what goes wrong between them, in steps of ten milliseconds. The same seed, the same run. */
public final class Model {
  static final int KEYS = 40;
  private static final int STEP = 10;
  private static final int TURN = 50;
  private static final int TRACE = 400;
  /** All must be open for so long before a run ends. */
  private static final long CALM = 6_000;
  private static final int OLD_ROWS = 64;

  /** Makes a member's evacuation: the real one, or one with a mistake that a checker has to find. */
  public interface Maker {
    Evacuation make(ZoneMembership named, EvacuationSettings settings, SlowStartRamp opening, long incarnation,
        Optional<EvacuationState> kept, long now);
  }

  /**
   * @param vantages the zone of each member
   * @param longest milliseconds after the last fault within which all must be open again
   */
  public record Shape(int[] vantages, int zones, int serversPerZone, EvacuationSettings settings, SlowStartRamp opening,
      long longest) {
    public int members() {
      return vantages.length;
    }
  }

  /** A row on its way. */
  private record Flying(long arrives, long order, int from, int to, byte[] row) {}

  private final Shape shape;
  private final Script script;
  private final Maker maker;
  private final List<Checker> checkers;
  private final Random random;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Flying> flying =
      new PriorityQueue<>(Comparator.comparingLong(Flying::arrives).thenComparingLong(Flying::order));
  private final Deque<Flying> old = new ArrayDeque<>();
  private final Deque<String> trace = new ArrayDeque<>();
  private final List<String> breaches = new ArrayList<>();
  private final int[][] rankings = new int[KEYS][];
  private final String[] told;
  private long order;
  private long rows;
  private long bytes;

  public Model(long seed, Shape shape, Script script, Maker maker, List<Checker> checkers) {
    this.shape = shape;
    this.script = script;
    this.maker = maker;
    this.checkers = checkers;
    random = new Random(seed);
    told = new String[shape.members() * shape.zones()];
    checkers.forEach(checker -> checker.tellTo((rule, what) -> breaches.add(rule + ": " + what)));
    List<ZoneMembership.Member> names = IntStream.range(0, shape.members())
        .mapToObj(i -> new ZoneMembership.Member(name(i), shape.vantages()[i])).toList();
    for (int i = 0; i < shape.members(); i++) {
      members.add(new Member(this, ZoneMembership.of(names, name(i)), new Random(seed * 1_000 + i)));
    }
    for (int key = 0; key < KEYS; key++) {
      int of = key;
      rankings[key] = IntStream.range(0, servers()).boxed()
          .sorted(Comparator.comparingLong(server -> new Random(of * 7_919L + server).nextLong()))
          .mapToInt(Integer::intValue).toArray();
    }
  }

  private static String name(int member) {
    return "p" + (char) ('a' + member / 26) + (char) ('a' + member % 26);
  }

  /** Plays until all has been well for a while, or for too long not; returns what rules were broken. */
  public List<String> run() {
    long to = script.to();
    long wellSince = -1;
    long at = 0;
    for (; breaches.isEmpty() && (wellSince < 0 || at - wellSince < CALM) && at < to + shape.longest(); at += STEP) {
      step(at);
      boolean well = at > to && allOpen(at);
      wellSince = !well ? -1 : wellSince < 0 ? at : wellSince;
    }
    boolean open = wellSince >= 0;
    long end = at;
    if (breaches.isEmpty()) {
      checkers.forEach(checker -> checker.over(end, open));
    }
    return breaches;
  }

  private boolean allOpen(long at) {
    return members.stream().allMatch(member -> member.runs() && IntStream.range(0, shape.zones())
        .allMatch(zone -> member.standing(zone, at).state() == ZoneAccess.State.OPEN));
  }

  private void step(long at) {
    begin(at);
    while (!flying.isEmpty() && flying.peek().arrives() <= at) {
      Flying row = flying.poll();
      if (!stands(row.to(), at)) {
        members.get(row.to()).hear(name(row.from()), row.row());
      } else {
        // The socket of a process that stands still keeps what comes.
        flying.add(new Flying(at + STEP, row.order(), row.from(), row.to(), row.row()));
      }
    }
    shares(at);
    for (Member member : members) {
      if (member.runs() && !stands(member.place, at) && (at / STEP + member.place) % (TURN / STEP) == 0) {
        member.turn(at);
      }
    }
  }

  private void begin(long at) {
    for (Member member : members) {
      boolean dead = script.on(Fault.Kind.DEAD, at, member.place, 0) || script.on(Fault.Kind.DEAD, at, member.place, 1)
          || script.any(Fault.Kind.ALL_DEAD, at);
      if (dead && member.runs()) {
        member.die();
        trace(at, member.place, "dies");
      } else if (!dead && !member.runs()) {
        boolean damaged = script.on(Fault.Kind.DEAD, at - STEP, member.place, 1);
        member.start(at, damaged);
        trace(at, member.place, "starts");
        checkers.forEach(checker -> checker.started(at, member.place, !damaged));
      }
    }
    script.faults().stream().filter(fault -> fault.kind() == Fault.Kind.ZONE_DIES && at <= fault.from()
        && fault.from() < at + STEP && alone(fault)).forEach(fault ->
            checkers.forEach(checker -> checker.failsAlone(at, fault.a())));
    if (script.any(Fault.Kind.REPLAY, at) && !old.isEmpty()) {
      Flying again = List.copyOf(old).get(random.nextInt(old.size()));
      flying.add(new Flying(at, order++, again.from(), random.nextInt(shape.members()), again.row()));
    }
  }

  /** Whether this zone's failure is long enough and everything else that is wrong then should move nobody. */
  private boolean alone(Fault failure) {
    return failure.to() - failure.from() > 3_500 && script.faults().stream().filter(other -> other != failure)
        .filter(other -> other.from() < failure.from() + 3_500 && other.to() > failure.from() - 30_000)
        .allMatch(other -> other.kind() == Fault.Kind.FLAPS || other.kind() == Fault.Kind.LOSSY
            || other.kind() == Fault.Kind.ROWS_LATE && other.a() <= 100);
  }

  private boolean stands(int member, long at) {
    return script.on(Fault.Kind.STALLED, at, member);
  }

  private void shares(long at) {
    for (int zone = 0; zone < shape.zones(); zone++) {
      double[] shares = new double[members.size()];
      for (Member member : members) {
        if (member.runs() && !stands(member.place, at)) {
          ZoneAccess standing = member.standing(zone, at);
          shares[member.place] = standing.maxPerSecond();
          tell(at, member.place, zone, standing);
        }
      }
      int of = zone;
      checkers.forEach(checker -> checker.shares(at, of, shares));
    }
  }

  private void tell(long at, int member, int zone, ZoneAccess standing) {
    String now = standing.state() + " in epoch " + standing.epoch();
    if (!now.equals(told[member * shape.zones() + zone])) {
      told[member * shape.zones() + zone] = now;
      trace(at, member, "zone " + zone + " " + now);
    }
  }

  // ---- What members ask and tell -------------------------------------------------------------

  EvacuationSettings settings() {
    return shape.settings();
  }

  int zones() {
    return shape.zones();
  }

  int servers() {
    return shape.zones() * shape.serversPerZone();
  }

  int zone(int server) {
    return server / shape.serversPerZone();
  }

  int[] ranking(int key) {
    return rankings[key];
  }

  Evacuation make(ZoneMembership named, long incarnation, Optional<EvacuationState> kept, long now) {
    return maker.make(named, shape.settings(), shape.opening(), incarnation, kept, now);
  }

  boolean answers(int member, int server, long at, Random dice) {
    int zone = zone(server);
    return !script.on(Fault.Kind.ZONE_DIES, at, zone)
        && !script.on(Fault.Kind.WAY_CUT, at, shape.vantages()[member], zone)
        && !script.on(Fault.Kind.MEMBER_CUT, at, member, zone)
        && !(script.on(Fault.Kind.FLAPS, at, server) && at % 1_000 < 500)
        && !(script.on(Fault.Kind.LOSSY, at, member, zone) && dice.nextInt(10) < 3);
  }

  boolean late(long at) {
    return script.any(Fault.Kind.ALL_LATE, at);
  }

  /** Sends a member's row to all others, as far as the ways let it. */
  void send(long at, int from, byte[] row) {
    old.addLast(new Flying(at, 0, from, from, row));
    if (old.size() > OLD_ROWS * shape.members()) {
      old.removeFirst();
    }
    for (int to = 0; to < shape.members(); to++) {
      if (to != from && !lost(at, from, to)) {
        rows++;
        bytes += row.length;
        int slowest = script.faults().stream().filter(fault -> fault.kind() == Fault.Kind.ROWS_LATE && fault.on(at))
            .mapToInt(Fault::a).max().orElse(5);
        flying.add(new Flying(at + 1 + random.nextInt(slowest), order++, from, to, row));
      }
    }
  }

  private boolean lost(long at, int from, int to) {
    return script.any(Fault.Kind.ROWS_DROP, at) && random.nextInt(10) < 3
        || script.faults().stream().filter(fault -> fault.on(at)).anyMatch(fault ->
            fault.kind() == Fault.Kind.SPLIT && Fault.among(fault.a(), from) != Fault.among(fault.a(), to)
                || fault.kind() == Fault.Kind.ONE_WAY && Fault.among(fault.a(), from) && Fault.among(fault.b(), to));
  }

  void wrote(long at, int member, int zone, long epoch, boolean votes) {
    checkers.forEach(checker -> checker.wrote(at, member, zone, epoch, votes));
  }

  void decided(long at, int member, Evacuation.Decision decided) {
    trace(at, member, (decided.countedHere() ? "decides epoch " : "hears of epoch ") + decided.epoch() + " of zone "
        + decided.zone());
    checkers.forEach(checker -> checker.decided(at, member, decided));
  }

  void sent(long at, int member, int zone, int key, int server) {
    checkers.forEach(checker -> checker.sent(at, member, zone, key, server));
  }

  private void trace(long at, int member, String what) {
    trace.addLast(at + " ms: member " + member + " " + what);
    if (trace.size() > TRACE) {
      trace.removeFirst();
    }
  }

  /** What was to go wrong and what happened last, for a seed that fails. */
  public String trace() {
    return script.faults() + "\n" + String.join("\n", trace);
  }

  /** Bytes of a row, in the mean. */
  public double bytesPerRow() {
    return rows == 0 ? 0 : (double) bytes / rows;
  }
}
