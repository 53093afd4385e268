package lemondeal.config;

/** The configuration cannot be used; the message says why in one line. */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
