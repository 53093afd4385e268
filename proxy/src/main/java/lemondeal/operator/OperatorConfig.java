package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lemondeal.config.Addresses;
import lemondeal.config.TlsFiles;
import lemondeal.consul.ConsulSettings;
import lemondeal.fleet.FleetSettings;
import lemondeal.resume.ResumeSettings;

/**
 * The validated content of the operator's file: settings of this installation beyond those that the platform gives.
 *
 * @param jsonLog whether the log has one JSON object per line
 * @param ringBufferMegabytes the limit on the memory of ring buffers; 0 to use the platform's limit
 * @param consulServices the services that list the servers in Consul; empty if Consul is not used
 * @param resume null if clients cannot resume
 * @param fleet null if the proxies do not communicate with each other
 */
public record OperatorConfig(boolean jsonLog, int ringBufferMegabytes, List<ConsulService> consulServices,
    Resume resume, Fleet fleet) {
  /** The settings without an operator's file. */
  public static final OperatorConfig NONE = new OperatorConfig(false, 0, List.of(), null, null);

  private static final long SECOND_MILLIS = 1000;
  private static final int DEFAULT_WINDOW = 256;
  private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
  private static final int DEFAULT_MAX_CLAIMS = 100_000;

  /**
   * A service in Consul.
   *
   * @param classes the classes whose servers it lists; empty for all classes
   */
  public record ConsulService(ConsulSettings settings, List<String> classes) {}

  /**
   * The section {@code fleet}.
   *
   * @param evacuation null if the fleet does not evacuate zones
   * @param location the position of the section, for faults that are found after the file was read
   */
  public record Fleet(FleetSettings settings, Evacuation evacuation, Fault location) {
    /** A fault of the section as a whole. */
    public Fault fault(String message) {
      return new Fault(location.file(), location.line(), location.column(), message);
    }
  }

  /**
   * The section {@code fleet.evacuation}: the proxies evacuate failed zones, and return to them, in agreement.
   *
   * @param usualConnections how many connections the servers of a zone usually hold in total; the rate at which a zone
   *     is filled again on return derives from it
   * @param movesPerSecond how many established connections all proxies together move out of a zone per second
   * @param stateFile the file in which decisions are saved; other proxies do not rely on the state of a proxy that has
   *     lost its decisions
   */
  public record Evacuation(int usualConnections, int movesPerSecond, Path stateFile) {}

  /** Where claims are stored. */
  public enum ClaimStorage { MEMORY, DISK, FLEET }

  /**
   * The section {@code resume}.
   *
   * @param claimsFolder null unless claims are stored on disk
   * @param storeAddresses the addresses of the store shared by the fleet, tried in turn; empty unless claims are stored
   *     there
   * @param tls TLS for connections to the store; null for plain text
   * @param maxClaims the largest number of sessions held in memory or on disk
   */
  public record Resume(ResumeSettings settings, Path keyFile, ClaimStorage claimStorage, Path claimsFolder,
      List<InetSocketAddress> storeAddresses, TlsFiles tls, int maxClaims) {}

  /** Reads and validates the file; throws {@link InvalidFileException} with all its faults. */
  public static OperatorConfig read(Path file) {
    YamlTree tree = new SchemaValidator("operator.schema.json").readTree(file);
    JsonNode root = tree.root();
    List<Fault> faults = new ArrayList<>();
    OperatorConfig config = new OperatorConfig(root.path("log").path("format").asText("plain").equals("json"),
        root.path("limits").path("rings_mb").asInt(0),
        root.path("discovery").has("consul") ? new ConsulSection(root.path("discovery").get("consul"), file,
            message -> faults.add(new Fault(file.toString(), 0, 0, message))).services() : List.of(),
        root.has("resume") ? new ResumeSection(file, root.get("resume"), faults).resume() : null,
        root.has("fleet") ? new FleetSection(tree, file, faults).fleet() : null);
    if (!faults.isEmpty()) {
      throw new InvalidFileException(faults);
    }
    return config;
  }

  /** Reads the section {@code resume}, and checks the rules that the schema cannot express. */
  private record ResumeSection(Path file, JsonNode node, List<Fault> faults) {

    Resume resume() {
      JsonNode claims = node.path("claims");
      ClaimStorage storage =
          ClaimStorage.valueOf(claims.path("in").asText("memory").toUpperCase(java.util.Locale.ROOT));
      checkPresence(claims, "folder", storage == ClaimStorage.DISK);
      checkPresence(claims, "store", storage == ClaimStorage.FLEET);
      if (claims.has("tls") && storage != ClaimStorage.FLEET) {
        fault("resume.claims.tls: is not allowed with in: " + claims.path("in").asText("memory"));
      }
      return new Resume(settings(), resolve(node.path("keys").asText()), storage,
          claims.has("folder") ? resolve(claims.get("folder").asText()) : null, storeAddresses(claims.path("store")),
          claims.has("tls") ? tls(claims.get("tls")) : null, claims.path("most").asInt(DEFAULT_MAX_CLAIMS));
    }

    /** One address or a list of them. */
    private List<InetSocketAddress> storeAddresses(JsonNode store) {
      List<InetSocketAddress> addresses = new ArrayList<>();
      for (JsonNode entry : store.isArray() ? store : List.of(store)) {
        if (!entry.isMissingNode()) {
          InetSocketAddress address = address(entry.asText());
          if (address != null) {
            addresses.add(address);
          }
        }
      }
      return addresses;
    }

    private TlsFiles tls(JsonNode tls) {
      return TlsSection.read(tls, file, "resume.claims.tls", this::fault);
    }

    private ResumeSettings settings() {
      Set<String> classes = new LinkedHashSet<>();
      node.path("classes").forEach(name -> classes.add(name.asText()));
      long life = millis("life", 60 * SECOND_MILLIS);
      long checkpoint = millis("checkpoint", 5 * SECOND_MILLIS);
      if (checkpoint >= life) {
        fault("resume.checkpoint: found " + checkpoint + " ms; allowed: less than resume.life, " + life + " ms");
      }
      return new ResumeSettings(classes, life, millis("skew", 2 * SECOND_MILLIS), checkpoint,
          node.path("window").asInt(DEFAULT_WINDOW), node.path("most").asInt(DEFAULT_MAX_CONNECTIONS),
          millis("lease", 10 * SECOND_MILLIS), millis("patience", 200), millis("retry", 500));
    }

    private void checkPresence(JsonNode claims, String key, boolean required) {
      if (claims.has(key) != required) {
        fault("resume.claims." + key + ": " + (required ? "is missing" : "is not allowed") + " with in: "
            + claims.path("in").asText("memory"));
      }
    }

    private long millis(String key, long defaultMillis) {
      return Durations.millis(node, "resume", key, defaultMillis, this::fault);
    }

    /** Resolves a relative path against the folder of the operator's file. */
    private Path resolve(String text) {
      return file.toAbsolutePath().resolveSibling(text);
    }

    private InetSocketAddress address(String text) {
      try {
        return Addresses.parse(text);
      } catch (IllegalArgumentException e) {
        fault("resume.claims.store: " + e.getMessage());
        return null;
      }
    }

    private void fault(String message) {
      faults.add(new Fault(file.toString(), 0, 0, message));
    }
  }
}
