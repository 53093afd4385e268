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

/** The program in a separate process, whose log is read line by line; killed after a timeout. */
final class RunningProgram implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 30;
  private static final String LISTENING = "lemondeal: listening on ";

  private final Process process;
  private final BufferedReader log;
  private final List<String> seenLines = new ArrayList<>();
  private int port;

  /** Starts it with these variables added to the tests' environment; standard output and error are its log. */
  RunningProgram(List<String> command, Map<String, String> environment) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    process = builder.start();
    // A blocked read of the log cannot be interrupted; it ends when the process is killed.
    CompletableFuture.delayedExecutor(TIMEOUT_SECONDS, TimeUnit.SECONDS).execute(process::destroyForcibly);
    log = process.inputReader(StandardCharsets.UTF_8);
  }

  /** Waits for the next line of the log that contains this. */
  String awaitLine(String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      seenLines.add(line);
      if (line.contains(part)) {
        return line;
      }
    }
    throw new AssertionError("the program ended before it logged '" + part + "': " + seenLines);
  }

  /** The rest of the log, to its end. */
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

  /** The lines of the log up to the last awaited one. */
  List<String> seenLines() {
    return seenLines;
  }

  void signal(String name) throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** The mask of signals that the process ignores, from {@code /proc}. */
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
