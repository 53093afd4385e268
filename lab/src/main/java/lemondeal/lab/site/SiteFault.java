package lemondeal.lab.site;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One thing that goes wrong at a site, in the form of an experiment's faults: {@code at 5s stall n0,n1 from n2 for 3s}.
 *
 * @param from the places of proxies; empty for all
 * @param to the places of those on the other side; empty for all others
 * @param bothWays whether what {@code to} sends to {@code from} is concerned, too
 * @param passage how bytes pass meanwhile; null where it is no fault of the network
 * @param lengthMillis 0 where it has no end
 */
public record SiteFault(long atMillis, Kind kind, List<Integer> from, List<Integer> to, boolean bothWays,
    Passage passage, long lengthMillis) {

  /** What can happen: between proxies, or (STOP, KILL) to them. */
  public enum Kind { CUT, STALL, DELAY, LOSE, THROTTLE, STOP, KILL }

  private static final String TIME = "\\d+(?:\\.\\d+)?(?:ms|s|m)";
  private static final String WHO = "all|n\\d+(?:,n\\d+)*";
  private static final Pattern FORM = Pattern.compile("at (?<at>" + TIME + ")"
      + " (?<kind>cut|stall|delay|lose|throttle|stop|kill) (?<from>" + WHO + ")(?: (?<way>to|from) (?<to>" + WHO + "))?"
      + "(?: by (?<by>" + TIME + "|[0-9.]+))?(?: spread (?<spread>" + TIME + "))?(?: for (?<for>" + TIME + "))?");

  /**
   * Reads {@code at TIME KIND WHO [to|from WHO] [by AMOUNT [spread TIME]] [for TIME]}. {@code to} concerns what is sent
   * that way alone, {@code from} both ways, and without either it is both ways with all others. {@code delay} is by a
   * time and may be spread by draws of this mean, {@code lose} by the share of pieces that reset their connection,
   * {@code throttle} by bytes a second.
   *
   * @throws IllegalArgumentException where it has another form
   */
  public static SiteFault read(String text) {
    Matcher in = FORM.matcher(text);
    if (!in.matches()) {
      throw new IllegalArgumentException("found '" + text + "'; allowed: at TIME KIND WHO [to|from WHO] [by AMOUNT"
          + " [spread TIME]] [for TIME]");
    }
    Kind kind = Kind.valueOf(in.group("kind").toUpperCase(Locale.ROOT));
    return new SiteFault(millis(in.group("at")), kind, places(in.group("from")), places(in.group("to")),
        !"to".equals(in.group("way")), passage(kind, in), millis(in.group("for")));
  }

  private static Passage passage(Kind kind, Matcher in) {
    return switch (kind) {
      case CUT -> Passage.CUT;
      case STALL -> Passage.STALLED;
      case DELAY -> Passage.delayed(millis(in.group("by")), millis(in.group("spread")));
      case LOSE -> Passage.lossy(Double.parseDouble(in.group("by")));
      case THROTTLE -> Passage.slow(Integer.parseInt(in.group("by")));
      case STOP, KILL -> null;
    };
  }

  private static List<Integer> places(String who) {
    return who == null || who.equals("all") ? List.of()
        : Arrays.stream(who.split(",")).map(name -> Integer.parseInt(name.substring(1))).toList();
  }

  private static long millis(String time) {
    if (time == null) {
      return 0;
    }
    String unit = time.replaceAll("[0-9.]", "");
    return Math.round(Double.parseDouble(time.substring(0, time.length() - unit.length()))
        * (unit.equals("ms") ? 1 : unit.equals("s") ? 1_000 : 60_000));
  }

  /** Whether what one proxy sends to another is concerned. */
  boolean concerns(int sender, int receiver) {
    return isFrom(sender) && isTo(receiver) || bothWays && isFrom(receiver) && isTo(sender);
  }

  private boolean isFrom(int proxy) {
    return from.isEmpty() || from.contains(proxy);
  }

  private boolean isTo(int proxy) {
    return to.isEmpty() || to.contains(proxy);
  }
}
