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

/** The section {@code discovery.consul}: what the schema can't say is checked here, and all of it becomes settings. */
final class ConsulSection {
  private static final String PATH = "discovery.consul";
  private static final long WAIT_MILLIS = 30_000;
  /** Consul does not wait longer than ten minutes. */
  private static final long WAIT_MOST = 600_000;
  private static final int MOST_INSTANCES = 100_000;
  private static final long MOST_BYTES = 64L << 20;

  private static final long SAVED_MOST_AGE = 24 * 3_600_000L;
  private static final long SAVED_EVERY = 5_000;

  private final JsonNode node;
  private final Path file;
  private final Consumer<String> fault;

  ConsulSection(JsonNode node, Path file, Consumer<String> fault) {
    this.node = node;
    this.file = file;
    this.fault = fault;
  }

  /** One for each service that the section names. */
  List<Operator.ConsulService> services() {
    if (node.has("service") == node.has("services")) {
      fault.accept(PATH + ": found " + (node.has("service") ? "service and services" : "no service")
          + "; allowed: service, or services with the classes of each");
      return List.of();
    }
    if (node.has("service")) {
      return List.of(new Operator.ConsulService(settings(node.get("service").asText(), text("filter"), false), List.of()));
    }
    List<Operator.ConsulService> services = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (JsonNode one : node.get("services")) {
      List<String> classes = new ArrayList<>();
      one.get("classes").forEach(name -> classes.add(name.asText()));
      for (String name : classes) {
        if (!seen.add("class " + name)) {
          fault.accept(PATH + ".services: class '" + name + "' stands twice; allowed: each class once");
        }
      }
      String service = one.get("service").asText();
      if (!seen.add("service " + service)) {
        // A server's id is its node and service id: two sources must not list the same.
        fault.accept(PATH + ".services: service '" + service + "' stands twice; allowed: each service once");
      }
      services.add(new Operator.ConsulService(settings(service, one.path("filter").asText(text("filter")), true), classes));
    }
    return services;
  }

  private ConsulSettings settings(String service, String filter, boolean several) {
    long wait = millis(node, PATH, "wait", WAIT_MILLIS);
    if (wait > WAIT_MOST) {
      fault.accept(PATH + ".wait: found " + node.get("wait").asText() + "; allowed: 1ms to 10m");
    }
    checkFilter(filter);
    return new ConsulSettings(agents(), service, text("datacenter"), text("namespace"), text("partition"),
        ConsulSettings.Consistency.valueOf(text("consistency").isEmpty() ? "DEFAULT"
            : text("consistency").toUpperCase(Locale.ROOT)), text("near"), filter, wait,
        node.has("token_file") ? Tls.near(file, node.get("token_file").asText()) : null,
        node.has("tls") ? Tls.read(node.get("tls"), file, PATH + ".tls", fault) : null, mapping(), damping(), guard(),
        pace(), node.path("most_instances").asInt(MOST_INSTANCES), node.path("most_bytes").asLong(MOST_BYTES),
        saved(several ? "." + service : ""));
  }

  /** What Consul would refuse with each call is refused here, at the start, with its place. */
  private void checkFilter(String filter) {
    if (!filter.isEmpty()) {
      try {
        Filters.check(Filters.parse(filter));
      } catch (FilterException e) {
        fault.accept(PATH + ".filter: " + e.getMessage());
      }
    }
  }

  private ListFile.Settings saved(String suffix) {
    JsonNode saved = node.path("saved");
    return saved.isMissingNode() ? null : new ListFile.Settings(Tls.near(file, saved.get("file").asText() + suffix),
        millis(saved, PATH + ".saved", "most_age", SAVED_MOST_AGE), millis(saved, PATH + ".saved", "every", SAVED_EVERY));
  }

  private List<InetSocketAddress> agents() {
    List<InetSocketAddress> agents = new ArrayList<>();
    for (JsonNode agent : node.path("agents")) {
      try {
        agents.add(Addresses.parse(agent.asText()));
      } catch (IllegalArgumentException e) {
        fault.accept(PATH + ".agents: " + e.getMessage());
      }
    }
    return agents;
  }

  private String text(String key) {
    return node.path(key).asText("");
  }

  private MemberMapping mapping() {
    String address = node.path("address").asText("service");
    MemberMapping.AddressSource from = address.startsWith("tagged:") ? MemberMapping.AddressSource.TAGGED
        : MemberMapping.AddressSource.valueOf(address.toUpperCase(Locale.ROOT));
    return new MemberMapping(from, from == MemberMapping.AddressSource.TAGGED ? address.substring("tagged:".length()) : null,
        field("zone"), field("model"), field("cell"));
  }

  private MemberMapping.Field field(String key) {
    JsonNode field = node.path(key);
    return field.isMissingNode() ? null : new MemberMapping.Field(
        MemberMapping.FieldLocation.valueOf(field.get("from").asText().toUpperCase(Locale.ROOT)), field.get("key").asText());
  }

  private Damping.Settings damping() {
    JsonNode damping = node.path("damping");
    Damping.Settings otherwise = Damping.Settings.DEFAULT;
    Damping.Settings settings = new Damping.Settings(millis(damping, PATH + ".damping", "quiet", otherwise.initialQuiet()),
        millis(damping, PATH + ".damping", "most", otherwise.maxQuiet()),
        millis(damping, PATH + ".damping", "forget", otherwise.forgetFlapsAfter()));
    if (settings.maxQuiet() < settings.initialQuiet()) {
      fault.accept(PATH + ".damping.most: found " + settings.maxQuiet() + " ms; allowed: at least quiet, "
          + settings.initialQuiet() + " ms");
    }
    return settings;
  }

  private ListGuard.Settings guard() {
    JsonNode guard = node.path("guard");
    ListGuard.Settings otherwise = ListGuard.Settings.DEFAULT;
    return new ListGuard.Settings(guard.path("most_lost").asDouble(otherwise.maxLostShare()),
        guard.path("empty").asBoolean(otherwise.acceptEmpty()),
        millis(guard, PATH + ".guard", "stale_most", otherwise.maxStaleMillis()),
        millis(guard, PATH + ".guard", "confirm_after", otherwise.confirmAfterMillis()));
  }

  private PollBackoff.Settings pace() {
    JsonNode pace = node.path("pace");
    PollBackoff.Settings otherwise = PollBackoff.Settings.DEFAULT;
    PollBackoff.Settings settings = new PollBackoff.Settings(millis(pace, PATH + ".pace", "least", otherwise.minInterval()),
        millis(pace, PATH + ".pace", "first", otherwise.initialBackoff()), millis(pace, PATH + ".pace", "most", otherwise.maxBackoff()));
    if (settings.maxBackoff() < settings.initialBackoff()) {
      fault.accept(PATH + ".pace.most: found " + settings.maxBackoff() + " ms; allowed: at least first, "
          + settings.initialBackoff() + " ms");
    }
    return settings;
  }

  private long millis(JsonNode in, String path, String key, long otherwise) {
    return Times.millis(in, path, key, otherwise, fault);
  }
}
