package lemondeal.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates settings before they are used. The first invalid value is reported in one line with its path and what is
 * allowed there. Absent keys read as zero, false or empty; unknown keys are ignored.
 */
final class SettingsCheck {
  /** The longest timer that the protocol allows: 71 minutes. */
  private static final double MAX_TIME_MICROS = 71 * 60e6;
  /** Larger than any count that a proxy can have. */
  private static final double MAX_COUNT = 1 << 20;
  /** Portions are decimal fractions, whose sum may differ from 1 by a rounding error. */
  private static final double SUM_TOLERANCE = 1e-6;

  private static final String TIME_RANGE = "microseconds, 0 to 71 minutes";
  private static final String POSITIVE_TIME_RANGE = "microseconds, 1 to 71 minutes";

  private final Section root;

  private SettingsCheck(Section root) {
    this.root = root;
  }

  /** Throws on the first invalid value. */
  static void check(Section settings) {
    new SettingsCheck(settings).checkAll();
  }

  /** Validates the machine's limits. */
  static void checkMachine(Section limits) {
    for (String key : List.of("sockets", "memory_mb")) {
      checkIfPresent(limits, key, 1, MAX_COUNT, "a whole number, 1 to " + (int) MAX_COUNT);
    }
  }

  private void checkAll() {
    checkChoice(root, "membershipMode", "automatic", "subscribe");
    checkChoice(root, "weightSource", "off", "nominal", "rough", "live");
    checkChoice(root, "worthBy", "request", "work");
    checkChoice(root.section("loadReport"), "via", "off", "inline", "on_probe");
    checkChoice(root.section("familyInfo"), "mode", "proxy", "pass");
    checkIfPresent(root, "overShareWorth", 0, 1, "0 to 1");
    checkTopology();
    checkClasses();
    for (String section : List.of("rules", "permissions")) {
      if (root.values().get(section) == null) {
        throw root.fault(section, "nothing", "an object with the figures that the wire's page names");
      }
    }
    checkTenants();
    checkRules(root.section("rules"));
    checkPermissions(root.section("permissions"));
    for (String key : List.of("crossZone", "waste", "probe", "peer", "moves")) {
      checkIfPresent(root.section("prices"), key, 0, MAX_COUNT, "a number from 0 on");
    }
  }

  private void checkTopology() {
    checkUnique(root, "azs", root.list("azs"));
    checkUnique(root, "flavors", root.list("flavors"));
    int zones = Math.max(1, root.list("azs").size());
    checkIfPresent(root, "locality", 0, zones - 1, "a place in azs, 0 to " + (zones - 1));
    checkIfPresent(root, "balancers", 1, MAX_COUNT, "a whole number, 1 to " + (int) MAX_COUNT);
    double balancers = root.values().containsKey("balancers") ? root.number("balancers") : 1;
    checkIfPresent(root, "slotNo", 0, balancers - 1, "0 to balancers - 1, " + (long) (balancers - 1));
  }

  private void checkClasses() {
    List<Section> classes = root.sections("profiles");
    if (classes.isEmpty()) {
      throw root.fault("profiles", "no class", "one class at least");
    }
    Set<String> names = new HashSet<>();
    for (Section section : classes) {
      checkClassName(section, names);
      checkChoice(section, "semantics", "idempotent", "deduplicated", "at_most_once");
      checkChoice(section, "group", "all", "zone", "cell");
      checkRequired(section, "hardLimit", 1, MAX_TIME_MICROS, POSITIVE_TIME_RANGE);
      checkIfPresent(section, "aim", 0, MAX_TIME_MICROS, TIME_RANGE);
      checkIfPresent(section, "dedupWindow", 0, MAX_TIME_MICROS, TIME_RANGE);
      checkIfPresent(section, "gain", 0, Double.MAX_VALUE, "a number from 0 on");
    }
    checkNumbers(root.section("familyInfo"), "messageAim", MAX_TIME_MICROS, TIME_RANGE);
  }

  /** A class's name is part of a client's first line and of a metric's name. */
  private static void checkClassName(Section section, Set<String> names) {
    String name = section.string("name", "");
    if (!name.matches("[^\\s,=\\p{Cntrl}]+")) {
      throw section.fault("name", "'" + name + "'", "a name without blanks, commas and =");
    }
    if (!names.add(name)) {
      throw section.fault("name", "'" + name + "' twice", "a name of its own for each class");
    }
  }

  private void checkTenants() {
    double sum = 0;
    for (Section section : root.sections("tenants")) {
      checkIfPresent(section, "portion", 0, 1, "0 to 1");
      checkIfPresent(section, "quotaPerS", 0, Double.MAX_VALUE, "a number from 0 on");
      sum += section.number("portion");
    }
    if (sum > 1 + SUM_TOLERANCE) {
      throw root.fault("tenants", "portions that sum to " + sum, "portions that sum to 1 at most");
    }
    checkNumbers(root.section("familyInfo"), "tenantQuotaConnections", Double.MAX_VALUE, "a number from 0 on");
  }

  private void checkRules(Section rules) {
    for (String key : List.of("answerSlack", "drainGrace", "warmWithin")) {
      checkIfPresent(rules, key, 0, MAX_TIME_MICROS, TIME_RANGE);
    }
    checkIfPresent(rules, "overloadFor", 1, MAX_TIME_MICROS, POSITIVE_TIME_RANGE);
    checkIfPresent(rules, "fallMultiple", Double.MIN_VALUE, MAX_COUNT, "a number above 0");
    checkIfPresent(rules, "coldFrom", 0, 1, "0 to 1");
    if (root.string("membershipMode", "").equals("subscribe")) {
      checkRequired(rules, "askEvery", 1, MAX_TIME_MICROS, POSITIVE_TIME_RANGE);
    }
  }

  private static void checkPermissions(Section permissions) {
    checkIfPresent(permissions, "tryLimit", 1, MAX_COUNT, "a whole number, 1 to " + (int) MAX_COUNT);
    checkIfPresent(permissions, "dialTimeout", 1, MAX_TIME_MICROS, POSITIVE_TIME_RANGE);
    checkIfPresent(permissions, "keepalive", 0, MAX_TIME_MICROS, TIME_RANGE);
    checkIfPresent(permissions, "maxRetryAfter", 0, MAX_TIME_MICROS, TIME_RANGE);
    checkIfPresent(permissions, "cpuUsPerS", 0, Double.MAX_VALUE, "a number from 0 on");
  }

  // ---- Checks of single values ---------------------------------------------------------------

  private static void checkIfPresent(Section section, String key, double min, double max, String allowed) {
    if (section.values().get(key) != null) {
      checkRequired(section, key, min, max, allowed);
    }
  }

  private static void checkRequired(Section section, String key, double min, double max, String allowed) {
    double number = section.number(key);
    if (!(number >= min && number <= max)) {
      Object found = section.values().get(key);
      throw section.fault(key, found == null ? "nothing" : String.valueOf(found), allowed);
    }
  }

  private static void checkNumbers(Section section, String key, double max, String allowed) {
    for (Object value : section.list(key)) {
      if (!(value instanceof Double number && number >= 0 && number <= max)) {
        throw section.fault(key, String.valueOf(value), "each " + allowed);
      }
    }
  }

  private static void checkChoice(Section section, String key, String... allowed) {
    String value = section.string(key, allowed[0]);
    if (!List.of(allowed).contains(value)) {
      throw section.fault(key, "'" + value + "'", String.join(", ", allowed));
    }
  }

  private static void checkUnique(Section section, String key, List<Object> names) {
    if (new HashSet<>(names).size() < names.size()) {
      throw section.fault(key, names + " with a name twice", "each name once");
    }
  }
}
