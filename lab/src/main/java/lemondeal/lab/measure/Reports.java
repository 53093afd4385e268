package lemondeal.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import org.openjdk.jmh.runner.RunnerException;

/** Entry points of the measurements. */
public final class Reports {
  private Reports() {}

  /** Compares moves with and without resume tokens. Returns Markdown tables; reports progress on {@code progress}. */
  public static String resume(int clients, PrintStream progress)
      throws IOException, InterruptedException, RunnerException {
    return new ResumeReport(clients, progress).run();
  }

  /**
   * Measures discovery through Consul: drains by kind, lists of many instances, and the calls of fleets of proxies.
   * Returns Markdown tables; reports progress on {@code progress}.
   */
  public static String consul(int repeats, int[] sizes, int[] fleets, int seconds, PrintStream progress)
      throws IOException, InterruptedException {
    return new ConsulReport(repeats, sizes, fleets, seconds, progress).run();
  }

  /** Measures the emulator's speed and the module's time per request. Returns Markdown tables. */
  public static String emulator(boolean largest, PrintStream progress) throws RunnerException {
    return new EmulatorReport(largest, progress).run();
  }
}
