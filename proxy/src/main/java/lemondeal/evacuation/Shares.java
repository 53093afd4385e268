package lemondeal.evacuation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * This proxy's share of what the fleet may send into a returning zone. The nth part of the first rate is its own at all
 * times, so that proxies out of touch with each other stay within the first rate together. All beyond it needs fresh
 * words of a majority; what it does not need of it, it lends to those that say they want more.
 */
final class Shares {
  /** What a proxy keeps of its share above its demand, for demand is uneven. */
  private static final double SPARE = 1.25;
  private static final double THOUSAND = 1_000;

  private final Named named;
  private final EvacuationSettings settings;
  private final Agreement agreement;
  private final Hearing hearing;
  private final Opening usual;
  private final Map<Integer, Opening> openings = new HashMap<>();
  private final Map<Integer, Loans> loans = new HashMap<>();
  private final Map<Integer, Double> demands = new HashMap<>();

  Shares(Named named, EvacuationSettings settings, Agreement agreement, Hearing hearing, Opening usual) {
    this.named = named;
    this.settings = settings;
    this.agreement = agreement;
    this.hearing = hearing;
    this.usual = usual;
  }

  void opening(int zone, Opening opening) {
    openings.put(zone, opening);
  }

  Opening opening(int zone) {
    return openings.getOrDefault(zone, usual);
  }

  void demand(int zone, double perSecond) {
    demands.put(zone, perSecond);
  }

  /** What is this proxy's own at all times. */
  double careful(int zone) {
    return opening(zone).first() / named.size();
  }

  /**
   * Whether a majority knows the zone's epoch as this proxy does, wants no other, and said so lately for certain.
   *
   * @param remembers whether this proxy's own word counts
   */
  boolean backed(Course course, boolean remembers, long now) {
    int backers = remembers && !course.votes ? 1 : 0;
    for (int place = 0; place < named.size(); place++) {
      if (fresh(place, now)) {
        Row.Word word = hearing.row(place).word(course.zone);
        backers += hearing.row(place).remembers() && word.epoch() == course.epoch && !word.votes() ? 1 : 0;
      }
    }
    return agreement.shareStands(backers, named.size());
  }

  private boolean fresh(int place, long now) {
    return place != named.self() && hearing.fresh(place, settings.shareLife(), now);
  }

  /** Counts the time in which the zone's servers have proven themselves, here or to those that tell of it. */
  void prove(Course course, boolean backed, long passed, long now) {
    boolean answers = course.seen.answers();
    for (int place = 0; place < named.size(); place++) {
      if (fresh(place, now)) {
        Row.Word word = hearing.row(place).word(course.zone);
        course.opened |= word.opened() && word.epoch() == course.epoch;
        answers |= word.seen().answers();
      }
    }
    if (course.seen == Seen.UNREACHED) {
      course.proven = 0;
    } else if (answers && course.seen != Seen.LATE && backed) {
      course.proven += passed * (1 - 2 * settings.drift());
    }
    course.opened |= course.proven >= opening(course.zone).warmMillis();
  }

  /** New connections a second into a zone that opens: the own share, without what is lent and with what is borrowed. */
  double perSecond(Course course, long now) {
    double kept = own(course) - agreement.heldBack(loans(course.zone).held(now)) / THOUSAND;
    return Math.max(careful(course.zone), kept) + borrowed(course, now);
  }

  private double own(Course course) {
    return opening(course.zone).perSecond(course.proven) / named.size();
  }

  private double borrowed(Course course, long now) {
    double borrowed = 0;
    for (int place = 0; place < named.size(); place++) {
      if (fresh(place, now) && hearing.row(place).word(course.zone).epoch() == course.epoch) {
        for (Row.Loan loan : hearing.row(place).word(course.zone).loans()) {
          borrowed += loan.to() == named.self() ? loan.rate() / THOUSAND : 0;
        }
      }
    }
    return borrowed;
  }

  private Loans loans(int zone) {
    return loans.computeIfAbsent(zone, fresh -> new Loans(settings.outlasting(settings.shareLife())));
  }

  /** Thousandths a second that this proxy would send beyond its share. */
  int wants(Course course, boolean opens) {
    double lacks = opens ? demands.getOrDefault(course.zone, 0.0) * SPARE - own(course) : 0;
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE / 4, lacks * THOUSAND));
  }

  /** What the next row lends of the zone. */
  List<Row.Loan> lend(Course course, boolean opens, long now) {
    if (!opens || !demands.containsKey(course.zone)) {
      return List.of();
    }
    double needs = Math.max(careful(course.zone), demands.get(course.zone) * SPARE);
    Map<Integer, Integer> wants = new TreeMap<>();
    for (int place = 0; place < named.size(); place++) {
      if (fresh(place, now) && hearing.row(place).word(course.zone).epoch() == course.epoch
          && hearing.row(place).word(course.zone).wants() > 0) {
        wants.put(place, hearing.row(place).word(course.zone).wants());
      }
    }
    long most = (long) Math.max(0, (own(course) - needs) * THOUSAND);
    return loans(course.zone).lend(most, wants, now);
  }
}
