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
 * Translates the settings object, as the simulator's wire and a proxy's configuration both carry it. Keys
 * it does not know are ignored.
 */
public final class SettingsReader {
  private final Map<String, Object> top;

  private SettingsReader(Map<String, Object> top) {
    this.top = top;
  }

  public static Settings read(Map<String, Object> top) {
    return new SettingsReader(top).settings();
  }

  private Settings settings() {
    Part root = new Part("settings", top);
    Part family = root.part("familyInfo");
    boolean asks = root.text("membershipMode", "automatic").equals("subscribe");
    String via = root.part("loadReport").text("via", "off");
    return new Settings((int) root.whole("slotNo"), (int) root.whole("balancers"),
        (int) root.whole("locality"), classes(root, family), tenants(root, family),
        rules(root.part("rules"), asks), limits(root.part("permissions")), prices(root.part("prices")),
        weights(root.text("weightSource", "off")), asks, family.flag("groups"),
        family.text("mode", "").equals("pass"), !via.equals("off"),
        root.text("worthBy", "request").equals("work"), root.number("overShareWorth"));
  }

  private static List<RequestClass> classes(Part root, Part family) {
    List<Object> aims = family.list("messageAim");
    List<RequestClass> classes = new ArrayList<>();
    for (Part part : root.parts("profiles")) {
      Object aim = classes.size() < aims.size() ? aims.get(classes.size()) : null;
      classes.add(new RequestClass(effect(part.text("semantics", "at_most_once")),
          scope(part.text("group", "all")), part.whole("dedupWindow"), part.whole("aim"),
          part.whole("hardLimit"), part.number("gain"), aim instanceof Double d ? d.longValue() : 0));
    }
    return classes;
  }

  private static List<Tenant> tenants(Part root, Part family) {
    List<Object> quotas = family.list("tenantQuotaConnections");
    List<Tenant> tenants = new ArrayList<>();
    for (Part part : root.parts("tenants")) {
      Object quota = tenants.size() < quotas.size() ? quotas.get(tenants.size()) : null;
      tenants.add(new Tenant(part.number("portion"), part.number("quotaPerS"),
          quota instanceof Double d ? d : 0));
    }
    return tenants;
  }

  private static Rules rules(Part part, boolean asks) {
    return new Rules(part.whole("answerSlack"), part.whole("drainGrace"), part.number("fallMultiple"),
        part.whole("overloadFor"), part.number("coldFrom"), part.whole("warmWithin"),
        asks ? part.whole("askEvery") : 0);
  }

  private static Limits limits(Part part) {
    return new Limits((int) part.whole("tryLimit"), part.flag("cancelling"), part.flag("mayProbe"),
        part.flag("mayTell"), part.flag("parallelTries"), part.flag("retryAfter"),
        part.whole("maxRetryAfter"), part.whole("cpuUsPerS"));
  }

  private static Prices prices(Part part) {
    return new Prices(part.number("crossZone"), part.number("waste"), part.number("probe"),
        part.number("peer"), part.number("moves"));
  }

  private static Idempotency effect(String word) {
    return switch (word) {
      case "idempotent" -> Idempotency.SAFE;
      case "deduplicated" -> Idempotency.KEYED;
      case "at_most_once" -> Idempotency.UNSAFE;
      default -> throw new ConfigException("settings: unknown semantics " + word);
    };
  }

  private static DedupScope scope(String word) {
    return switch (word) {
      case "all" -> DedupScope.ALL;
      case "zone" -> DedupScope.ZONE;
      case "cell" -> DedupScope.CELL;
      default -> throw new ConfigException("settings: unknown group " + word);
    };
  }

  private static WeightMeaning weights(String word) {
    return switch (word) {
      case "off" -> WeightMeaning.NONE;
      case "nominal" -> WeightMeaning.NOMINAL;
      case "rough" -> WeightMeaning.ROUGH;
      case "live" -> WeightMeaning.LIVE;
      default -> throw new ConfigException("settings: unknown weightSource " + word);
    };
  }
}
