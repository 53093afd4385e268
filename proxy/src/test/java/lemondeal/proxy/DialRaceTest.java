package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static lemondeal.proxy.RaceSteps.countConnecting;
import static lemondeal.proxy.RaceSteps.expireTimersBeforeReading;
import static lemondeal.proxy.RaceSteps.serverBacklog;
import static lemondeal.proxy.RaceSteps.serverPort;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Send;
import lemondeal.proxy.ProxyFixture.LineSocket;
import lemondeal.proxy.RaceSteps.Gate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Connections to servers that are established late, or whose server acts at the moment they are established. */
@Timeout(30)
class DialRaceTest {
  /** Sends once, and blocks the event loop after the dial has begun and before its result is seen. */
  private static Function<Event, List<Action>> blockAfterDial(Gate gate, List<ProxyFixture> fixtures) {
    return event -> {
      if (event instanceof Arrived) {
        fixtures.get(0).proxy.executor().execute(gate::block);
      }
      return ProxyTest.sendOnce(event);
    };
  }

  /** Runs the step between the moment in which a dial has connected and the moment in which the proxy sees it. */
  private static Outcome outcomeOfStepBeforeConnectIsSeen(ServerStep step) throws Exception {
    Gate gate = new Gate();
    List<ProxyFixture> fixtures = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(blockAfterDial(gate, fixtures))) {
      fixtures.add(fixture);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      gate.awaitReached();
      LineSocket server = fixture.acceptAtServer();
      step.run(fixture, server);
      gate.open();
      Outcome outcome = fixture.awaitEvent(Ended.class).outcome();
      assertEquals("BUSY 250", client.readLine());
      if (!server.socket.isClosed()) {
        assertNull(server.readLine(), "nothing was written");
      }
      return outcome;
    }
  }

  private interface ServerStep {
    void run(ProxyFixture fixture, LineSocket server) throws Exception;
  }

  /** Guards against counting a request as possibly run when its server closed before any byte was sent. */
  @Test
  void aServerThatClosesAsItsConnectionComesUpCountsAsNoConnection() throws Exception {
    assertEquals(Outcome.NO_CONNECTION,
        outcomeOfStepBeforeConnectIsSeen((fixture, server) -> server.endSending().awaitCloseReceived()));
  }

  @Test
  void aServerThatResetsAsItsConnectionComesUpCountsAsNoConnection() throws Exception {
    assertEquals(Outcome.NO_CONNECTION, outcomeOfStepBeforeConnectIsSeen((fixture, server) -> {
      server.reset();
      server.awaitCloseReceived();
    }));
  }

  /** An answer before the first line is evaluated after that line is written, unless the server has closed. */
  @ParameterizedTest
  @CsvSource({"BUSY, REFUSED", "ERR, ERROR", "x, ERROR"})
  void anAnswerBeforeTheFirstLineIsEvaluatedAfterIt(String answer, Outcome outcome) throws Exception {
    Gate gate = new Gate();
    List<ProxyFixture> fixtures = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(blockAfterDial(gate, fixtures))) {
      fixtures.add(fixture);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      gate.awaitReached();
      LineSocket server = fixture.acceptAtServer().send(answer + "\r\n").awaitUnread(answer.length() + 2);
      gate.open();
      assertEquals(outcome, fixture.awaitEvent(Ended.class).outcome());
      assertTrue(server.readLine().startsWith("OPEN "));
      assertEquals("BUSY 250", client.readLine());
    }
    assertEquals(Outcome.NO_CONNECTION, outcomeOfStepBeforeConnectIsSeen((fixture, server) ->
        server.send(answer + "\r\n").endSending().awaitCloseReceived()));
  }

  /**
   * Guards against sending to a draining server: the drain may be announced right after the decision to send, and a
   * dial that completed after the grace then wrote its first line.
   */
  @Test
  void aDialThatCompletesAfterTheDrainGraceIsNotUsed() throws Exception {
    long grace = 100_000;
    Gate gate = new Gate();
    List<ProxyFixture> fixtures = new ArrayList<>();
    try (ProxyFixture fixture = ProxyFixture.of(blockAfterDial(gate, fixtures), options -> options.editConfig =
        json -> json.replace("\"azs\"", "\"rules\":{\"drainGrace\":" + grace + "},\"azs\""))) {
      fixtures.add(fixture);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      gate.awaitReached();
      Thread clockThread = new Thread(() -> {
        try {
          fixture.advanceClock(grace + 1);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      });
      clockThread.start();
      KernelSockets.await(() -> clockThread.getState() == Thread.State.TIMED_WAITING);
      LineSocket server = fixture.acceptAtServer();
      gate.open();
      assertEquals(Outcome.NO_CONNECTION, fixture.awaitEvent(Ended.class).outcome());
      assertNull(server.readLine(), "nothing is written after the grace");
      assertEquals("BUSY 250", client.readLine());
      clockThread.join();
    }
  }

  /** Fills the server's accept queue with connections that nobody accepts: further ones are not established. */
  private static List<SocketChannel> fillBacklog(ProxyFixture fixture, int server) throws IOException {
    List<SocketChannel> fillers = new ArrayList<>();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort(fixture, server));
    for (int i = 0; i <= 50; i++) {
      fillers.add(SocketChannel.open(address));
    }
    KernelSockets.await(() -> serverBacklog(fixture, server) > 50);
    return fillers;
  }

  private static void closeAll(List<SocketChannel> channels) throws IOException {
    for (SocketChannel channel : channels) {
      channel.close();
    }
  }

  /** Nobody waits for the connection any longer: its descriptor is closed in the same turn of the event loop. */
  @Test
  void aCancelledDialIsClosedAtOnce() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<SocketChannel> fillers = fillBacklog(fixture, 0);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      KernelSockets.await(() -> countConnecting(serverPort(fixture, 0)) == 1);
      client.endSending();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
      fixture.awaitQueuedWork();
      assertEquals(0, countConnecting(serverPort(fixture, 0)));
      closeAll(fillers);
    }
  }

  /** A dial that outlasts its attempt has written nothing: the request has not run and is sent to another server. */
  @Test
  void anAttemptThatTimesOutWhileDiallingHasNotRunAndIsReportedOnce() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(event -> {
      if (event instanceof Arrived e) {
        return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 200_000));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Send(e.id(), "s-2", 0)) : List.of();
    }, options -> options.serverCount = 2)) {
      List<SocketChannel> fillers = fillBacklog(fixture, 0);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket second = fixture.acceptAtServer(1);
      Ended first = fixture.awaitEvent(Ended.class);
      assertEquals(Outcome.NO_CONNECTION, first.outcome());
      assertEquals(0, first.attempt());
      assertTrue(second.readLine().startsWith("OPEN "));
      closeAll(fillers);
      fixture.stopServer(0);
      fixture.awaitQueuedWork();
      second.send("UP r2\r\n");
      assertEquals("UP r2", client.readLine());
      assertEquals(1, fixture.awaitEvent(Established.class).attempt());
      assertFalse(fixture.events.stream().anyMatch(Ended.class::isInstance), "the first attempt is reported once");
    }
  }

  /** Each of many dials to a server that accepts none is reported once, and none is left open. */
  @Test
  void dialsToAServerThatAcceptsNoneAreEachReportedOnce() throws Exception {
    int count = 12;
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<SocketChannel> fillers = fillBacklog(fixture, 0);
      List<LineSocket> clients = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        clients.add(fixture.newClient(OPEN_FIELDS));
      }
      KernelSockets.await(() -> countConnecting(serverPort(fixture, 0)) == count);
      fixture.advanceClock(600_000);
      fixture.advanceClock(100_000);
      for (LineSocket client : clients) {
        assertEquals("BUSY 250", client.readLine());
        assertEquals(Outcome.NO_CONNECTION, fixture.awaitEvent(Ended.class).outcome());
      }
      fixture.awaitQueuedWork();
      assertEquals(0, countConnecting(serverPort(fixture, 0)));
      assertFalse(fixture.events.stream().anyMatch(Ended.class::isInstance));
      closeAll(fillers);
    }
  }

  /** The first attempt is refused at once, and the client is served by the next. */
  @Test
  void aDialThatIsRefusedAtOnceHasNotRun() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(event -> {
      if (event instanceof Arrived e) {
        return List.of(new Send(e.request().id(), ProxyFixture.SERVER, 0));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Send(e.id(), "s-2", 0)) : List.of();
    }, options -> options.serverCount = 2)) {
      fixture.stopServer(0);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket second = fixture.acceptAtServer(1);
      assertEquals(Outcome.NO_CONNECTION, fixture.awaitEvent(Ended.class).outcome());
      second.readLine();
      second.send("UP r2\r\n");
      assertEquals("UP r2", client.readLine());
    }
  }

  /** The answer was in the kernel when the timeout expired: only the proxy itself had paused. */
  @Test
  void anAnswerReceivedBeforeTheTimeoutRunsCounts() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      expireTimersBeforeReading(fixture, 2_000_000, () -> server.send("UP r1\r\n").awaitUnread(7));
      assertEquals("UP r1", client.readLine());
      fixture.awaitEvent(Established.class);
    }
  }
}
