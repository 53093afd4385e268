package lemondeal.failover;

import lemondeal.operator.Fault;

/**
 * The position of a value in the policy file, so that an error can point to the line to change.
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
