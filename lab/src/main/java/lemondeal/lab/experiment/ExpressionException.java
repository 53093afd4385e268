package lemondeal.lab.experiment;

/** An invalid expression. The message says where the error is, what was found and what is allowed. */
public final class ExpressionException extends Exception {
  private static final long serialVersionUID = 1L;

  ExpressionException(int column, String what) {
    super("column " + column + ": " + what, null, false, false);
  }

  ExpressionException(String what) {
    super(what, null, false, false);
  }
}
