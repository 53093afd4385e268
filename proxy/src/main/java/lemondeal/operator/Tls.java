package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.function.Consumer;
import lemondeal.config.TlsFiles;

/** A section {@code tls} of the operator's file, wherever it stands; its keys the schema checks. */
final class Tls {
  private Tls() {}

  /**
   * The files, meant from where the operator's file is.
   *
   * @param path of the section in the file, for a fault
   */
  static TlsFiles read(JsonNode tls, Path file, String path, Consumer<String> fault) {
    if (tls.has("certificate") != tls.has("key")) {
      fault.accept(path + ": certificate and key come together; found only " + (tls.has("key") ? "key" : "certificate"));
    }
    return new TlsFiles(near(file, tls.get("authority").asText()),
        tls.has("certificate") ? near(file, tls.get("certificate").asText()) : null,
        tls.has("key") ? near(file, tls.get("key").asText()) : null, tls.has("name") ? tls.get("name").asText() : null);
  }

  /** A path meant from where the file is. */
  static Path near(Path file, String text) {
    return file.toAbsolutePath().resolveSibling(text);
  }
}
