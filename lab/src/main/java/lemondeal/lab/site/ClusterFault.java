package lemondeal.lab.site;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A scheduled fault of a cluster, in the syntax of an experiment's faults: {@code at 5s stall n0,n1 from n2 for 3s}.
 *
 * @param fromProxies indexes of the sending proxies; empty for all
 * @param toProxies indexes of the receiving proxies; empty for all others
 * @param bothDirections whether traffic from {@code toProxies} to {@code fromProxies} is affected as well
 * @param conditions network conditions during the fault; null for kinds that are not network faults
 * @param durationMillis 0 for a fault without an end
 */
public record ClusterFault(long startMillis, Kind kind, List<Integer> fromProxies, List<Integer> toProxies,
    boolean bothDirections, NetworkConditions conditions, long durationMillis) {

  /** Kinds of faults: STOP and KILL affect processes, the others the network between them. */
  public enum Kind { CUT, STALL, DELAY, LOSE, THROTTLE, STOP, KILL }

  private static final String TIME = "\\d+(?:\\.\\d+)?(?:ms|s|m)";
  private static final String PROXIES = "all|n\\d+(?:,n\\d+)*";
  private static final Pattern SYNTAX = Pattern.compile("at (?<at>" + TIME + ")"
      + " (?<kind>cut|stall|delay|lose|throttle|stop|kill) (?<from>" + PROXIES + ")(?: (?<way>to|from) (?<to>"
      + PROXIES + "))?"
      + "(?: by (?<by>" + TIME + "|[0-9.]+))?(?: spread (?<spread>" + TIME + "))?(?: for (?<for>" + TIME + "))?");

  /**
   * Parses {@code at TIME KIND WHO [to|from WHO] [by AMOUNT [spread TIME]] [for TIME]}. {@code to} affects only that
   * direction, {@code from} both directions, and neither of them both directions with all others. The amount is a time
   * for {@code delay}, with {@code spread} as the mean of the jitter; the fraction of chunks that reset their
   * connection for {@code lose}; and bytes per second for {@code throttle}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static ClusterFault parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("found '" + text + "'; allowed: at TIME KIND WHO [to|from WHO] [by AMOUNT"
          + " [spread TIME]] [for TIME]");
    }
    Kind kind = Kind.valueOf(matcher.group("kind").toUpperCase(Locale.ROOT));
    return new ClusterFault(parseMillis(matcher.group("at")), kind, proxyIndexes(matcher.group("from")),
        proxyIndexes(matcher.group("to")), !"to".equals(matcher.group("way")), conditions(kind, matcher),
        parseMillis(matcher.group("for")));
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

  /** Whether the fault affects traffic from one proxy to another. */
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
