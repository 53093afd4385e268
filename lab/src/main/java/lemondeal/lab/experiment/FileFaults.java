package lemondeal.lab.experiment;

import java.nio.file.Path;
import java.util.List;

/** Thrown with all that is wrong with a file: a line each, with the place, what was found, what is allowed. */
public final class FileFaults extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<String> faults;

  FileFaults(Path file, List<String> faults) {
    super(file + ": " + String.join("\n" + file + ": ", faults), null, false, false);
    this.faults = List.copyOf(faults);
  }

  /** Without the file's name. */
  public List<String> faults() {
    return faults;
  }
}
