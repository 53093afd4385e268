package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many settings reloads within the deploy file's memory limits, while clients of all earlier settings stay. */
@Timeout(90)
class ManyReloadsTest {
  /** STANDING: fleets with up to sixteen times the servers, at most 3,200. */
  private static final int SERVERS = 3_200;
  private static final int RELOADS = 30;
  private static final String SETTINGS_APPLIED = "new settings serve what comes from now on";

  @TempDir
  Path folder;

  private final List<Socket> openSockets = new ArrayList<>();

  private static String list(int port) {
    return IntStream.range(0, SERVERS)
        .mapToObj(i -> "{\"instanceId\":\"s-%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"a\",".formatted(i, port)
            + "\"machineType\":\"toy\",\"cell\":0,\"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":0}")
        .collect(Collectors.joining(","));
  }

  /** Answers UP to every client and keeps the connection open. */
  private void serve(ServerSocket server) {
    try {
      while (true) {
        Socket accepted = server.accept();
        openSockets.add(accepted);
        BufferedReader in = new BufferedReader(
            new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
        if (in.readLine() != null) {
          accepted.getOutputStream().write("UP r1\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  /** Opens a client whose request has been answered with UP, and which stays connected. */
  private BufferedReader openClient(int port, int number) throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    openSockets.add(client);
    client.setSoTimeout(20_000);
    client.getOutputStream().write("OPEN %016x k%d c=chat,d=2000,at=s-%d\r\n".formatted(number, number, number)
        .getBytes(StandardCharsets.ISO_8859_1));
    BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
    assertEquals("UP r1", in.readLine());
    return in;
  }

  /** The platform may rewrite the server list in the file at each reload, with or without changes. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void memorySufficesWhileClientsOfAllOldSettingsStay(boolean listChanges) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread serving = new Thread(() -> serve(server));
      serving.setDaemon(true);
      serving.start();
      String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0")
          .replace("127.0.0.1:8500", "127.0.0.1:1")
          .replace("\"instances\": []", "\"instances\": [" + list(server.getLocalPort()) + "]");
      Path config = Files.writeString(folder.resolve("config.json"), text);
      try (RunningProgram program =
          new RunningProgram(ProgramCommands.deployed(), Map.of("GW_CONFIG", config.toString()))) {
        int port = program.awaitListening().port();
        List<BufferedReader> clients = new ArrayList<>();
        for (int i = 0; i < RELOADS; i++) {
          clients.add(openClient(port, i));
          String changed = text.replace("\"tryLimit\": 3", "\"tryLimit\": " + (2 + i % 2));
          Files.writeString(config, listChanges ? changed.replace("\"cell\":0", "\"cell\":" + i) : changed);
          program.signal("HUP");
          program.awaitLine(SETTINGS_APPLIED);
        }
        openClient(port, RELOADS);
        assertEquals(List.of(), program.seenLines().stream().filter(line -> line.contains("failed inside")
            || line.contains("OutOfMemory") || line.contains("stays as it was")).toList());
        for (BufferedReader client : clients.subList(0, RELOADS - 1)) {
          assertEquals("MOVE", client.readLine());
        }
      }
    } finally {
      for (Socket socket : openSockets) {
        socket.close();
      }
    }
  }
}
