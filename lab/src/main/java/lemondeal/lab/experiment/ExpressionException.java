package lemondeal.lab.experiment;

/** An expression that can't be read: where, what was found, what is allowed. */
public final class ExpressionException extends Exception {
  private static final long serialVersionUID = 1L;

  ExpressionException(int column, String what) {
    super("column " + column + ": " + what, null, false, false);
  }

  ExpressionException(String what) {
    super(what, null, false, false);
  }
}
