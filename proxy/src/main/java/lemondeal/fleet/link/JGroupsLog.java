package lemondeal.fleet.link;

import java.util.IllegalFormatException;
import java.util.concurrent.atomic.AtomicLong;
import lemondeal.log.EventLog;
import org.jgroups.logging.CustomLogFactory;
import org.jgroups.logging.Log;

/**
 * JGroups' warnings in this program's log. All are counted, but they are logged at a limited rate, since unknown peers
 * can cause them.
 */
final class JGroupsLog implements Log, CustomLogFactory {
  private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;
  private static final int MAX_TEXT_LENGTH = 300;

  private final EventLog log;
  private final AtomicLong count = new AtomicLong();
  private final AtomicLong loggedAt = new AtomicLong(System.nanoTime() - LOG_INTERVAL_NANOS);

  JGroupsLog(EventLog log) {
    this.log = log;
  }

  long count() {
    return count.get();
  }

  private void logRateLimited(String text) {
    long total = count.incrementAndGet();
    long now = System.nanoTime();
    long lastLoggedAt = loggedAt.get();
    if (now - lastLoggedAt >= LOG_INTERVAL_NANOS && loggedAt.compareAndSet(lastLoggedAt, now)) {
      String printable = text.replaceAll("\\p{Cntrl}", " ");
      log.warn("fleet-transport", "lemondeal: fleet: transport: "
          + (printable.length() <= MAX_TEXT_LENGTH ? printable : printable.substring(0, MAX_TEXT_LENGTH) + "...")
          + " (" + total + " warnings in total)", "count", total);
    }
  }

  private static String formatted(String format, Object... args) {
    try {
      return String.format(format, args);
    } catch (IllegalFormatException e) {
      return format;
    }
  }

  private static String withFailure(String text, Throwable failure) {
    return failure == null ? text : text + ": " + failure;
  }

  @Override
  public Log getLog(Class<?> type) {
    return this;
  }

  @Override
  public Log getLog(String category) {
    return this;
  }

  @Override
  public void fatal(String text) {
    logRateLimited(text);
  }

  @Override
  public void fatal(String format, Object... args) {
    logRateLimited(formatted(format, args));
  }

  @Override
  public void fatal(String text, Throwable failure) {
    logRateLimited(withFailure(text, failure));
  }

  @Override
  public void error(String text) {
    logRateLimited(text);
  }

  @Override
  public void error(String format, Object... args) {
    logRateLimited(formatted(format, args));
  }

  @Override
  public void error(String text, Throwable failure) {
    logRateLimited(withFailure(text, failure));
  }

  @Override
  public void warn(String text) {
    logRateLimited(text);
  }

  @Override
  public void warn(String format, Object... args) {
    logRateLimited(formatted(format, args));
  }

  @Override
  public void warn(String text, Throwable failure) {
    logRateLimited(withFailure(text, failure));
  }

  @Override
  public boolean isFatalEnabled() {
    return true;
  }

  @Override
  public boolean isErrorEnabled() {
    return true;
  }

  @Override
  public boolean isWarnEnabled() {
    return true;
  }

  @Override
  public boolean isInfoEnabled() {
    return false;
  }

  @Override
  public boolean isDebugEnabled() {
    return false;
  }

  @Override
  public boolean isTraceEnabled() {
    return false;
  }

  @Override
  public void info(String text) {
    // Not logged.
  }

  @Override
  public void info(String format, Object... args) {
    // Not logged.
  }

  @Override
  public void debug(String text) {
    // Not logged.
  }

  @Override
  public void debug(String format, Object... args) {
    // Not logged.
  }

  @Override
  public void debug(String text, Throwable failure) {
    // Not logged.
  }

  @Override
  public void trace(Object object) {
    // Not logged.
  }

  @Override
  public void trace(String text) {
    // Not logged.
  }

  @Override
  public void trace(String format, Object... args) {
    // Not logged.
  }

  @Override
  public void trace(String text, Throwable failure) {
    // Not logged.
  }

  @Override
  public void setLevel(String level) {
    // Always warnings and more severe events.
  }

  @Override
  public String getLevel() {
    return "warn";
  }
}
