package lemondeal;

import java.io.IOException;
import java.util.Map;
import lemondeal.log.LogQueue;

/**
 * The program's entry. The two words that the platform uses go straight to their work, since a command line's classes
 * would cost them a part of their start; all else is read by {@code lemondeal.cli}.
 */
public final class Main {
  /** A command has started threads that go on: the program must not end. */
  public static final int KEEP_RUNNING = -1;

  private Main() {}

  public static void main(String[] args) throws IOException {
    // XNIO's logging would look for other libraries' and start what it finds.
    System.setProperty("org.jboss.logging.provider", "jdk");
    int exitCode = run(args, System.getenv());
    if (exitCode != KEEP_RUNNING) {
      System.exit(exitCode);
    }
  }

  private static int run(String[] args, Map<String, String> environment) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    if (command.equals("serve") && environment.getOrDefault("GW_OPERATOR_CONFIG", "").isEmpty()) {
      LogQueue.install();
      int exitCode = Serve.run(environment, null);
      return exitCode == 0 ? KEEP_RUNNING : exitCode;
    }
    return command.equals("benchlink") ? lemondeal.benchlink.SimulatorHost.host() : ExtrasLauncher.run(args);
  }
}
