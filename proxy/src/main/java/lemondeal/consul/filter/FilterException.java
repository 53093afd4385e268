package lemondeal.consul.filter;

/** A filter expression that Consul would refuse: where, what was found, what is allowed. */
public final class FilterException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int column;

  FilterException(int column, String detail) {
    super("column " + column + ": " + detail, null, false, false);
    this.column = column;
  }

  /** From 1; one behind the end where something is missing there. */
  public int column() {
    return column;
  }
}
