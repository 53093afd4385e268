package lemondeal.config;

/** The configuration can't be used; the message is one plain line that says why. */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
