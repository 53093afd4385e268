package lemondeal.config;

import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Limits;
import lemondeal.Balancer.Prices;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Rules;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Tenant;
import lemondeal.Balancer.WeightMeaning;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Converts the settings object of the simulator's protocol and of a proxy's configuration, which have the same form, to
 * {@link Settings}. Unknown keys are ignored.
 */
public final class SettingsReader {
  private final Map<String, Object> object;

  private SettingsReader(Map<String, Object> object) {
    this.object = object;
  }

  public static Settings read(Map<String, Object> object) {
    return new SettingsReader(object).settings();
  }

  private Settings settings() {
    Section root = new Section("settings", object);
    Section family = root.section("familyInfo");
    boolean subscribes = root.string("membershipMode", "automatic").equals("subscribe");
    String via = root.section("loadReport").string("via", "off");
    return new Settings((int) root.wholeNumber("slotNo"), (int) root.wholeNumber("balancers"),
        (int) root.wholeNumber("locality"), classes(root, family), tenants(root, family),
        rules(root.section("rules"), subscribes), limits(root.section("permissions")), prices(root.section("prices")),
        weightMeaning(root.string("weightSource", "off")), subscribes, family.flag("groups"),
        family.string("mode", "").equals("pass"), !via.equals("off"),
        root.string("worthBy", "request").equals("work"), root.number("overShareWorth"));
  }

  private static List<RequestClass> classes(Section root, Section family) {
    List<Object> aims = family.list("messageAim");
    List<RequestClass> classes = new ArrayList<>();
    for (Section section : root.sections("profiles")) {
      Object aim = classes.size() < aims.size() ? aims.get(classes.size()) : null;
      classes.add(new RequestClass(idempotency(section.string("semantics", "at_most_once")),
          dedupScope(section.string("group", "all")), section.wholeNumber("dedupWindow"), section.wholeNumber("aim"),
          section.wholeNumber("hardLimit"), section.number("gain"),
          aim instanceof Double micros ? micros.longValue() : 0));
    }
    return classes;
  }

  private static List<Tenant> tenants(Section root, Section family) {
    List<Object> quotas = family.list("tenantQuotaConnections");
    List<Tenant> tenants = new ArrayList<>();
    for (Section section : root.sections("tenants")) {
      Object quota = tenants.size() < quotas.size() ? quotas.get(tenants.size()) : null;
      tenants.add(new Tenant(section.number("portion"), section.number("quotaPerS"),
          quota instanceof Double number ? number : 0));
    }
    return tenants;
  }

  private static Rules rules(Section section, boolean subscribes) {
    return new Rules(section.wholeNumber("answerSlack"), section.wholeNumber("drainGrace"),
        section.number("fallMultiple"), section.wholeNumber("overloadFor"), section.number("coldFrom"),
        section.wholeNumber("warmWithin"), subscribes ? section.wholeNumber("askEvery") : 0);
  }

  private static Limits limits(Section section) {
    return new Limits((int) section.wholeNumber("tryLimit"), section.flag("cancelling"), section.flag("mayProbe"),
        section.flag("mayTell"), section.flag("parallelTries"), section.flag("retryAfter"),
        section.wholeNumber("maxRetryAfter"), section.wholeNumber("cpuUsPerS"));
  }

  private static Prices prices(Section section) {
    return new Prices(section.number("crossZone"), section.number("waste"), section.number("probe"),
        section.number("peer"), section.number("moves"));
  }

  private static Idempotency idempotency(String value) {
    return switch (value) {
      case "idempotent" -> Idempotency.SAFE;
      case "deduplicated" -> Idempotency.KEYED;
      case "at_most_once" -> Idempotency.UNSAFE;
      default -> throw new ConfigException("settings: unknown semantics " + value);
    };
  }

  private static DedupScope dedupScope(String value) {
    return switch (value) {
      case "all" -> DedupScope.ALL;
      case "zone" -> DedupScope.ZONE;
      case "cell" -> DedupScope.CELL;
      default -> throw new ConfigException("settings: unknown group " + value);
    };
  }

  private static WeightMeaning weightMeaning(String value) {
    return switch (value) {
      case "off" -> WeightMeaning.NONE;
      case "nominal" -> WeightMeaning.NOMINAL;
      case "rough" -> WeightMeaning.ROUGH;
      case "live" -> WeightMeaning.LIVE;
      default -> throw new ConfigException("settings: unknown weightSource " + value);
    };
  }
}
