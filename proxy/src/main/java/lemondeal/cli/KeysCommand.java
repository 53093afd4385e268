package lemondeal.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import lemondeal.operator.KeyFile;
import lemondeal.resume.Key;
import lemondeal.resume.KeyRing;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code keys}: creates and rotates the keys of resume tokens. Shows ids and creation times, never a secret. */
@Command(name = "keys", mixinStandardHelpOptions = true,
    description = "Create and rotate the keys of resume tokens. Proxies reload a changed file on SIGHUP.")
final class KeysCommand implements Runnable {
  private static final DateTimeFormatter ID_FORMAT =
      DateTimeFormatter.ofPattern("'k'yyyyMMddHHmmss").withZone(ZoneOffset.UTC);
  private static final String FILE_DESCRIPTION = "The key file.";

  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing: make, add, use, drop, rotate or list");
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private static String newId(String given) {
    return given != null ? given : ID_FORMAT.format(Instant.now());
  }

  @Command(name = "make", mixinStandardHelpOptions = true, description = "Create a key file with one new key.")
  void make(@Parameters(paramLabel = "FILE", description = FILE_DESCRIPTION) Path file,
      @Option(names = "--id", description = "The key's id; defaults to the current time.") String id)
      throws IOException {
    if (Files.exists(file)) {
      throw new IllegalArgumentException(file + " already exists; use 'keys rotate' to add a new key");
    }
    Key key = KeyFile.newKey(newId(id));
    write(file, new KeyRing(key.id(), List.of(key)));
  }

  @Command(name = "add", mixinStandardHelpOptions = true,
      description = "Add a new key that is accepted but not used yet: the first step where several proxies share keys.")
  void add(@Parameters(paramLabel = "FILE", description = FILE_DESCRIPTION) Path file,
      @Option(names = "--id", description = "The key's id; defaults to the current time.") String id)
      throws IOException {
    write(file, KeyFile.read(file).withKey(KeyFile.newKey(newId(id))));
  }

  @Command(name = "use", mixinStandardHelpOptions = true,
      description = "Sign new tokens with this key: the second step, once all proxies accept it.")
  void use(@Parameters(index = "0", paramLabel = "FILE", description = FILE_DESCRIPTION) Path file,
      @Parameters(index = "1", paramLabel = "ID", description = "The key's id.") String id) throws IOException {
    write(file, KeyFile.read(file).withPresentKey(id));
  }

  @Command(name = "drop", mixinStandardHelpOptions = true,
      description = "Remove this key: the last step, once the tokens signed with it have expired.")
  void drop(@Parameters(index = "0", paramLabel = "FILE", description = FILE_DESCRIPTION) Path file,
      @Parameters(index = "1", paramLabel = "ID", description = "The key's id.") String id) throws IOException {
    write(file, KeyFile.read(file).withoutKey(id));
  }

  @Command(name = "rotate", mixinStandardHelpOptions = true,
      description = "Add a new key, use it at once, and keep only the latest previous keys: for a single proxy.")
  void rotate(@Parameters(paramLabel = "FILE", description = FILE_DESCRIPTION) Path file,
      @Option(names = "--id", description = "The key's id; defaults to the current time.") String id,
      @Option(names = "--keep", defaultValue = "2",
          description = "How many previous keys stay accepted (default: ${DEFAULT-VALUE}).")
      int keep) throws IOException {
    Key key = KeyFile.newKey(newId(id));
    KeyRing ring = KeyFile.read(file).withKey(key).withPresentKey(key.id());
    while (ring.keys().size() > Math.max(0, keep) + 1) {
      ring = ring.withoutKey(ring.keys().get(0).id());
    }
    write(file, ring);
  }

  @Command(name = "list", mixinStandardHelpOptions = true,
      description = "List ids, creation times and which key is the present one.")
  void list(@Parameters(paramLabel = "FILE", description = FILE_DESCRIPTION) Path file) {
    KeyRing ring = KeyFile.read(file);
    for (Key key : ring.keys()) {
      out().println(key.id() + "  made " + key.createdAt() + (key.id().equals(ring.presentId()) ? "  present" : ""));
    }
  }

  private void write(Path file, KeyRing ring) throws IOException {
    KeyFile.write(file, ring);
    list(file);
  }
}
