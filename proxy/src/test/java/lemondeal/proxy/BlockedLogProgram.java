package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import lemondeal.ProgramCommands;
import lemondeal.proxy.ProxyFixture.LineSocket;

/** The program as a process with one server and a log pipe that is full, so that logging blocks until it is read. */
final class BlockedLogProgram implements AutoCloseable {
  private static final int TIMEOUT_S = 30;
  /** Fills the stderr pipe and then replaces itself with the program. */
  private static final String FILL_STDERR_SCRIPT =
      "my $f = fcntl(STDERR, F_GETFL, 0); fcntl(STDERR, F_SETFL, $f | O_NONBLOCK);"
      + " 1 while defined syswrite(STDERR, 'x'); fcntl(STDERR, F_SETFL, $f); exec(@ARGV) or die $!";
  private static final String LISTEN_STATE = "0A";

  private final ServerSocket server;
  private final Process process;

  private BlockedLogProgram(ServerSocket server, Process process) {
    this.server = server;
    this.process = process;
  }

  static BlockedLogProgram withFullLog(Path folder) throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_S * 1000);
    String serverList = "[{\"instanceId\":\"s-1\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort()
        + "\",\"zone\":\"a\",\"machineType\":\"toy\",\"lifecycle\":\"in_service\"}]";
    Path file = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("../example/config.json"))
        .replace("\"instances\": []", "\"instances\": " + serverList));
    // The library's log lines at start-up would block on the full pipe.
    Path loggingConfig = Files.writeString(folder.resolve("logging.properties"), ".level=OFF\n");
    List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
    command.addAll(List.of("perl", "-MFcntl", "-e", FILL_STDERR_SCRIPT, ProgramCommands.java(),
        "-Djava.util.logging.config.file=" + loggingConfig, "-cp", ProgramCommands.classPath(), "lemondeal.Main",
        "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putAll(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "127.0.0.1:0",
        "GW_DISCOVERY", "127.0.0.1:1"));
    Process process = builder.start();
    CompletableFuture.delayedExecutor(TIMEOUT_S, TimeUnit.SECONDS).execute(process::destroyForcibly);
    return new BlockedLogProgram(server, process);
  }

  LineSocket newClient() throws IOException {
    while (listeningPorts().isEmpty()) {
      assertTrue(process.isAlive(), "the program ended");
      Thread.onSpinWait();
    }
    return new LineSocket(new Socket(InetAddress.getLoopbackAddress(), listeningPorts().get(0)));
  }

  /** The ports on which the program listens, as listed in /proc. */
  private List<Integer> listeningPorts() throws IOException {
    List<String> sockets = entryNames("/proc/" + process.pid() + "/fd", BlockedLogProgram::linkTarget);
    try (Stream<String> rows = Stream.of("/proc/net/tcp", "/proc/net/tcp6").map(Path::of).filter(Files::exists)
        .flatMap(BlockedLogProgram::readLines)) {
      return rows.map(row -> row.trim().split("\\s+"))
          .filter(row -> row[3].equals(LISTEN_STATE) && sockets.contains("socket:[" + row[9] + "]"))
          .map(row -> Integer.parseInt(row[1].substring(row[1].indexOf(':') + 1), 16)).toList();
    }
  }

  private static Stream<String> readLines(Path table) {
    try {
      return Files.readAllLines(table).stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static List<String> entryNames(String folder, Function<Path, String> toName) throws IOException {
    if (!Files.exists(Path.of(folder))) {
      return List.of();
    }
    try (Stream<Path> entries = Files.list(Path.of(folder))) {
      return entries.map(toName).toList();
    }
  }

  private static String linkTarget(Path link) {
    try {
      return Files.readSymbolicLink(link).toString();
    } catch (IOException e) {
      return "gone";
    }
  }

  private static String readText(Path file) {
    try {
      return Files.readString(file).trim();
    } catch (IOException e) {
      return "gone";
    }
  }

  LineSocket acceptAtServer() throws IOException {
    return new LineSocket(server.accept());
  }

  /** Sends SIGTERM; returns once the program handles it or has exited. */
  void terminate() throws IOException {
    process.toHandle().destroy();
    while (process.isAlive()
        && !entryNames("/proc/" + process.pid() + "/task", task -> readText(task.resolve("comm"))).contains("stop")) {
      Thread.onSpinWait();
    }
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** Starts to read and discard the log. */
  void drainLog() {
    Thread reader = new Thread(() -> {
      try {
        process.getErrorStream().transferTo(OutputStream.nullOutputStream());
      } catch (IOException e) {
        // The program has exited.
      }
    });
    reader.setDaemon(true);
    reader.start();
  }

  int exitCode() throws InterruptedException {
    assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
    return process.exitValue();
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    server.close();
  }
}
