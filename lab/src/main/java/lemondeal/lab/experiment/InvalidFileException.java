package lemondeal.lab.experiment;

import java.nio.file.Path;
import java.util.List;

/**
 * Thrown with all errors of a file. The message has a line for each, with the location, the value found and the allowed
 * values.
 */
public final class InvalidFileException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<String> errors;

  InvalidFileException(Path file, List<String> errors) {
    super(file + ": " + String.join("\n" + file + ": ", errors), null, false, false);
    this.errors = List.copyOf(errors);
  }

  /** The errors without the file's name. */
  public List<String> errors() {
    return errors;
  }
}
