package lemondeal.resume;

/** A text that is not an acceptable token. The message never contains any of the text. */
public final class TokenException extends Exception {
  private static final long serialVersionUID = 1;

  private final TokenFault fault;

  TokenException(TokenFault fault) {
    super("token: " + fault.name().toLowerCase(java.util.Locale.ROOT), null, false, false);
    this.fault = fault;
  }

  public TokenFault fault() {
    return fault;
  }
}
