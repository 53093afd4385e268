package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.function.Consumer;
import lemondeal.config.TlsFiles;

/** A section {@code tls} of the operator's file, wherever it stands; its keys the schema checks. */
final class TlsSection {
  private TlsSection() {}

  /**
   * The files, meant from where the operator's file is.
   *
   * @param path of the section in the file, for a fault
   */
  static TlsFiles read(JsonNode tls, Path file, String path, Consumer<String> faults) {
    if (tls.has("certificate") != tls.has("key")) {
      faults.accept(path + ": certificate and key come together; found only " + (tls.has("key") ? "key" : "certificate"));
    }
    return new TlsFiles(resolveSibling(file, tls.get("authority").asText()),
        tls.has("certificate") ? resolveSibling(file, tls.get("certificate").asText()) : null,
        tls.has("key") ? resolveSibling(file, tls.get("key").asText()) : null, tls.has("name") ? tls.get("name").asText() : null);
  }

  /** A path meant from where the file is. */
  static Path resolveSibling(Path file, String path) {
    return file.toAbsolutePath().resolveSibling(path);
  }
}
