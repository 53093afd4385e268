package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicLong;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Unanswered;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A connection is moved within 7 s of its server falling silent, whenever the client sends its next line. */
@Timeout(60)
class SilentServerTest {
  private static final long SECOND = 1_000_000;
  private static final long CLIENT_INTERVAL = 2 * SECOND;
  private static final long MOVE_LIMIT = 7 * SECOND;
  /** How long a proxy on part of a core may pause. */
  private static final long MAX_PROCESS_PAUSE = SECOND / 2;
  /** How many lines a flood writes at once. */
  private static final int LINES_PER_WRITE = 1_000;

  @ParameterizedTest
  @ValueSource(strings = {"", "hal"})
  void aConnectionThatFallsSilentAfterAnAnswerIsMovedInTime(String partialLine) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient("c=chat,d=2000");
      LineSocket server = establish(fixture, client);
      client.send("one\r\n");
      assertEquals("one", server.readLine());
      server.send("one\r\n" + partialLine);
      assertEquals("one", client.readLine());
      // From here on the server is silent, which cannot be detected before the client's next line.
      fixture.advanceClock(CLIENT_INTERVAL);
      client.send("two\r\n");
      assertEquals("two", server.readLine());
      for (long elapsed = CLIENT_INTERVAL; elapsed < MOVE_LIMIT - MAX_PROCESS_PAUSE; elapsed += SECOND / 10) {
        fixture.advanceClock(SECOND / 10);
      }
      assertTrue(fixture.events.stream().anyMatch(Ended.class::isInstance), "the client is still waiting");
      assertEquals("MOVE", client.readLine());
    }
  }

  @Test
  void aConnectionThatAnswersLateIsKept() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient("c=chat,d=2000");
      LineSocket server = establish(fixture, client);
      client.send("one\r\n");
      assertEquals("one", server.readLine());
      for (int i = 0; i < 30; i++) {
        fixture.advanceClock(SECOND / 10);
      }
      server.send("one\r\n");
      assertEquals("one", client.readLine());
      assertTrue(fixture.events.stream().noneMatch(Ended.class::isInstance));
    }
  }

  /**
   * Guards against blaming a server for a client that does not read: all buffers towards the client are full, so the
   * server's answer waits unread in its socket. Once the client has read everything, the server's silence counts again.
   */
  @Test
  void aClientThatDoesNotReadDoesNotMakeItsServerSuspect() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient("c=chat,d=2000");
      LineSocket server = establish(fixture, client);
      AtomicLong linesSent = new AtomicLong();
      Thread flood = flood(server, linesSent);
      ShutdownRaceTest.awaitBuffersFull(fixture, server);
      client.send("one\r\n");
      assertEquals("one", server.readLine());
      for (long elapsed = 0; elapsed < MOVE_LIMIT; elapsed += SECOND / 10) {
        fixture.advanceClock(SECOND / 10);
      }
      assertTrue(fixture.events.stream().noneMatch(Unanswered.class::isInstance), "the server is not suspected");
      assertTrue(fixture.events.stream().noneMatch(Ended.class::isInstance), "the connection stays open");
      flood.interrupt();
      AtomicLong linesRead = new AtomicLong();
      FutureTask<String> last = new FutureTask<>(() -> lastLine(client, linesRead));
      new Thread(last).start();
      flood.join();
      // Each line that is still to arrive would count as an answer to the next line.
      KernelSockets.await(() -> linesRead.get() == linesSent.get());
      client.send("two\r\n");
      assertEquals("two", server.readLine());
      for (long elapsed = 0; elapsed < MOVE_LIMIT - MAX_PROCESS_PAUSE; elapsed += SECOND / 10) {
        fixture.advanceClock(SECOND / 10);
      }
      assertEquals("MOVE", last.get());
    }
  }

  private static Thread flood(LineSocket server, AtomicLong linesSent) {
    Thread flood = new Thread(() -> {
      try {
        while (!Thread.currentThread().isInterrupted()) {
          server.send("0123456789abcdef\r\n".repeat(LINES_PER_WRITE));
          linesSent.addAndGet(LINES_PER_WRITE);
        }
      } catch (IOException e) {
        // The connection has ended.
      }
    });
    flood.start();
    return flood;
  }

  private static String lastLine(LineSocket client, AtomicLong linesRead) throws IOException {
    BufferedReader lines = new BufferedReader(
        new InputStreamReader(client.socket.getInputStream(), StandardCharsets.ISO_8859_1));
    String last = "";
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      last = line;
      linesRead.incrementAndGet();
    }
    return last;
  }
}
