package lemondeal;

import java.io.IOException;
import java.util.Map;
import lemondeal.log.LogQueue;

/**
 * The program's entry point. The two commands that the platform uses run directly, since loading a command-line parser
 * would slow down their start; all other commands are parsed by {@code lemondeal.cli}.
 */
public final class Main {
  /** The command has started threads that keep running: the process must not exit. */
  public static final int KEEP_RUNNING = -1;

  private Main() {}

  public static void main(String[] args) throws IOException {
    // Otherwise XNIO's logging would look for other logging libraries and initialize those that it finds.
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
