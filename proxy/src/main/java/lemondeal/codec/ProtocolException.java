package lemondeal.codec;

/** The peer violated the protocol; the message says how. Only that connection is closed. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  public ProtocolException(String message) {
    super(message);
  }
}
