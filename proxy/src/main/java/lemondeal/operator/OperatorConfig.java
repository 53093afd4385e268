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
 * The operator's own file, checked: what this installation wants beyond what the platform tells.
 *
 * @param jsonLog whether the log is one JSON object a line
 * @param ringsMb megabytes that ring buffers may take at most; 0 where the platform's bound holds
 * @param consul the services that list the servers in Consul; empty where they are not listed there
 * @param resume null where no client can resume
 * @param fleet null where the proxies tell each other nothing
 */
public record OperatorConfig(boolean jsonLog, int ringBufferMegabytes, List<ConsulService> consulServices, Resume resume, Fleet fleet) {
  /** What an installation without such a file has. */
  public static final OperatorConfig NONE = new OperatorConfig(false, 0, List.of(), null, null);

  private static final long SECOND_MILLIS = 1000;
  private static final int DEFAULT_WINDOW = 256;
  private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
  private static final int DEFAULT_MAX_CLAIMS = 100_000;

  /**
   * One service of Consul's.
   *
   * @param classes whose servers it lists; empty where it lists those of all classes
   */
  public record ConsulService(ConsulSettings settings, List<String> classes) {}

  /**
   * The section {@code fleet}.
   *
   * @param evacuation null where zones are not left together
   * @param place where it stands in the file, for what is wrong with it beside the file's own rules
   */
  public record Fleet(FleetSettings settings, Evacuation evacuation, Fault location) {
    /** A fault of the section as a whole. */
    public Fault fault(String message) {
      return new Fault(location.file(), location.line(), location.column(), message);
    }
  }

  /**
   * The section {@code fleet.evacuation}: zones are left and returned to together.
   *
   * @param connections that a zone's servers usually hold together: what a zone bears that returns is reckoned from it
   * @param moves standing connections that leave a zone in a second, of all proxies together
   * @param kept the file in which decisions are kept: a proxy that forgets them is not believed
   */
  public record Evacuation(int usualConnections, int movesPerSecond, Path stateFile) {}

  /** Where claims are made. */
  public enum ClaimStorage { MEMORY, DISK, FLEET }

  /**
   * The section {@code resume}.
   *
   * @param keys the key file
   * @param folder null unless claims are made on disk
   * @param stores the addresses of one store shared by a fleet, tried in turn; empty unless claims are made there
   * @param tls how the store is spoken to; null for plain text
   * @param mostClaims sessions held in memory or on disk
   */
  public record Resume(ResumeSettings settings, Path keyFile, ClaimStorage claimStorage, Path claimsFolder, List<InetSocketAddress> storeAddresses,
      TlsFiles tls, int maxClaims) {}

  /** Reads and checks the file; throws {@link FileFaults} with all that is wrong with it. */
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

  /** One section on its way to values: what a schema can't say is checked here. */
  private record ResumeSection(Path file, JsonNode node, List<Fault> faults) {

    Resume resume() {
      JsonNode claims = node.path("claims");
      ClaimStorage storage = ClaimStorage.valueOf(claims.path("in").asText("memory").toUpperCase(java.util.Locale.ROOT));
      checkPresence(claims, "folder", storage == ClaimStorage.DISK);
      checkPresence(claims, "store", storage == ClaimStorage.FLEET);
      if (claims.has("tls") && storage != ClaimStorage.FLEET) {
        fault("resume.claims.tls: has no meaning with in: " + claims.path("in").asText("memory"));
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
      return new ResumeSettings(classes, life, millis("skew", 2 * SECOND_MILLIS), checkpoint, node.path("window").asInt(DEFAULT_WINDOW),
          node.path("most").asInt(DEFAULT_MAX_CONNECTIONS), millis("lease", 10 * SECOND_MILLIS), millis("patience", 200), millis("retry", 500));
    }

    private void checkPresence(JsonNode claims, String key, boolean required) {
      if (claims.has(key) != required) {
        fault("resume.claims." + key + ": " + (required ? "is missing" : "has no meaning") + " with in: "
            + claims.path("in").asText("memory"));
      }
    }

    private long millis(String key, long defaultMillis) {
      return Durations.millis(node, "resume", key, defaultMillis, this::fault);
    }

    /** Paths are meant from where the file is. */
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
