package lemondeal.failover;

import lemondeal.operator.Fault;

/**
 * Where in a policy's file something was said, so that a refusal can name the line that has to change.
 *
 * @param line from 1
 * @param column from 1
 */
public record SourceLocation(String file, int line, int column) {
  static SourceLocation of(Fault fault) {
    return new SourceLocation(fault.file(), fault.line(), fault.column());
  }

  Fault fault(String message) {
    return new Fault(file, line, column, message);
  }
}
