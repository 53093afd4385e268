package lemondeal.codec;

/** The other side does not keep to the protocol; the message says how. Ends that connection alone. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public ProtocolException(String message) {
    super(message);
  }
}
