package lemondeal.log;

import java.io.PrintStream;

/** Writes the human-readable line of each event unchanged. */
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
