package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two processes of the program on one listening socket, of which the older one hangs or is killed. A JVM cannot pass a
 * socket to a child process, so a Perl script does, one process for each line of its standard input.
 */
@Timeout(60)
class SharedSocketProcessTest {
  private static final String LISTEN_AND_START = """
      $| = 1;
      socket(S, AF_INET, SOCK_STREAM, 0) && bind(S, pack_sockaddr_in(0, INADDR_LOOPBACK)) && listen(S, 64) or die $!;
      while (<STDIN>) {
        defined(my $pid = fork) or die $!;
        if (!$pid) { open(STDIN, '<&S') && exec(@ARGV) or die $!; }
        print "started $pid\\n";
      }""";
  private static final int TIMEOUT_SECONDS = 40;
  private static final String OPEN_LINE = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000\r\n";

  @TempDir
  Path folder;

  /** The script, with the processes that it has started and their common log. */
  private static final class Platform implements AutoCloseable {
    private final Process script;
    private final BufferedReader log;
    private final List<Socket> clients = new ArrayList<>();
    private int port;

    Platform(Map<String, String> environment) throws IOException {
      List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
      command.addAll(List.of("perl", "-MSocket", "-e", LISTEN_AND_START));
      command.addAll(ProgramCommands.serve());
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
      builder.environment().putAll(environment);
      script = builder.start();
      CompletableFuture.delayedExecutor(TIMEOUT_SECONDS, TimeUnit.SECONDS).execute(this::kill);
      log = script.inputReader(StandardCharsets.ISO_8859_1);
    }

    /** Starts a process and waits until it accepts clients; returns its process id. */
    long startProgram() throws IOException {
      script.outputWriter().append("start\n").flush();
      String started = awaitLine("started ");
      String listening = awaitLine("listening on ");
      port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
      awaitLine("lemondeal: ready");
      return Long.parseLong(started.substring(started.lastIndexOf(' ') + 1));
    }

    private String awaitLine(String part) throws IOException {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        if (line.contains(part)) {
          return line;
        }
      }
      throw new AssertionError("the log ended without " + part);
    }

    /** Sends the first line on a new connection; returns the connection's input. */
    BufferedReader open() throws IOException {
      Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
      clients.add(client);
      client.getOutputStream().write(OPEN_LINE.getBytes(StandardCharsets.ISO_8859_1));
      return reader(client);
    }

    private void kill() {
      script.descendants().forEach(ProcessHandle::destroyForcibly);
      script.destroyForcibly();
    }

    @Override
    public void close() throws IOException {
      kill();
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  /** A server that answers the first line of each connection with UP and a receipt: r1, r2, and so on. */
  private static final class Server implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    Server() throws IOException {
      new Thread(this::serve).start();
    }

    private void serve() {
      try {
        while (true) {
          Socket connection = listener.accept();
          connections.add(connection);
          reader(connection).readLine();
          String answer = "UP r" + connections.size() + "\r\n";
          connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        assertTrue(listener.isClosed(), () -> "the server failed: " + e);
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  private static void signal(String name, long pid) throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor());
  }

  private Map<String, String> environment(Server server, Path temporaryFolder) throws IOException {
    String servers = """
        [{"instanceId":"s-1","hostPort":"127.0.0.1:%d","zone":"a","machineType":"toy","lifecycle":"in_service"}]"""
        .formatted(server.listener.getLocalPort());
    String example = Files.readString(Path.of("../example/config.json"));
    Path file = Files.writeString(folder.resolve("config.json"),
        example.replace("\"instances\": []", "\"instances\": " + servers)
            .replace("\"mayProbe\": true", "\"mayProbe\": false"));
    return Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", "127.0.0.1:1", "GW_ACCEPT_FD", "0", "TMPDIR",
        temporaryFolder.toString());
  }

  /**
   * Guards against ids that stay in use for ever: the id of a request is in use while the process that serves it
   * hangs, and free as soon as that process is killed.
   */
  @Test
  void anIdIsInUseWhileItsProcessHangsAndFreeOnceThatIsKilled() throws Exception {
    try (Server server = new Server(); Platform platform = new Platform(environment(server, folder))) {
      long predecessor = platform.startProgram();
      BufferedReader first = platform.open();
      assertEquals("UP r1", first.readLine());
      platform.startProgram();
      signal("STOP", predecessor);
      assertEquals("ERR", platform.open().readLine());
      signal("KILL", predecessor);
      assertEnds(first);
      assertEquals("UP r2", platform.open().readLine());
    }
  }

  /** The connection is closed or reset, with nothing more before that. */
  private static void assertEnds(BufferedReader connection) {
    try {
      assertEquals(-1, connection.read());
    } catch (IOException e) {
      assertEquals("Connection reset", e.getMessage());
    }
  }

  /** Guards against a start that fails for want of a folder: without one, ids are not shared, and all are served. */
  @Test
  void aProcessWithoutATemporaryFolderServes() throws Exception {
    try (Server server = new Server();
        Platform platform = new Platform(environment(server, folder.resolve("missing")))) {
      platform.startProgram();
      assertEquals("UP r1", platform.open().readLine());
    }
  }
}
