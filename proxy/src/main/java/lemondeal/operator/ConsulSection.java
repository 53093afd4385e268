package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import lemondeal.config.Addresses;
import lemondeal.consul.ConsulSettings;
import lemondeal.consul.MemberMapping;
import lemondeal.consul.filter.FilterException;
import lemondeal.consul.filter.Filters;
import lemondeal.membership.PollBackoff;
import lemondeal.membership.Damping;
import lemondeal.membership.ListGuard;
import lemondeal.saved.ListFile;

/** Reads the section {@code discovery.consul} into settings, and checks the rules that the schema cannot express. */
final class ConsulSection {
  private static final String PATH = "discovery.consul";
  private static final long DEFAULT_WAIT_MILLIS = 30_000;
  /** Consul does not wait longer than ten minutes. */
  private static final long MAX_WAIT_MILLIS = 600_000;
  private static final int DEFAULT_MAX_INSTANCES = 100_000;
  private static final long DEFAULT_MAX_BYTES = 64L << 20;

  private static final long DEFAULT_SAVED_MAX_AGE_MILLIS = 24 * 3_600_000L;
  private static final long DEFAULT_SAVE_INTERVAL_MILLIS = 5_000;

  private final JsonNode node;
  private final Path file;
  private final Consumer<String> faults;

  ConsulSection(JsonNode node, Path file, Consumer<String> faults) {
    this.node = node;
    this.file = file;
    this.faults = faults;
  }

  /** The settings of each service in the section. */
  List<OperatorConfig.ConsulService> services() {
    if (node.has("service") == node.has("services")) {
      faults.accept(PATH + ": found " + (node.has("service") ? "service and services" : "no service")
          + "; allowed: service, or services with the classes of each");
      return List.of();
    }
    if (node.has("service")) {
      return List.of(new OperatorConfig.ConsulService(settings(node.get("service").asText(), text("filter"), false),
          List.of()));
    }
    List<OperatorConfig.ConsulService> services = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (JsonNode entry : node.get("services")) {
      List<String> classes = new ArrayList<>();
      entry.get("classes").forEach(name -> classes.add(name.asText()));
      for (String name : classes) {
        if (!seen.add("class " + name)) {
          faults.accept(PATH + ".services: class '" + name + "' is listed twice; allowed: each class once");
        }
      }
      String service = entry.get("service").asText();
      if (!seen.add("service " + service)) {
        // A server's id is made of its node and service id, so two sources must not list the same instances.
        faults.accept(PATH + ".services: service '" + service + "' is listed twice; allowed: each service once");
      }
      services.add(new OperatorConfig.ConsulService(
          settings(service, entry.path("filter").asText(text("filter")), true), classes));
    }
    return services;
  }

  private ConsulSettings settings(String service, String filter, boolean severalServices) {
    long wait = millis(node, PATH, "wait", DEFAULT_WAIT_MILLIS);
    if (wait > MAX_WAIT_MILLIS) {
      faults.accept(PATH + ".wait: found " + node.get("wait").asText() + "; allowed: 1ms to 10m");
    }
    checkFilter(filter);
    return new ConsulSettings(agents(), service, text("datacenter"), text("namespace"), text("partition"),
        ConsulSettings.Consistency.valueOf(text("consistency").isEmpty() ? "DEFAULT"
            : text("consistency").toUpperCase(Locale.ROOT)), text("near"), filter, wait,
        node.has("token_file") ? TlsSection.resolveSibling(file, node.get("token_file").asText()) : null,
        node.has("tls") ? TlsSection.read(node.get("tls"), file, PATH + ".tls", faults) : null, mapping(), damping(),
        guard(), pollBackoff(), node.path("most_instances").asInt(DEFAULT_MAX_INSTANCES),
        node.path("most_bytes").asLong(DEFAULT_MAX_BYTES), savedList(severalServices ? "." + service : ""));
  }

  /** Rejects, when the file is read and with its location, a filter that Consul would reject on every call. */
  private void checkFilter(String filter) {
    if (!filter.isEmpty()) {
      try {
        Filters.check(Filters.parse(filter));
      } catch (FilterException e) {
        faults.accept(PATH + ".filter: " + e.getMessage());
      }
    }
  }

  private ListFile.Settings savedList(String suffix) {
    JsonNode saved = node.path("saved");
    return saved.isMissingNode() ? null
        : new ListFile.Settings(TlsSection.resolveSibling(file, saved.get("file").asText() + suffix),
            millis(saved, PATH + ".saved", "most_age", DEFAULT_SAVED_MAX_AGE_MILLIS),
            millis(saved, PATH + ".saved", "every", DEFAULT_SAVE_INTERVAL_MILLIS));
  }

  private List<InetSocketAddress> agents() {
    List<InetSocketAddress> agents = new ArrayList<>();
    for (JsonNode agent : node.path("agents")) {
      try {
        agents.add(Addresses.parse(agent.asText()));
      } catch (IllegalArgumentException e) {
        faults.accept(PATH + ".agents: " + e.getMessage());
      }
    }
    return agents;
  }

  private String text(String key) {
    return node.path(key).asText("");
  }

  private MemberMapping mapping() {
    String address = node.path("address").asText("service");
    MemberMapping.AddressSource source = address.startsWith("tagged:") ? MemberMapping.AddressSource.TAGGED
        : MemberMapping.AddressSource.valueOf(address.toUpperCase(Locale.ROOT));
    return new MemberMapping(source,
        source == MemberMapping.AddressSource.TAGGED ? address.substring("tagged:".length()) : null,
        memberField("zone"), memberField("model"), memberField("cell"));
  }

  private MemberMapping.Field memberField(String key) {
    JsonNode field = node.path(key);
    return field.isMissingNode() ? null : new MemberMapping.Field(
        MemberMapping.FieldLocation.valueOf(field.get("from").asText().toUpperCase(Locale.ROOT)),
        field.get("key").asText());
  }

  private Damping.Settings damping() {
    JsonNode damping = node.path("damping");
    Damping.Settings defaults = Damping.Settings.DEFAULT;
    Damping.Settings settings =
        new Damping.Settings(millis(damping, PATH + ".damping", "quiet", defaults.initialQuiet()),
            millis(damping, PATH + ".damping", "most", defaults.maxQuiet()),
            millis(damping, PATH + ".damping", "forget", defaults.forgetFlapsAfter()));
    checkMost(PATH + ".damping", settings.maxQuiet(), "quiet", settings.initialQuiet());
    return settings;
  }

  private ListGuard.Settings guard() {
    JsonNode guard = node.path("guard");
    ListGuard.Settings defaults = ListGuard.Settings.DEFAULT;
    long confirmAfter = millis(guard, PATH + ".guard", "confirm_after", defaults.confirmAfterMillis());
    return new ListGuard.Settings(guard.path("most_lost").asDouble(defaults.maxLostShare()),
        guard.path("empty").asBoolean(defaults.acceptEmpty()),
        millis(guard, PATH + ".guard", "stale_most", defaults.maxStaleMillis()),
        confirmAfter, millis(guard, PATH + ".guard", "confirm_empty_after",
            Math.max(confirmAfter, defaults.confirmEmptyAfterMillis())));
  }

  private PollBackoff.Settings pollBackoff() {
    JsonNode pace = node.path("pace");
    PollBackoff.Settings defaults = PollBackoff.Settings.DEFAULT;
    PollBackoff.Settings settings =
        new PollBackoff.Settings(millis(pace, PATH + ".pace", "least", defaults.minInterval()),
            millis(pace, PATH + ".pace", "first", defaults.initialBackoff()),
            millis(pace, PATH + ".pace", "most", defaults.maxBackoff()));
    checkMost(PATH + ".pace", settings.maxBackoff(), "first", settings.initialBackoff());
    return settings;
  }

  /** Reports a section's {@code most} that is under its first interval, which is named {@code firstKey}. */
  private void checkMost(String path, long mostMillis, String firstKey, long firstMillis) {
    if (mostMillis < firstMillis) {
      faults.accept(path + ".most: found " + mostMillis + " ms; allowed: at least " + firstKey + ", " + firstMillis
          + " ms");
    }
  }

  private long millis(JsonNode section, String path, String key, long defaultMillis) {
    return Durations.millis(section, path, key, defaultMillis, faults);
  }
}
