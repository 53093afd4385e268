package lemondeal.log;

/**
 * The program's log. An event has a level, a name that does not change, a line for people, and named fields. A key, a
 * token or a payload is in none of them.
 */
public interface EventLog {

  /** How much an event matters. */
  enum Level { INFO, WARN, ERROR }

  /**
   * Tells an event.
   *
   * @param name lower case, words joined by dashes
   * @param line for people, without an end
   * @param fields names and values in turn
   */
  void event(Level level, String name, String line, Object... fields);

  /** Tells a failure of the program's own, with where it happened. */
  void failure(String line, Throwable failure);

  default void info(String name, String line, Object... fields) {
    event(Level.INFO, name, line, fields);
  }

  default void warn(String name, String line, Object... fields) {
    event(Level.WARN, name, line, fields);
  }
}
