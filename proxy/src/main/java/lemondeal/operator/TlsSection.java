package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.function.Consumer;
import lemondeal.config.TlsFiles;

/** Reads a section {@code tls} of the operator's file. Its keys are checked by the schema. */
final class TlsSection {
  private TlsSection() {}

  /**
   * The files, with relative paths resolved against the folder of the operator's file.
   *
   * @param path the path of the section, for messages
   * @param faults receives a message for each fault
   */
  static TlsFiles read(JsonNode tls, Path file, String path, Consumer<String> faults) {
    if (tls.has("certificate") != tls.has("key")) {
      faults.accept(path + ": certificate and key must be given together; found only "
          + (tls.has("key") ? "key" : "certificate"));
    }
    return new TlsFiles(resolveSibling(file, tls.get("authority").asText()),
        tls.has("certificate") ? resolveSibling(file, tls.get("certificate").asText()) : null,
        tls.has("key") ? resolveSibling(file, tls.get("key").asText()) : null,
        tls.has("name") ? tls.get("name").asText() : null);
  }

  /** Resolves a relative path against the folder of the file. */
  static Path resolveSibling(Path file, String path) {
    return file.toAbsolutePath().resolveSibling(path);
  }
}
