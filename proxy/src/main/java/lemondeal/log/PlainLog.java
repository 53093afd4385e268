package lemondeal.log;

import java.io.PrintStream;

/** One line for people an event, as it is. */
public final class PlainLog implements EventLog {
  private final PrintStream out;

  public PlainLog(PrintStream out) {
    this.out = out;
  }

  @Override
  public void event(Level level, String name, String line, Object... fields) {
    out.println(line);
  }

  @Override
  public void failure(String line, Throwable failure) {
    out.println(line);
    failure.printStackTrace(out);
  }
}
