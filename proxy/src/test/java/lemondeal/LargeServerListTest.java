package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The largest server list that the specification allows, in any formatting, with the deploy file's JVM flags. */
@Timeout(60)
class LargeServerListTest {
  /** STANDING: fleets with up to sixteen times the servers, at most 3,200. */
  private static final int SERVERS = 3_200;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  @TempDir
  Path folder;

  private static String serverList(String indent) {
    return serverList(indent, "");
  }

  private static String serverList(String indent, String padding) {
    String lineBreak = indent.isEmpty() ? "" : "\n";
    String fieldIndent = lineBreak + indent.repeat(3);
    String entries = IntStream.range(0, SERVERS).mapToObj(i -> lineBreak + indent.repeat(2) + "{" + List.of(
        "\"instanceId\": \"s-%08x\"".formatted(i * 2_654_435_761L & 0xffffffffL),
        "\"hostPort\": \"10.144.%d.%d:18443\"".formatted(i / 250, i % 250 + 1), "\"zone\": \"a\"",
        "\"machineType\": \"toy\"", "\"cell\": " + i / 8, "\"lifecycle\": \"in_service\"",
        "\"weight\": 1.25", "\"note\": \"" + padding + "\"",
        "\"startedAtMs\": 1796206017000").stream().map(field -> fieldIndent + field).collect(Collectors.joining(","))
        + lineBreak + indent.repeat(2) + "}").collect(Collectors.joining(","));
    return "{" + lineBreak + indent + "\"generation\": 7," + lineBreak + indent + "\"reset\": true," + lineBreak
        + indent + "\"instances\": [" + entries + lineBreak + indent + "]" + lineBreak + "}\n";
  }

  private static void serveDiscovery(ServerSocket discovery, String list) {
    try {
      while (true) {
        Socket connection = discovery.accept();
        connection.getInputStream().read();
        OutputStream out = connection.getOutputStream();
        out.write((HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "    ", "        "})
  void theListOfTheLargestFleetIsAccepted(String indent) throws Exception {
    assertEquals(List.of(), errorsUntilReady(serverList(indent)));
  }

  /** Entries may have additional fields. */
  @Test
  void aListWithLongEntriesIsAccepted() throws Exception {
    assertEquals(List.of(), errorsUntilReady(serverList("", "x".repeat(900))));
  }

  @Test
  void aListThatIsTooLongIsLogged() throws Exception {
    try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        RunningProgram program = start(discovery, serverList("", "x".repeat(2_000)))) {
      program.awaitLine("can't be read: a line of the body is longer than");
    }
  }

  /** No server is known at the start, so the proxy becomes ready only with the list. */
  private List<String> errorsUntilReady(String list) throws Exception {
    try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        RunningProgram program = start(discovery, list)) {
      program.awaitLine("lemondeal: ready");
      return program.seenLines().stream()
          .filter(line -> line.contains("failed inside") || line.contains("can't be")).toList();
    }
  }

  private RunningProgram start(ServerSocket discovery, String list) throws IOException {
    Thread answers = new Thread(() -> serveDiscovery(discovery, list));
    answers.setDaemon(true);
    answers.start();
    String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.getLocalPort());
    Path config = Files.writeString(folder.resolve("config.json"), text);
    return new RunningProgram(ProgramCommands.deployed(), Map.of("GW_CONFIG", config.toString()));
  }
}
