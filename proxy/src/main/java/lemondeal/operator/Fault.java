package lemondeal.operator;

/**
 * A fault in a file.
 *
 * @param line from 1; 0 if the fault has no position in the file
 * @param column from 1
 */
public record Fault(String file, int line, int column, String message) {
  @Override
  public String toString() {
    return line == 0 ? file + ": " + message : file + ":" + line + ":" + column + ": " + message;
  }
}
