package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Base64;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import lemondeal.resume.Key;
import lemondeal.resume.KeyRing;

/** Reads and writes the key file, which only its owner may read. Messages never contain secrets. */
public final class KeyFile {
  private static final Set<PosixFilePermission> OWNER_ONLY =
      EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE);

  private KeyFile() {}

  /** Reads the keys; throws {@link InvalidFileException}, also if other users can read the file. */
  public static KeyRing read(Path file) {
    requirePrivate(file);
    JsonNode root;
    try {
      root = new SchemaValidator("keys.schema.json").read(file);
    } catch (InvalidFileException e) {
      throw new InvalidFileException(e.faults().stream().map(KeyFile::withoutValue).toList());
    }
    List<Key> keys = new ArrayList<>();
    for (JsonNode key : root.get("keys")) {
      keys.add(new Key(key.get("id").asText(), Instant.parse(key.get("made").asText()),
          Base64.getDecoder().decode(key.get("secret").asText())));
    }
    try {
      return new KeyRing(root.get("present").asText(), keys);
    } catch (IllegalArgumentException e) {
      throw new InvalidFileException(file.toString(), e.getMessage());
    }
  }

  /** Removes the value found from a message, since it may be a secret with one wrong character. */
  private static Fault withoutValue(Fault fault) {
    return new Fault(fault.file(), fault.line(), fault.column(),
        fault.message().replaceAll("found .*; allowed", "allowed"));
  }

  private static void requirePrivate(Path file) {
    try {
      Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
      if (!OWNER_ONLY.containsAll(permissions)) {
        throw new InvalidFileException(file.toString(),
            "its permissions are too open (" + PosixFilePermissions.toString(permissions)
            + "); allowed: rw-------, or less");
      }
    } catch (IOException | UnsupportedOperationException e) {
      throw new InvalidFileException(file.toString(), "cannot be read: " + e);
    }
  }

  /** Creates a key with a random secret and the current time. */
  public static Key newKey(String id) {
    byte[] secret = new byte[Key.SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    return new Key(id, Instant.now().truncatedTo(ChronoUnit.SECONDS), secret);
  }

  /** Replaces the file atomically, so that a proxy that reads it meanwhile gets the old or the new content. */
  public static void write(Path file, KeyRing ring) throws IOException {
    StringBuilder text =
        new StringBuilder("# Written by 'lemondeal keys'. Secrets: nobody but the proxies may read this.\n");
    text.append("present: ").append(quoted(ring.presentId())).append("\nkeys:\n");
    for (Key key : ring.keys()) {
      text.append("  - id: ").append(quoted(key.id()))
          .append("\n    made: ").append(quoted(key.createdAt().toString()))
          .append("\n    secret: ").append(quoted(Base64.getEncoder().encodeToString(key.secret()))).append('\n');
    }
    FileAttribute<Set<PosixFilePermission>> ownerOnly = PosixFilePermissions.asFileAttribute(OWNER_ONLY);
    Path folder = file.toAbsolutePath().getParent();
    Path temporary = Files.createTempFile(folder, ".keys", ".new", ownerOnly);
    try {
      Files.write(temporary, text.toString().getBytes(StandardCharsets.US_ASCII));
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } finally {
      Files.deleteIfExists(temporary);
    }
  }

  private static String quoted(String text) {
    return '"' + text + '"';
  }
}
