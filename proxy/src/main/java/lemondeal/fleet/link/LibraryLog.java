package lemondeal.fleet.link;

import java.util.IllegalFormatException;
import java.util.concurrent.atomic.AtomicLong;
import lemondeal.log.EventLog;
import org.jgroups.logging.CustomLogFactory;
import org.jgroups.logging.Log;

/** The library's warnings in this program's log: counted all, told one in a while, since strangers can cause them. */
final class LibraryLog implements Log, CustomLogFactory {
  private static final long TELL_EVERY_NANOS = 10_000_000_000L;
  private static final int SHOWN = 300;

  private final EventLog log;
  private final AtomicLong count = new AtomicLong();
  private final AtomicLong toldAt = new AtomicLong(System.nanoTime() - TELL_EVERY_NANOS);

  LibraryLog(EventLog log) {
    this.log = log;
  }

  long count() {
    return count.get();
  }

  private void tell(String text) {
    long all = count.incrementAndGet();
    long now = System.nanoTime();
    long last = toldAt.get();
    if (now - last >= TELL_EVERY_NANOS && toldAt.compareAndSet(last, now)) {
      String shown = text.replaceAll("\\p{Cntrl}", " ");
      log.warn("fleet-transport", "lemondeal: fleet: transport: "
          + (shown.length() <= SHOWN ? shown : shown.substring(0, SHOWN) + "...") + " (" + all + " such in all)",
          "count", all);
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
    tell(text);
  }

  @Override
  public void fatal(String format, Object... args) {
    tell(formatted(format, args));
  }

  @Override
  public void fatal(String text, Throwable failure) {
    tell(withFailure(text, failure));
  }

  @Override
  public void error(String text) {
    tell(text);
  }

  @Override
  public void error(String format, Object... args) {
    tell(formatted(format, args));
  }

  @Override
  public void error(String text, Throwable failure) {
    tell(withFailure(text, failure));
  }

  @Override
  public void warn(String text) {
    tell(text);
  }

  @Override
  public void warn(String format, Object... args) {
    tell(formatted(format, args));
  }

  @Override
  public void warn(String text, Throwable failure) {
    tell(withFailure(text, failure));
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
    // Not told.
  }

  @Override
  public void info(String format, Object... args) {
    // Not told.
  }

  @Override
  public void debug(String text) {
    // Not told.
  }

  @Override
  public void debug(String format, Object... args) {
    // Not told.
  }

  @Override
  public void debug(String text, Throwable failure) {
    // Not told.
  }

  @Override
  public void trace(Object object) {
    // Not told.
  }

  @Override
  public void trace(String text) {
    // Not told.
  }

  @Override
  public void trace(String format, Object... args) {
    // Not told.
  }

  @Override
  public void trace(String text, Throwable failure) {
    // Not told.
  }

  @Override
  public void setLevel(String level) {
    // Always warnings and what is worse.
  }

  @Override
  public String getLevel() {
    return "warn";
  }
}
