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

/** One simulated proxy: clients that come in, attempts that end, a clock of its own, and what it keeps on disk. */
final class Member {
  private static final long ANSWER = 5;
  private static final long TIME_OUT = 300;
  private static final long PASS_OVER = 1_000;
  private static final long PROBE_EVERY = 400;
  private static final long PROBE_SUSPECT = 100;

  /** An attempt or a probe that ends later. */
  private record Attempt(long ends, long began, int server, boolean answered, boolean late, int key) {}

  private final Model model;
  final int place;
  private final ZoneMembership named;
  private final Random random;
  private final long clockOffset;
  private final double clockRate;
  private final PriorityQueue<Attempt> out = new PriorityQueue<>(Comparator.comparingLong(Attempt::ends));
  private final long[] passUntil;
  private byte[] kept = EvacuationState.NONE.encode();
  private Evacuation evacuation;
  private ZoneRateLimiter gate;
  private long incarnation;
  private final int[] came;
  private long countedAt;
  private long rowDue;
  private long probeDue;

  Member(Model model, ZoneMembership named, Random random) {
    this.model = model;
    this.named = named;
    this.random = random;
    place = named.selfIndex();
    clockOffset = random.nextInt(1_000_000_000);
    // Clocks run apart by less than half of what the settings allow, each way.
    clockRate = 1 + (random.nextDouble() - 0.5) * model.settings().maxClockDrift();
    passUntil = new long[model.servers()];
    came = new int[model.zones()];
  }

  long clock(long at) {
    return clockOffset + (long) (at * clockRate);
  }

  boolean runs() {
    return evacuation != null;
  }

  void die() {
    evacuation = null;
    out.clear();
  }

  /** @param damaged whether what was kept on disk can't be read */
  void start(long at, boolean damaged) {
    Optional<EvacuationState> whole = damaged ? Optional.empty() : EvacuationState.decode(kept);
    incarnation = Math.max(incarnation + 1, at);
    evacuation = model.make(named, incarnation, whole, clock(at));
    gate = new ZoneRateLimiter(named, clock(at));
    Arrays.fill(passUntil, Long.MIN_VALUE);
    for (int server = 0; server < model.servers(); server++) {
      evacuation.healthTracker().serverReady("s" + server, model.zone(server));
    }
    rowDue = clock(at) + random.nextInt(200);
    probeDue = clock(at) + random.nextInt((int) PROBE_EVERY);
  }

  void hear(String from, byte[] row) {
    if (runs()) {
      evacuation.receiveReport(from, row);
    }
  }

  ZoneAccess standing(int zone, long at) {
    return evacuation.access(zone, clock(at));
  }

  /** One turn: what ended is told, then the module judges, a client comes in, a row goes out. */
  void turn(long at) {
    long now = clock(at);
    while (!out.isEmpty() && out.peek().ends() <= at) {
      over(out.poll(), at, now);
    }
    evacuation.healthTracker().listConfirmed(now);
    List<Evacuation.Decision> decided = evacuation.tick(now);
    decided.forEach(one -> model.decided(at, place, one));
    if (!decided.isEmpty()) {
      kept = evacuation.state().encode();
    }
    for (int client = random.nextInt(2 + 2 * (place % 3)); client > 0; client--) {
      comes(random.nextInt(Model.KEYS), at, now);
    }
    if (now >= probeDue) {
      probeDue = now + PROBE_EVERY;
      for (int zone = 0; zone < model.zones(); zone++) {
        probeDue = evacuation.suspectsFailure(zone, now) ? now + PROBE_SUSPECT : probeDue;
        attempt(zone * model.servers() / model.zones() + random.nextInt(model.servers() / model.zones()), -1, at);
      }
    }
    if (now >= rowDue || evacuation.reportDue()) {
      rowDue = now + model.settings().reportInterval();
      for (int zone = 0; zone < model.zones(); zone++) {
        ZoneAccess standing = evacuation.access(zone, now);
        model.wrote(at, place, zone, standing.epoch(), evacuation.votesForNextEpoch(zone));
      }
      model.send(at, place, evacuation.nextReport(now));
    }
  }

  private void over(Attempt attempt, long at, long now) {
    String server = "s" + attempt.server();
    if (attempt.answered()) {
      if (attempt.late()) {
        evacuation.healthTracker().recordLate(server, now);
      } else {
        evacuation.healthTracker().recordResponse(server, now);
      }
      return;
    }
    evacuation.healthTracker().recordTimeout(server, now - clock(attempt.began()), now);
    passUntil[attempt.server()] = now + PASS_OVER;
    if (attempt.key() >= 0) {
      place(attempt.key(), at, now);
    }
  }

  /** A client comes in. Members see very different numbers of them. */
  private void comes(int key, long at, long now) {
    came[model.zone(model.ranking(key)[0])]++;
    if (now - countedAt >= 1_000) {
      for (int zone = 0; zone < came.length; zone++) {
        evacuation.setDemand(zone, came[zone] * 1_000.0 / (now - countedAt));
      }
      Arrays.fill(came, 0);
      countedAt = now;
    }
    place(key, at, now);
  }

  /** The key's highest server that is not passed over and whose zone may be sent to takes the client. */
  private void place(int key, long at, long now) {
    for (int server : model.ranking(key)) {
      if (passUntil[server] <= now && gate.tryAcquire(evacuation.access(model.zone(server), now), now)) {
        model.sent(at, place, model.zone(server), key, server);
        attempt(server, key, at);
        return;
      }
    }
  }

  private void attempt(int server, int key, long at) {
    boolean answers = model.answers(place, server, at, random);
    out.add(new Attempt(at + (answers ? ANSWER : TIME_OUT), at, server, answers, model.late(at), key));
  }
}
