package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lemondeal.config.Addresses;
import lemondeal.resume.ResumeSettings;

/**
 * The operator's own file, checked: what this installation wants beyond what the platform tells.
 *
 * @param jsonLog whether the log is one JSON object a line
 * @param resume null where no client can resume
 */
public record Operator(boolean jsonLog, Resume resume) {
  /** What an installation without such a file has. */
  public static final Operator NONE = new Operator(false, null);

  private static final long SECOND = 1000;
  private static final long DAY = 24 * 3600 * SECOND;
  private static final int WINDOW = 256;
  private static final int MOST = 10_000;
  private static final int MOST_CLAIMS = 100_000;

  /** Where claims are made. */
  public enum ClaimsIn { MEMORY, DISK, FLEET }

  /**
   * The section {@code resume}.
   *
   * @param keys the key file
   * @param folder null unless claims are made on disk
   * @param store null unless claims are made in a store shared by a fleet
   * @param mostClaims sessions held in memory or on disk
   */
  public record Resume(ResumeSettings settings, Path keys, ClaimsIn claims, Path folder, InetSocketAddress store,
      int mostClaims) {}

  /** Reads and checks the file; throws {@link FileFaults} with all that is wrong with it. */
  public static Operator read(Path file) {
    JsonNode root = new SchemaCheck("operator.schema.json").read(file);
    List<Fault> faults = new ArrayList<>();
    Operator operator = new Operator(root.path("log").path("format").asText("plain").equals("json"),
        root.has("resume") ? new Section(file, root.get("resume"), faults).resume() : null);
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
      return new Resume(settings(), path(node.path("keys").asText()), in,
          claims.has("folder") ? path(claims.get("folder").asText()) : null,
          claims.has("store") ? address(claims.get("store").asText()) : null,
          claims.path("most").asInt(MOST_CLAIMS));
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
      if (!node.has(key)) {
        return otherwise;
      }
      String text = node.get(key).asText();
      int unit = text.endsWith("ms") ? 2 : 1;
      long number = Long.parseLong(text.substring(0, text.length() - unit));
      long millis = number * switch (text.substring(text.length() - unit)) {
        case "ms" -> 1;
        case "s" -> SECOND;
        case "m" -> 60 * SECOND;
        default -> 3600 * SECOND;
      };
      if (millis > DAY) {
        fault("resume." + key + ": found " + text + "; allowed: 1ms to 24h");
      }
      return millis;
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
