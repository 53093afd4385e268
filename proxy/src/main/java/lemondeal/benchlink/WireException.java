package lemondeal.benchlink;

/** The input does not follow the wire; the message says what is wrong and where. */
final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
