package lemondeal.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import org.openjdk.jmh.runner.RunnerException;

/** The measurements that the lab can make. */
public final class Reports {
  private Reports() {}

  /** Resumable moves beside plain ones: tables in Markdown. Tells how far it is on {@code progress}. */
  public static String resume(int clients, PrintStream progress)
      throws IOException, InterruptedException, RunnerException {
    return new ResumeReport(clients, progress).run();
  }

  /**
   * Servers from Consul: drains by kind, lists of many instances, calls on Consul from fleets of proxies. Tables in
   * Markdown; tells how far it is on {@code progress}.
   */
  public static String consul(int repeats, int[] sizes, int[] fleets, int seconds, PrintStream progress)
      throws IOException, InterruptedException {
    return new ConsulReport(repeats, sizes, fleets, seconds, progress).run();
  }

  /** The emulator's speed and the module's time for a request: tables in Markdown. */
  public static String emulator(boolean largest, PrintStream progress) throws RunnerException {
    return new EmulatorReport(largest, progress).run();
  }
}
