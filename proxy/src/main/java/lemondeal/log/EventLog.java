package lemondeal.log;

/**
 * The program's log. An event has a level, a stable name, a human-readable line, and named fields. Keys, tokens and
 * payloads must not appear in any of them.
 */
public interface EventLog {

  /** Severity of an event. */
  enum Level { INFO, WARN, ERROR }

  /**
   * Logs an event.
   *
   * @param name in lower case, words joined by dashes
   * @param line human-readable text, without a line end
   * @param fields alternating names and values
   */
  void event(Level level, String name, String line, Object... fields);

  /** Logs an internal error with its stack trace. */
  void failure(String line, Throwable failure);

  default void info(String name, String line, Object... fields) {
    event(Level.INFO, name, line, fields);
  }

  default void warn(String name, String line, Object... fields) {
    event(Level.WARN, name, line, fields);
  }
}
