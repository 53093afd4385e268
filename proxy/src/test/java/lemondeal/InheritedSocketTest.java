package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the program with its listening socket as descriptor 0, as the platform does. A JVM cannot pass a socket to a
 * child process, so a Perl script does.
 */
@Timeout(60)
class InheritedSocketTest {
  private static final String LISTEN_AND_EXEC = "socket(S, AF_INET, SOCK_STREAM, 0)"
      + " && bind(S, pack_sockaddr_in(0, INADDR_LOOPBACK)) && listen(S, 64)"
      + " && open(STDIN, '<&S') && exec(@ARGV) or die $!";

  private static final long TIMEOUT_SECONDS = 20;
  private static final String KNOWN_SERVERS = """
      [{"instanceId":"s-1","hostPort":"127.0.0.1:9","zone":"a","machineType":"toy","lifecycle":"in_service"}]""";

  @TempDir
  Path folder;

  /** Starts with one known server, since no discovery answers. The process is killed after a timeout. */
  private Process start() throws IOException {
    String example = Files.readString(Path.of("../example/config.json"));
    Path file = Files.writeString(folder.resolve("config.json"),
        example.replace("\"instances\": []", "\"instances\": " + KNOWN_SERVERS));
    List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
    command.addAll(List.of("perl", "-MSocket", "-e", LISTEN_AND_EXEC, ProgramCommands.java(), "-cp",
        ProgramCommands.classPath(), "lemondeal.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    // GW_LISTEN cannot be bound here: the program must not try to.
    builder.environment().putAll(Map.of("GW_CONFIG", file.toString(), "GW_LISTEN", "192.0.2.1:1",
        "GW_DISCOVERY", "127.0.0.1:1", "GW_ACCEPT_FD", "0", "GW_ADMIN_ADDR", "127.0.0.1:0"));
    Process program = builder.start();
    CompletableFuture.delayedExecutor(TIMEOUT_SECONDS, TimeUnit.SECONDS).execute(program::destroyForcibly);
    return program;
  }

  private static String await(BufferedReader log, String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return line;
      }
    }
    throw new AssertionError("the log ended without " + part);
  }

  private static String send(int port, String line) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)).readLine();
    }
  }

  private static int port(String line) {
    return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }

  /** Closing the JDK's inherited channel would replace descriptors 0 to 2 by /dev/null, and the log would be lost. */
  @Test
  void servesOnTheInheritedSocketAndKeepsItsLog() throws Exception {
    Process program = start();
    try (BufferedReader log = program.errorReader(StandardCharsets.ISO_8859_1)) {
      int clients = port(await(log, "listening on "));
      int admin = port(await(log, "second address "));
      await(log, "ready");
      assertEquals("200 yes", send(admin, "ready"));
      assertEquals("PONG", send(clients, "PING"));
      // Through the handle: Process.destroy() would close the log's stream in this test.
      program.toHandle().destroy();
      await(log, "stopping");
      await(log, "stopped");
      assertTrue(program.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, program.exitValue());
    } finally {
      program.destroyForcibly();
    }
  }
}
