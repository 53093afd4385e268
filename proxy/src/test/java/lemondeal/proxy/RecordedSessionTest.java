package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Without an operator's file every byte is as it always was, whatever words the two sides use. */
@Timeout(30)
class RecordedSessionTest {

  private static void expect(Peer peer, String expected) throws Exception {
    StringBuilder came = new StringBuilder();
    for (int i = 0; i < expected.length(); i++) {
      came.append((char) peer.socket.getInputStream().read());
    }
    assertEquals(expected, came.toString());
  }

  @Test
  void isByteForByteAsItWasRecorded() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client();
      Peer server = null;
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
          server = site.atServer();
          String open = server.line() + "\r\n";
          assertTrue(open.matches("(?s).*,d=1?[0-9]{1,3},.*"), open);
          assertEquals(text, open.replaceFirst("d=[0-9]+", "d=D"));
        } else {
          expect(server, text);
        }
      }
      assertEquals(14, steps);
    }
  }
}
