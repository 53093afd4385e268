package lemondeal.evacuation;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the observations of zones are taken for: first from one place, then with what others see from theirs. Pure. From
 * one place a dead zone and a broken way to it look alike; only vantage zones together tell them apart.
 */
public final class Verdicts {
  private Verdicts() {}

  /**
   * What one live proxy says of a zone.
   *
   * @param vantage the zone that it stands in
   */
  public record Voice(int vantage, Seen seen) {}

  /** What every zone with ready servers looks like from {@code own}, the zone that this proxy stands in. */
  public static Map<Integer, Verdict> local(int own, Map<Integer, ZoneEvidence> zones, long listAge,
      EvidenceSettings settings) {
    Map<Integer, Seen> seen = new TreeMap<>();
    zones.forEach((zone, evidence) -> seen.put(zone, evidence.seen(settings)));
    Map<Integer, Verdict> verdicts = new TreeMap<>();
    zones.forEach((zone, evidence) -> verdicts.put(zone,
        seen.get(zone) == Seen.UNREACHED ? unreached(own, seen)
            : other(seen.get(zone), evidence, listAge > settings.listLate())));
    return verdicts;
  }

  private static Verdict unreached(int own, Map<Integer, Seen> seen) {
    boolean ownAnswers = seen.getOrDefault(own, Seen.UNKNOWN).answers();
    long answering = seen.values().stream().filter(Seen::answers).count();
    long unreached = seen.values().stream().filter(one -> one == Seen.UNREACHED).count();
    if (answering == 0) {
      return Verdict.I_AM_CUT_OFF;
    }
    return ownAnswers && answering == 1 && unreached > 1 ? Verdict.MY_ZONE_CUT_OFF : Verdict.UNREACHED_FROM_HERE;
  }

  private static Verdict other(Seen seen, ZoneEvidence evidence, boolean listLate) {
    return switch (seen) {
      case UNKNOWN, UNREACHED -> Verdict.UNKNOWN;
      case LATE -> Verdict.OVERLOADED;
      case PARTLY -> listLate && evidence.shut() ? Verdict.DISCOVERY_LATE : Verdict.ONE_SERVER_FAILS;
      case REACHED -> listLate ? Verdict.DISCOVERY_LATE : Verdict.SOUND;
    };
  }

  /**
   * The judgement with what others see.
   *
   * @param mine this proxy's own verdict on the zone
   * @param own the zone that this proxy stands in
   * @param others what the live others say of the zone
   * @param members named proxies in all: a majority is of them, never of those in sight
   * @param vantages vantage zones that must agree
   */
  public static Verdict pooled(Verdict mine, int own, Collection<Voice> others, int members, int vantages) {
    boolean unreachedHere = mine.asksToLeave() || mine == Verdict.I_AM_CUT_OFF || mine == Verdict.MY_ZONE_CUT_OFF;
    long unreached = others.stream().filter(voice -> voice.seen() == Seen.UNREACHED).count()
        + (mine.asksToLeave() ? 1 : 0);
    long from = others.stream().filter(voice -> voice.seen() == Seen.UNREACHED).map(Voice::vantage).distinct().count()
        + (mine.asksToLeave() && others.stream()
            .noneMatch(voice -> voice.seen() == Seen.UNREACHED && voice.vantage() == own) ? 1 : 0);
    if (unreached * 2 > members && from >= vantages) {
      return Verdict.ZONE_FAILS;
    }
    if (!unreachedHere) {
      return mine;
    }
    if (others.stream().anyMatch(voice -> voice.seen().answers() && voice.vantage() == own)) {
      return Verdict.I_AM_CUT_OFF;
    }
    return others.stream().anyMatch(voice -> voice.seen().answers()) ? Verdict.MY_ZONE_CUT_OFF : mine;
  }
}
