package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import lemondeal.config.Addresses;
import lemondeal.consul.ConsulSettings;
import lemondeal.consul.Mapping;
import lemondeal.membership.AskPace;
import lemondeal.membership.Damping;
import lemondeal.membership.ListGuard;

/** The section {@code discovery.consul}: what the schema can't say is checked here, and all of it becomes settings. */
final class ConsulSection {
  private static final String PATH = "discovery.consul";
  private static final long WAIT_MILLIS = 30_000;
  /** Consul does not wait longer than ten minutes. */
  private static final long WAIT_MOST = 600_000;
  private static final int MOST_INSTANCES = 100_000;
  private static final long MOST_BYTES = 64L << 20;

  private final JsonNode node;
  private final Path file;
  private final Consumer<String> fault;

  ConsulSection(JsonNode node, Path file, Consumer<String> fault) {
    this.node = node;
    this.file = file;
    this.fault = fault;
  }

  ConsulSettings settings() {
    long wait = millis(node, PATH, "wait", WAIT_MILLIS);
    if (wait > WAIT_MOST) {
      fault.accept(PATH + ".wait: found " + node.get("wait").asText() + "; allowed: 1ms to 10m");
    }
    return new ConsulSettings(agents(), node.get("service").asText(), text("datacenter"), text("namespace"),
        text("partition"), ConsulSettings.Consistency.valueOf(text("consistency").isEmpty() ? "DEFAULT"
            : text("consistency").toUpperCase(Locale.ROOT)), text("near"), text("filter"), wait,
        node.has("token_file") ? Tls.near(file, node.get("token_file").asText()) : null,
        node.has("tls") ? Tls.read(node.get("tls"), file, PATH + ".tls", fault) : null, mapping(), damping(), guard(),
        pace(), node.path("most_instances").asInt(MOST_INSTANCES), node.path("most_bytes").asLong(MOST_BYTES));
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

  private Mapping mapping() {
    String address = node.path("address").asText("service");
    Mapping.AddressFrom from = address.startsWith("tagged:") ? Mapping.AddressFrom.TAGGED
        : Mapping.AddressFrom.valueOf(address.toUpperCase(Locale.ROOT));
    return new Mapping(from, from == Mapping.AddressFrom.TAGGED ? address.substring("tagged:".length()) : null,
        field("zone"), field("model"), field("cell"));
  }

  private Mapping.Field field(String key) {
    JsonNode field = node.path(key);
    return field.isMissingNode() ? null : new Mapping.Field(
        Mapping.Where.valueOf(field.get("from").asText().toUpperCase(Locale.ROOT)), field.get("key").asText());
  }

  private Damping.Settings damping() {
    JsonNode damping = node.path("damping");
    Damping.Settings otherwise = Damping.Settings.DEFAULT;
    Damping.Settings settings = new Damping.Settings(millis(damping, PATH + ".damping", "quiet", otherwise.quiet()),
        millis(damping, PATH + ".damping", "most", otherwise.most()),
        millis(damping, PATH + ".damping", "forget", otherwise.forget()));
    if (settings.most() < settings.quiet()) {
      fault.accept(PATH + ".damping.most: found " + settings.most() + " ms; allowed: at least quiet, "
          + settings.quiet() + " ms");
    }
    return settings;
  }

  private ListGuard.Settings guard() {
    JsonNode guard = node.path("guard");
    ListGuard.Settings otherwise = ListGuard.Settings.DEFAULT;
    return new ListGuard.Settings(guard.path("most_lost").asDouble(otherwise.mostLost()),
        guard.path("empty").asBoolean(otherwise.emptyBelieved()),
        millis(guard, PATH + ".guard", "stale_most", otherwise.staleMost()),
        millis(guard, PATH + ".guard", "confirm_after", otherwise.confirmAfter()));
  }

  private AskPace.Settings pace() {
    JsonNode pace = node.path("pace");
    AskPace.Settings otherwise = AskPace.Settings.DEFAULT;
    AskPace.Settings settings = new AskPace.Settings(millis(pace, PATH + ".pace", "least", otherwise.least()),
        millis(pace, PATH + ".pace", "first", otherwise.first()), millis(pace, PATH + ".pace", "most", otherwise.most()));
    if (settings.most() < settings.first()) {
      fault.accept(PATH + ".pace.most: found " + settings.most() + " ms; allowed: at least first, "
          + settings.first() + " ms");
    }
    return settings;
  }

  private long millis(JsonNode in, String path, String key, long otherwise) {
    return Times.millis(in, path, key, otherwise, fault);
  }
}
