package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One proxy's part in leaving zones together and coming back. Rows of others, observations and the time go in; the own
 * row and the zones' standings come out. Pure: no clock, no I/O, one caller at a time. Times are milliseconds of the
 * local monotonic clock.
 *
 * <p>An epoch's content is fixed by its number, so two majorities can't decide differently on one. A proxy votes for
 * the next epoch once it has asked a majority, and follows the highest that any row tells. Whatever a proxy sends
 * beyond its careful share needs fresh words of a majority that knows the same epoch and does not vote against it.
 */
public final class Evacuation {
  /** Zones held at most; what rows tell of others is left. */
  private static final int MOST_ZONES = 64;

  private final Named named;
  private final EvacuationSettings settings;
  private final Agreement agreement;
  private final Shares shares;
  private final ZoneWatch watch;
  private final Hearing hearing;
  private final Map<Integer, Course> courses = new TreeMap<>();
  private final Set<Integer> ready = new TreeSet<>();
  private final EvacuationState saved;
  private final int toAsk;
  private final long incarnation;
  private final long startedAt;
  private long beat;
  private long tickedAt;
  /** Whether enough others have answered since the start. */
  private boolean asked;
  /** Whether it knows all that it ever knew: what was kept was whole, or the others have told it. */
  private boolean remembers;
  private boolean tellNow;
  private byte[] plan;

  /**
   * A decision as this proxy came to know it.
   *
   * @param here whether it counted the votes itself
   */
  public record Decided(int zone, long epoch, boolean here) {
    public boolean leaves() {
      return epoch % 2 == 1;
    }
  }

  /**
   * @param usual how zones open of which nothing else is told
   * @param incarnation of this start, above those of all earlier ones
   * @param kept what was kept on disk, {@link EvacuationState#NONE} on the first start ever; empty where it is
   *     damaged or lost: the proxy may then have been one of a majority that it does not remember
   */
  public Evacuation(Named named, EvacuationSettings settings, Opening usual, long incarnation,
      Optional<EvacuationState> kept, long now) {
    this(named, settings, usual, incarnation, kept, now, new Agreement());
  }

  Evacuation(Named named, EvacuationSettings settings, Opening usual, long incarnation, Optional<EvacuationState> kept,
      long now, Agreement agreement) {
    this.named = named;
    this.settings = settings;
    this.agreement = agreement;
    saved = kept.orElse(EvacuationState.NONE);
    remembers = kept.isPresent();
    toAsk = toAsk(named.size(), remembers);
    this.incarnation = incarnation;
    plan = saved.plan();
    startedAt = now;
    tickedAt = now;
    watch = new ZoneWatch(settings.evidence());
    hearing = new Hearing(named);
    shares = new Shares(named, settings, agreement, hearing, usual);
    saved.zones().keySet().stream().limit(MOST_ZONES).forEach(this::course);
  }

  /**
   * Others that a starting proxy must hear: with it they are a majority if it remembers what it knew. If not, it may
   * have been one of the majority that decided, and must meet that majority's others.
   */
  private static int toAsk(int members, boolean remembers) {
    int majority = members / 2 + 1;
    return Math.min(members - 1, remembers ? majority - 1 : members - majority + 1);
  }

  /** Where this proxy's observations go. */
  public ZoneWatch watch() {
    return watch;
  }

  /**
   * From now on the zone opens like this. Every proxy of the fleet must be told the same, from settings alone; one that
   * knows of less room may hold its own down with {@link Opening#within}, as less is always safe.
   */
  public void opening(int zone, Opening opening) {
    shares.opening(zone, opening);
  }

  /**
   * What this proxy would send into the zone if it were open. What its share has beyond that is lent to proxies that
   * have too little; while nothing is told, nothing is.
   *
   * @param perSecond new connections a second
   */
  public void demand(int zone, double perSecond) {
    shares.demand(zone, perSecond);
  }

  /** Takes the newest content of a proxy's row; one that is not usable is counted and changes nothing. */
  public void hear(String owner, byte[] content) {
    hearing.hear(owner, content);
  }

  /** Rows that were not usable so far. */
  public long ignoredRows() {
    return hearing.ignored();
  }

  /**
   * Judges, votes and counts. To be called a few times in each interval between rows.
   *
   * @return decisions that became known, in order
   */
  public List<Decided> tick(long now) {
    long passed = now - tickedAt;
    tickedAt = now;
    if (passed * 2 > settings.evidence().blip()) {
      watch.stoodStill();
      courses.values().forEach(course -> course.stoodStill(now));
    }
    look(now);
    asked |= hearing.answered(settings.voteLife(), now) >= toAsk;
    remembers |= asked;
    List<Decided> decided = new ArrayList<>();
    for (Course course : courses.values()) {
      follow(course, now, decided);
    }
    Map<Integer, Verdict> verdicts = verdicts(now);
    for (Course course : courses.values()) {
      vote(course, verdicts.getOrDefault(course.zone, Verdict.UNKNOWN), now);
      count(course, now, decided);
      // What passed before this proxy learnt of the return proves nothing.
      prove(course, Math.min(Math.min(passed, 2 * settings.tell()), now - course.learntAt), now);
    }
    return decided;
  }

  private void look(long now) {
    ready.clear();
    watch.zones(now).forEach((zone, evidence) -> {
      ready.add(zone);
      if (courses.containsKey(zone) || courses.size() < MOST_ZONES) {
        course(zone).see(evidence.seen(settings.evidence()), now);
      }
    });
    courses.values().stream().filter(course -> !ready.contains(course.zone))
        .forEach(course -> course.see(Seen.UNKNOWN, now));
    for (int place = 0; place < named.size(); place++) {
      if (hearing.row(place) != null) {
        hearing.row(place).zones().keySet().stream().filter(zone -> courses.size() < MOST_ZONES)
            .forEach(this::course);
      }
    }
  }

  private Course course(int zone) {
    return courses.computeIfAbsent(zone, fresh -> new Course(zone, saved.zones().get(zone), startedAt));
  }

  /** What this proxy takes the zones' failures for, by itself. */
  public Map<Integer, Verdict> verdicts(long now) {
    return Verdicts.local(named.zone(), watch.zones(now), watch.listAge(now), settings.evidence());
  }

  /** Whether enough servers of the zone fail for asking them more often to be worth it: it may be the zone. */
  public boolean suspects(int zone, long now) {
    ZoneEvidence evidence = watch.zones(now).get(zone);
    return evidence != null && evidence.failing() >= ZoneEvidence.enough(evidence.ready());
  }

  /** The verdict on a zone with what the others see. */
  public Verdict pooled(int zone, long now) {
    List<Verdicts.Voice> voices = new ArrayList<>();
    Set<Integer> live = live(now);
    live.stream().filter(place -> place != named.self()).forEach(place ->
        voices.add(new Verdicts.Voice(named.zone(place), hearing.row(place).word(zone).seen())));
    return Verdicts.pooled(verdicts(now).getOrDefault(zone, Verdict.UNKNOWN), named.zone(), voices, named.size(),
        Agreement.vantages(live, named, zone));
  }

  /** Places of the proxies heard of for certain, this one included. */
  private Set<Integer> live(long now) {
    Set<Integer> live = new TreeSet<>();
    for (int place = 0; place < named.size(); place++) {
      if (place == named.self() || hearing.fresh(place, settings.voteLife(), now)) {
        live.add(place);
      }
    }
    return live;
  }

  // ---- Decisions -----------------------------------------------------------------------------

  /** The highest epoch that anybody knows is the fleet's, however old the row is. */
  private void follow(Course course, long now, List<Decided> decided) {
    for (int place = 0; place < named.size(); place++) {
      Row row = hearing.row(place);
      if (row != null && agreement.newer(row.word(course.zone).epoch(), course.epoch)) {
        go(course, row.word(course.zone).epoch(), row.word(course.zone).relapses(), false, now, decided);
      }
    }
  }

  private void go(Course course, long epoch, int relapses, boolean here, long now, List<Decided> decided) {
    course.go(epoch, relapses, now, settings.calm());
    decided.add(new Decided(course.zone, epoch, here));
    tellNow = true;
  }

  private void vote(Course course, Verdict verdict, long now) {
    boolean yes = asked && (course.left() ? sound(course, now) : fails(course, verdict, now));
    tellNow |= yes != course.votes;
    course.vote(yes, now);
  }

  private boolean fails(Course course, Verdict verdict, long now) {
    return verdict.asksToLeave() && now - course.learntAt >= settings.leaveDwell()
        && courses.values().stream().anyMatch(other -> other != course && takesOver(other, now));
  }

  /** Whether the zone can be counted on while another is left: nobody may leave the last one. */
  private boolean takesOver(Course other, long now) {
    return !other.left() && other.seen.answers() && now - other.votedAt > 2 * settings.outlasting(settings.voteLife());
  }

  private boolean sound(Course course, long now) {
    long dwell = settings.returnDwell(course.relapses);
    boolean answers = now - course.answeredAt <= settings.evidence().recent();
    return ready.contains(course.zone)
        && course.calmFor(now) >= (answers ? dwell : dwell * settings.blindTimes());
  }

  private void count(Course course, long now, List<Decided> decided) {
    Set<Integer> live = live(now);
    Set<Integer> voters = new TreeSet<>();
    for (int place : live) {
      boolean votes = place == named.self() ? course.votes : votes(hearing.row(place).word(course.zone), course);
      if (votes) {
        voters.add(place);
      }
    }
    if (!voters.isEmpty() && agreement.decides(voters, live, named, course.zone)) {
      go(course, course.epoch + 1, 0, true, now, decided);
    }
  }

  private static boolean votes(Row.Word word, Course course) {
    return word.votes() && word.epoch() == course.epoch;
  }

  // ---- Return --------------------------------------------------------------------------------

  private void prove(Course course, long passed, long now) {
    // What an earlier start of this proxy lent out must have run out first.
    if (!course.left() && !course.opened && now - startedAt >= settings.outlasting(settings.shareLife())) {
      shares.prove(course, shares.backed(course, remembers, now), passed, now);
    }
    // A zone that was never left has nothing to prove, once a majority says so.
    course.opened |= course.epoch == 0 && shares.backed(course, remembers, now);
  }

  // ---- What comes out ------------------------------------------------------------------------

  /** How this proxy stands to a zone at this moment: asked anew before each send, as a share may have run out since. */
  public ZoneStanding standing(int zone, long now) {
    Course course = course(zone);
    if (!asked && now - startedAt < settings.askFor()) {
      return ZoneStanding.none(zone, ZoneStanding.State.ASKING, course.epoch);
    }
    if (course.left() && !allLeft()) {
      return ZoneStanding.none(zone, ZoneStanding.State.CLOSED, course.epoch);
    }
    Opening opening = shares.opening(zone);
    if (course.left() || !shares.backed(course, remembers, now)) {
      return new ZoneStanding(zone, ZoneStanding.State.CAREFUL, opening.open(0), shares.careful(zone), course.epoch);
    }
    if (course.opened) {
      return new ZoneStanding(zone, ZoneStanding.State.OPEN, 1, Double.POSITIVE_INFINITY, course.epoch);
    }
    if (course.seen == Seen.UNREACHED) {
      return ZoneStanding.none(zone, ZoneStanding.State.RELAPSING, course.epoch);
    }
    return new ZoneStanding(zone, ZoneStanding.State.OPENING, opening.open(course.proven),
        shares.perSecond(course, now), course.epoch);
  }

  /** With every zone left, none of them is: then it is no zone's failure. */
  private boolean allLeft() {
    return ready.stream().allMatch(zone -> course(zone).left());
  }

  /** Standings of all known zones, by zone. */
  public List<ZoneStanding> standings(long now) {
    return List.copyOf(courses.keySet()).stream().map(zone -> standing(zone, now)).toList();
  }

  /** Whether something changed that the others should hear before the next row is due. */
  public boolean tellNow() {
    return tellNow;
  }

  /** The content of the own next row. */
  public byte[] row(long now) {
    tellNow = false;
    Map<Integer, Row.Word> words = new TreeMap<>();
    courses.forEach((zone, course) -> words.put(zone, word(course, now)));
    return hearing.write(incarnation, ++beat, remembers, words, now);
  }

  private Row.Word word(Course course, long now) {
    boolean opens = standing(course.zone, now).state() == ZoneStanding.State.OPENING;
    return new Row.Word(course.epoch, course.votes, course.seen, course.opened && !course.left(), course.relapses,
        shares.wants(course, opens), shares.lend(course, opens, now));
  }

  /** The plan that is in force from now on, by its digest. */
  public void plan(byte[] digest) {
    plan = digest.clone();
  }

  /** Whether this proxy votes for the zone's next epoch. */
  public boolean votes(int zone) {
    return course(zone).votes;
  }

  /** What is to be kept on disk whenever a decision became known. */
  public EvacuationState state() {
    Map<Integer, EvacuationState.Zone> zones = new TreeMap<>();
    courses.values().stream().filter(course -> course.epoch > 0).forEach(course ->
        zones.put(course.zone, new EvacuationState.Zone(course.epoch, course.relapses)));
    return new EvacuationState(zones, plan);
  }
}
