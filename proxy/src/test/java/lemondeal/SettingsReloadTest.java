package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A SIGHUP switches the running program from one deployment's settings to another's. */
@Timeout(60)
class SettingsReloadTest {
  @TempDir
  Path folder;

  /** The answer to a client of this class. There is no server, so a client of a known class is throttled. */
  private static String answer(int port, String requestClass) throws IOException {
    try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
      client.getOutputStream().write(("OPEN 00000000000000" + (requestClass.length() + 10)
          + " 7f3a9c21e0b4d655 c=" + requestClass + ",d=1000\r\n").getBytes(StandardCharsets.ISO_8859_1));
      BufferedReader answers = new BufferedReader(
          new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
      return answers.readLine().split(" ")[0];
    }
  }

  @Test
  void aHangupAppliesNewSettings() throws Exception {
    String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0");
    Path config = Files.writeString(folder.resolve("config.json"), text);
    try (RunningProgram program =
        new RunningProgram(ProgramCommands.serve(), Map.of("GW_CONFIG", config.toString()))) {
      int port = program.awaitListening().port();
      assertEquals("BUSY", answer(port, "chat"));
      assertEquals("ERR", answer(port, "feed"));
      Files.writeString(config, text.replace("\"chat\"", "\"feed\""));
      program.signal("HUP");
      program.awaitLine("new settings serve what comes from now on");
      assertEquals("ERR", answer(port, "chat"));
      assertEquals("BUSY", answer(port, "feed"));
    }
  }
}
