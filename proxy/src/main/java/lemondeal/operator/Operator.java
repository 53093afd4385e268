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
public record Operator(boolean jsonLog, int ringsMb, List<ConsulService> consul, Resume resume, Fleet fleet) {
  /** What an installation without such a file has. */
  public static final Operator NONE = new Operator(false, 0, List.of(), null, null);

  private static final long SECOND = 1000;
  private static final int WINDOW = 256;
  private static final int MOST = 10_000;
  private static final int MOST_CLAIMS = 100_000;

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
  public record Fleet(FleetSettings settings, Evacuation evacuation, Fault place) {
    /** A fault of the section as a whole. */
    public Fault fault(String what) {
      return new Fault(place.file(), place.line(), place.column(), what);
    }
  }

  /**
   * The section {@code fleet.evacuation}: zones are left and returned to together.
   *
   * @param connections that a zone's servers usually hold together: what a zone bears that returns is reckoned from it
   * @param moves standing connections that leave a zone in a second, of all proxies together
   * @param kept the file in which decisions are kept: a proxy that forgets them is not believed
   */
  public record Evacuation(int connections, int moves, Path kept) {}

  /** Where claims are made. */
  public enum ClaimsIn { MEMORY, DISK, FLEET }

  /**
   * The section {@code resume}.
   *
   * @param keys the key file
   * @param folder null unless claims are made on disk
   * @param stores the addresses of one store shared by a fleet, tried in turn; empty unless claims are made there
   * @param tls how the store is spoken to; null for plain text
   * @param mostClaims sessions held in memory or on disk
   */
  public record Resume(ResumeSettings settings, Path keys, ClaimsIn claims, Path folder, List<InetSocketAddress> stores,
      TlsFiles tls, int mostClaims) {}

  /** Reads and checks the file; throws {@link FileFaults} with all that is wrong with it. */
  public static Operator read(Path file) {
    YamlTree tree = new SchemaCheck("operator.schema.json").tree(file);
    JsonNode root = tree.root();
    List<Fault> faults = new ArrayList<>();
    Operator operator = new Operator(root.path("log").path("format").asText("plain").equals("json"),
        root.path("limits").path("rings_mb").asInt(0),
        root.path("discovery").has("consul") ? new ConsulSection(root.path("discovery").get("consul"), file,
            what -> faults.add(new Fault(file.toString(), 0, 0, what))).services() : List.of(),
        root.has("resume") ? new Section(file, root.get("resume"), faults).resume() : null,
        root.has("fleet") ? new FleetSection(tree, file, faults).fleet() : null);
    if (!faults.isEmpty()) {
      throw new FileFaults(faults);
    }
    return operator;
  }

  /** One section on its way to values: what a schema can't say is checked here. */
  private record Section(Path file, JsonNode node, List<Fault> faults) {

    Resume resume() {
      JsonNode claims = node.path("claims");
      ClaimsIn in = ClaimsIn.valueOf(claims.path("in").asText("memory").toUpperCase(java.util.Locale.ROOT));
      needed(claims, "folder", in == ClaimsIn.DISK);
      needed(claims, "store", in == ClaimsIn.FLEET);
      if (claims.has("tls") && in != ClaimsIn.FLEET) {
        fault("resume.claims.tls: has no meaning with in: " + claims.path("in").asText("memory"));
      }
      return new Resume(settings(), path(node.path("keys").asText()), in,
          claims.has("folder") ? path(claims.get("folder").asText()) : null, stores(claims.path("store")),
          claims.has("tls") ? tls(claims.get("tls")) : null, claims.path("most").asInt(MOST_CLAIMS));
    }

    /** One address or a list of them. */
    private List<InetSocketAddress> stores(JsonNode store) {
      List<InetSocketAddress> stores = new ArrayList<>();
      for (JsonNode one : store.isArray() ? store : List.of(store)) {
        if (!one.isMissingNode()) {
          InetSocketAddress address = address(one.asText());
          if (address != null) {
            stores.add(address);
          }
        }
      }
      return stores;
    }

    private TlsFiles tls(JsonNode tls) {
      return Tls.read(tls, file, "resume.claims.tls", this::fault);
    }

    private ResumeSettings settings() {
      Set<String> classes = new LinkedHashSet<>();
      node.path("classes").forEach(name -> classes.add(name.asText()));
      long life = millis("life", 60 * SECOND);
      long checkpoint = millis("checkpoint", 5 * SECOND);
      if (checkpoint >= life) {
        fault("resume.checkpoint: found " + checkpoint + " ms; allowed: less than resume.life, " + life + " ms");
      }
      return new ResumeSettings(classes, life, millis("skew", 2 * SECOND), checkpoint, node.path("window").asInt(WINDOW),
          node.path("most").asInt(MOST), millis("lease", 10 * SECOND), millis("patience", 200), millis("retry", 500));
    }

    private void needed(JsonNode claims, String key, boolean needed) {
      if (claims.has(key) != needed) {
        fault("resume.claims." + key + ": " + (needed ? "is missing" : "has no meaning") + " with in: "
            + claims.path("in").asText("memory"));
      }
    }

    private long millis(String key, long otherwise) {
      return Times.millis(node, "resume", key, otherwise, this::fault);
    }

    /** Paths are meant from where the file is. */
    private Path path(String text) {
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

    private void fault(String what) {
      faults.add(new Fault(file.toString(), 0, 0, what));
    }
  }
}
