package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Without an operator's file the bytes on the wire stay as recorded, whatever lines the two sides send. */
@Timeout(30)
class RecordedSessionTest {

  private static void expect(LineSocket connection, String expected) throws Exception {
    StringBuilder received = new StringBuilder();
    for (int i = 0; i < expected.length(); i++) {
      received.append((char) connection.socket.getInputStream().read());
    }
    assertEquals(expected, received.toString());
  }

  @Test
  void matchesTheRecordingByteForByte() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient();
      LineSocket server = null;
      int steps = 0;
      for (String line : Files.readAllLines(Path.of("src/test/resources/recorded-session.txt"))) {
        if (line.startsWith("#")) {
          continue;
        }
        steps++;
        String text = line.substring("c> ".length()).replace("\\r", "\r").replace("\\n", "\n");
        if (line.startsWith("c> ")) {
          client.send(text);
        } else if (line.startsWith("c< ")) {
          expect(client, text);
        } else if (line.startsWith("s> ")) {
          server.send(text);
        } else if (server == null) {
          server = fixture.acceptAtServer();
          String openLine = server.readLine() + "\r\n";
          assertTrue(openLine.matches("(?s).*,d=1?[0-9]{1,3},.*"), openLine);
          assertEquals(text, openLine.replaceFirst("d=[0-9]+", "d=D"));
        } else {
          expect(server, text);
        }
      }
      assertEquals(14, steps);
    }
  }
}
