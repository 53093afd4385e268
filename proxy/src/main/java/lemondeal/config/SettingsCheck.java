package lemondeal.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a proxy can serve by these settings: what can't be is told in one line with its place and what is allowed
 * there, before anything has begun by it. Keys that are absent read as zero, false or empty; keys that are not known
 * are passed over.
 */
final class SettingsCheck {
  /** The longest time that a timer may be set for, on the wire's page: 71 minutes. */
  private static final double LONGEST = 71 * 60e6;
  /** Counts beyond this are no counts of anything that a proxy could have. */
  private static final double MOST = 1 << 20;
  /** Shares are given in decimals, and need not sum to 1 to the last bit. */
  private static final double ROUNDING = 1e-6;

  private static final String TIME = "microseconds, 0 to 71 minutes";
  private static final String TIME_AT_LEAST_ONE = "microseconds, 1 to 71 minutes";

  private final Part root;

  private SettingsCheck(Part root) {
    this.root = root;
  }

  /** Throws on the first thing that can't be served. */
  static void check(Part settings) {
    new SettingsCheck(settings).all();
  }

  /** What this machine may use. */
  static void checkMachine(Part limits) {
    for (String key : List.of("sockets", "memory_mb")) {
      ifThere(limits, key, 1, MOST, "a whole number, 1 to " + (int) MOST);
    }
  }

  private void all() {
    word(root, "membershipMode", "automatic", "subscribe");
    word(root, "weightSource", "off", "nominal", "rough", "live");
    word(root, "worthBy", "request", "work");
    word(root.part("loadReport"), "via", "off", "inline", "on_probe");
    word(root.part("familyInfo"), "mode", "proxy", "pass");
    ifThere(root, "overShareWorth", 0, 1, "0 to 1");
    places();
    classes();
    for (String section : List.of("rules", "permissions")) {
      if (root.values().get(section) == null) {
        throw root.fault(section, "nothing", "an object with the figures that the wire's page names");
      }
    }
    tenants();
    rules(root.part("rules"));
    permissions(root.part("permissions"));
    for (String key : List.of("crossZone", "waste", "probe", "peer", "moves")) {
      ifThere(root.part("prices"), key, 0, MOST, "a number from 0 on");
    }
  }

  private void places() {
    unique(root, "azs", root.list("azs"));
    unique(root, "flavors", root.list("flavors"));
    int zones = Math.max(1, root.list("azs").size());
    ifThere(root, "locality", 0, zones - 1, "a place in azs, 0 to " + (zones - 1));
    ifThere(root, "balancers", 1, MOST, "a whole number, 1 to " + (int) MOST);
    double nodes = root.values().containsKey("balancers") ? root.number("balancers") : 1;
    ifThere(root, "slotNo", 0, nodes - 1, "0 to balancers - 1, " + (long) (nodes - 1));
  }

  private void classes() {
    List<Part> classes = root.parts("profiles");
    if (classes.isEmpty()) {
      throw root.fault("profiles", "no class", "one class at least");
    }
    Set<String> names = new HashSet<>();
    for (Part part : classes) {
      name(part, names);
      word(part, "semantics", "idempotent", "deduplicated", "at_most_once");
      word(part, "group", "all", "zone", "cell");
      needed(part, "hardLimit", 1, LONGEST, TIME_AT_LEAST_ONE);
      ifThere(part, "aim", 0, LONGEST, TIME);
      ifThere(part, "dedupWindow", 0, LONGEST, TIME);
      ifThere(part, "gain", 0, Double.MAX_VALUE, "a number from 0 on");
    }
    numbers(root.part("familyInfo"), "messageAim", LONGEST, TIME);
  }

  /** A class's name stands in the first line of a client, and in a figure's name. */
  private static void name(Part part, Set<String> names) {
    String name = part.text("name", "");
    if (!name.matches("[^\\s,=\\p{Cntrl}]+")) {
      throw part.fault("name", "'" + name + "'", "a name without blanks, commas and =");
    }
    if (!names.add(name)) {
      throw part.fault("name", "'" + name + "' twice", "a name of its own for each class");
    }
  }

  private void tenants() {
    double sum = 0;
    for (Part part : root.parts("tenants")) {
      ifThere(part, "portion", 0, 1, "0 to 1");
      ifThere(part, "quotaPerS", 0, Double.MAX_VALUE, "a number from 0 on");
      sum += part.number("portion");
    }
    if (sum > 1 + ROUNDING) {
      throw root.fault("tenants", "portions that sum to " + sum, "portions that sum to 1 at most");
    }
    numbers(root.part("familyInfo"), "tenantQuotaConnections", Double.MAX_VALUE, "a number from 0 on");
  }

  private void rules(Part rules) {
    for (String key : List.of("answerSlack", "drainGrace", "warmWithin")) {
      ifThere(rules, key, 0, LONGEST, TIME);
    }
    ifThere(rules, "overloadFor", 1, LONGEST, TIME_AT_LEAST_ONE);
    ifThere(rules, "fallMultiple", Double.MIN_VALUE, MOST, "a number above 0");
    ifThere(rules, "coldFrom", 0, 1, "0 to 1");
    if (root.text("membershipMode", "").equals("subscribe")) {
      needed(rules, "askEvery", 1, LONGEST, TIME_AT_LEAST_ONE);
    }
  }

  private static void permissions(Part permissions) {
    ifThere(permissions, "tryLimit", 1, MOST, "a whole number, 1 to " + (int) MOST);
    ifThere(permissions, "dialTimeout", 1, LONGEST, TIME_AT_LEAST_ONE);
    ifThere(permissions, "keepalive", 0, LONGEST, TIME);
    ifThere(permissions, "maxRetryAfter", 0, LONGEST, TIME);
    ifThere(permissions, "cpuUsPerS", 0, Double.MAX_VALUE, "a number from 0 on");
  }

  // ---- Kinds of checks -----------------------------------------------------------------------

  private static void ifThere(Part part, String key, double least, double most, String allowed) {
    if (part.values().get(key) != null) {
      needed(part, key, least, most, allowed);
    }
  }

  private static void needed(Part part, String key, double least, double most, String allowed) {
    double number = part.number(key);
    if (!(number >= least && number <= most)) {
      Object found = part.values().get(key);
      throw part.fault(key, found == null ? "nothing" : String.valueOf(found), allowed);
    }
  }

  private static void numbers(Part part, String key, double most, String allowed) {
    for (Object value : part.list(key)) {
      if (!(value instanceof Double number && number >= 0 && number <= most)) {
        throw part.fault(key, String.valueOf(value), "each " + allowed);
      }
    }
  }

  private static void word(Part part, String key, String... allowed) {
    String word = part.text(key, allowed[0]);
    if (!List.of(allowed).contains(word)) {
      throw part.fault(key, "'" + word + "'", String.join(", ", allowed));
    }
  }

  private static void unique(Part part, String key, List<Object> names) {
    if (new HashSet<>(names).size() < names.size()) {
      throw part.fault(key, names + " with a name twice", "each name once");
    }
  }
}
