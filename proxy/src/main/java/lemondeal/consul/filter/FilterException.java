package lemondeal.consul.filter;

/** A filter expression that Consul would reject: the column, what was found and what is allowed. */
public final class FilterException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int column;

  FilterException(int column, String detail) {
    super("column " + column + ": " + detail, null, false, false);
    this.column = column;
  }

  /** The column, from 1; one past the end if something is missing there. */
  public int column() {
    return column;
  }
}
