package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The program in a process of its own, whose log is read line by line; killed when its time is up. */
final class RunningProgram implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 30;
  private static final String LISTENING = "lemondeal: listening on ";

  private final Process process;
  private final BufferedReader log;
  private final List<String> seenLines = new ArrayList<>();
  private int port;

  /** Starts it with these variables beside those of the test; what it says on either stream is its log. */
  RunningProgram(List<String> command, Map<String, String> environment) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    process = builder.start();
    // A read of the log takes no interrupt: its end comes with the process's.
    CompletableFuture.delayedExecutor(TIMEOUT_SECONDS, TimeUnit.SECONDS).execute(process::destroyForcibly);
    log = process.inputReader(StandardCharsets.UTF_8);
  }

  /** The next line of the log with this in it. */
  String awaitLine(String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      seenLines.add(line);
      if (line.contains(part)) {
        return line;
      }
    }
    throw new AssertionError("it ended before it said '" + part + "': " + seenLines);
  }

  /** What the log still has to say, to its end. */
  List<String> remainingLines() throws IOException {
    return log.lines().toList();
  }

  RunningProgram awaitListening() throws IOException {
    String line = awaitLine(LISTENING);
    port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    return this;
  }

  int port() {
    return port;
  }

  /** The lines of the log up to the one awaited last. */
  List<String> seenLines() {
    return seenLines;
  }

  void signal(String name) throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** The bits of the signals that the system ignores for it, as {@code /proc} tells them. */
  long ignoredSignals() throws IOException {
    String row = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("SigIgn:")).findFirst().orElseThrow();
    return Long.parseUnsignedLong(row.substring(row.indexOf(':') + 1).trim(), 16);
  }

  int exitCode() throws InterruptedException {
    assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
