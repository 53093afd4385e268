package lemondeal.operator;

import java.util.List;
import java.util.stream.Collectors;

/** A file is invalid. The message has a line for each fault. */
public final class InvalidFileException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final transient List<Fault> faults;

  public InvalidFileException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public InvalidFileException(String file, String message) {
    this(List.of(new Fault(file, 0, 0, message)));
  }

  public List<Fault> faults() {
    return faults;
  }
}
