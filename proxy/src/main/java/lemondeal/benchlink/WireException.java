package lemondeal.benchlink;

/** Input that violates the wire protocol; the message says what is wrong and where. */
final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
