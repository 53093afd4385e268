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
public record ClusterFault(long startMillis, Kind kind, List<Integer> fromProxies, List<Integer> toProxies, boolean bothDirections,
    NetworkConditions conditions, long durationMillis) {

  /** What can happen: between proxies, or (STOP, KILL) to them. */
  public enum Kind { CUT, STALL, DELAY, LOSE, THROTTLE, STOP, KILL }

  private static final String TIME = "\\d+(?:\\.\\d+)?(?:ms|s|m)";
  private static final String PROXIES = "all|n\\d+(?:,n\\d+)*";
  private static final Pattern SYNTAX = Pattern.compile("at (?<at>" + TIME + ")"
      + " (?<kind>cut|stall|delay|lose|throttle|stop|kill) (?<from>" + PROXIES + ")(?: (?<way>to|from) (?<to>" + PROXIES + "))?"
      + "(?: by (?<by>" + TIME + "|[0-9.]+))?(?: spread (?<spread>" + TIME + "))?(?: for (?<for>" + TIME + "))?");

  /**
   * Reads {@code at TIME KIND WHO [to|from WHO] [by AMOUNT [spread TIME]] [for TIME]}. {@code to} concerns what is sent
   * that way alone, {@code from} both ways, and without either it is both ways with all others. {@code delay} is by a
   * time and may be spread by draws of this mean, {@code lose} by the share of pieces that reset their connection,
   * {@code throttle} by bytes a second.
   *
   * @throws IllegalArgumentException where it has another form
   */
  public static ClusterFault parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("found '" + text + "'; allowed: at TIME KIND WHO [to|from WHO] [by AMOUNT"
          + " [spread TIME]] [for TIME]");
    }
    Kind kind = Kind.valueOf(matcher.group("kind").toUpperCase(Locale.ROOT));
    return new ClusterFault(parseMillis(matcher.group("at")), kind, proxyIndexes(matcher.group("from")), proxyIndexes(matcher.group("to")),
        !"to".equals(matcher.group("way")), conditions(kind, matcher), parseMillis(matcher.group("for")));
  }

  private static NetworkConditions conditions(Kind kind, Matcher matcher) {
    return switch (kind) {
      case CUT -> NetworkConditions.CUT;
      case STALL -> NetworkConditions.STALLED;
      case DELAY -> NetworkConditions.delayed(parseMillis(matcher.group("by")), parseMillis(matcher.group("spread")));
      case LOSE -> NetworkConditions.lossy(Double.parseDouble(matcher.group("by")));
      case THROTTLE -> NetworkConditions.throttled(Integer.parseInt(matcher.group("by")));
      case STOP, KILL -> null;
    };
  }

  private static List<Integer> proxyIndexes(String names) {
    return names == null || names.equals("all") ? List.of()
        : Arrays.stream(names.split(",")).map(name -> Integer.parseInt(name.substring(1))).toList();
  }

  private static long parseMillis(String time) {
    if (time == null) {
      return 0;
    }
    String unit = time.replaceAll("[0-9.]", "");
    return Math.round(Double.parseDouble(time.substring(0, time.length() - unit.length()))
        * (unit.equals("ms") ? 1 : unit.equals("s") ? 1_000 : 60_000));
  }

  /** Whether what one proxy sends to another is concerned. */
  boolean affects(int sender, int receiver) {
    return isSource(sender) && isDestination(receiver) || bothDirections && isSource(receiver) && isDestination(sender);
  }

  private boolean isSource(int proxy) {
    return fromProxies.isEmpty() || fromProxies.contains(proxy);
  }

  private boolean isDestination(int proxy) {
    return toProxies.isEmpty() || toProxies.contains(proxy);
  }
}
