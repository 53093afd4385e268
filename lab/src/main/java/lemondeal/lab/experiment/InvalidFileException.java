package lemondeal.lab.experiment;

import java.nio.file.Path;
import java.util.List;

/** Thrown with all that is wrong with a file: a line each, with the place, what was found, what is allowed. */
public final class InvalidFileException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<String> errors;

  InvalidFileException(Path file, List<String> errors) {
    super(file + ": " + String.join("\n" + file + ": ", errors), null, false, false);
    this.errors = List.copyOf(errors);
  }

  /** Without the file's name. */
  public List<String> errors() {
    return errors;
  }
}
