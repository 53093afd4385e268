package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.module.DecisionModule;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;

/** Repeated attempts on real connections, decided by the program's own module. */
class RepeatedAttemptTest {
  private static final String OPEN_FIELDS = "c=chat,d=2000";

  /** The decision module, with its Send actions recorded. */
  private static final class RecordingModule implements Balancer {
    private final DecisionModule delegate = new DecisionModule();
    private final BlockingQueue<Send> sends = new LinkedBlockingQueue<>();

    @Override
    public List<Action> on(long now, Event event) {
      List<Action> actions = delegate.on(now, event);
      for (Action action : actions) {
        if (action instanceof Send send) {
          sends.add(send);
        }
      }
      return actions;
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return delegate.serverSummary(now);
    }

    /** The index of the server that the next attempt goes to, counted from 0. */
    int nextServer() throws InterruptedException {
      Send send = sends.poll(10, TimeUnit.SECONDS);
      assertNotNull(send, "no attempt was sent");
      return Integer.parseInt(send.server().substring(2)) - 1;
    }
  }

  private final RecordingModule module = new RecordingModule();

  /** Two servers and one class with this effect, given in the syntax of the settings. */
  private ProxyFixture newFixture(String effect) throws IOException, InterruptedException {
    ProxyFixture fixture = ProxyFixture.of(event -> List.of(), options -> {
      options.serverCount = 2;
      options.module = module;
      options.editConfig = original -> original.replace("\"semantics\":\"idempotent\"", effect)
          .replace("\"aim\":1000000", "\"aim\":100000")
          .replace("\"cancelling\":true", "\"cancelling\":true,\"tryLimit\":3");
    });
    // Discovery fails, so the configured list is used: both servers are ready.
    fixture.acceptAtDiscovery().close();
    assertEquals(ListKind.SAVED, fixture.awaitEvent(ServerList.class).kind());
    return fixture;
  }

  private static final String SAFE = "\"semantics\":\"idempotent\"";
  private static final String KEYED = "\"semantics\":\"deduplicated\",\"group\":\"all\",\"dedupWindow\":500000";
  private static final String KEYED_IN_ZONE =
      "\"semantics\":\"deduplicated\",\"group\":\"zone\",\"dedupWindow\":500000";
  private static final String ONCE = "\"semantics\":\"at_most_once\"";

  /** The first attempt's line is read by its server, which resets the connection after this delay. */
  private int resetAfterTheLine(ProxyFixture fixture, long delay) throws IOException, InterruptedException {
    int first = module.nextServer();
    LineSocket server = fixture.acceptAtServer(first);
    assertTrue(server.readLine().startsWith("OPEN "));
    fixture.advanceClock(delay);
    server.reset();
    assertEquals(Outcome.RESET, fixture.awaitEvent(Ended.class).outcome());
    return first;
  }

  @Test
  void whatMayBeRepeatedIsRepeatedElsewhereAfterAReset() throws Exception {
    for (String effect : List.of(SAFE, KEYED, KEYED_IN_ZONE)) {
      try (ProxyFixture fixture = newFixture(effect)) {
        LineSocket client = fixture.newClient(OPEN_FIELDS);
        int first = resetAfterTheLine(fixture, 0);
        int second = module.nextServer();
        assertNotEquals(first, second);
        LineSocket server = fixture.acceptAtServer(second);
        assertTrue(server.readLine().startsWith("OPEN "));
        server.send("UP second\r\n");
        assertEquals("UP second", client.readLine());
      }
    }
  }

  @Test
  void whatMayNotBeRepeatedFailsAfterAReset() throws Exception {
    try (ProxyFixture fixture = newFixture(ONCE)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      resetAfterTheLine(fixture, 0);
      assertTrue(client.readLine().startsWith("ERR"), "it may have run, so the client gets no throttle");
      assertNull(module.sends.poll());
    }
  }

  /**
   * The deduplication window starts at the first attempt that may have run. If all servers deduplicate, the client may
   * retry.
   */
  @Test
  void nothingIsRepeatedOnceTheWindowIsOver() throws Exception {
    for (String effect : List.of(KEYED, KEYED_IN_ZONE)) {
      try (ProxyFixture fixture = newFixture(effect)) {
        LineSocket client = fixture.newClient(OPEN_FIELDS);
        resetAfterTheLine(fixture, 600_000);
        assertTrue(client.readLine().startsWith(effect.equals(KEYED) ? "BUSY" : "ERR"), effect);
        assertNull(module.sends.poll());
      }
    }
  }

  /** The first server answers after its attempt has timed out and another has begun: that answer is ignored. */
  @Test
  void aFirstAnswerAfterItsRepeatIsIgnored() throws Exception {
    try (ProxyFixture fixture = newFixture(SAFE)) {
      // A client that is connected at once, so that set-ups do not count as slow in general.
      LineSocket earlierClient = fixture.newClient(OPEN_FIELDS);
      LineSocket healthy = fixture.acceptAtServer(module.nextServer());
      assertTrue(healthy.readLine().startsWith("OPEN "));
      healthy.send("UP before\r\n");
      assertEquals("UP before", earlierClient.readLine());
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      int first = module.nextServer();
      LineSocket slow = fixture.acceptAtServer(first);
      assertTrue(slow.readLine().startsWith("OPEN "));
      fixture.advanceClock(1_300_000);
      assertEquals(Outcome.TIMED_OUT, fixture.awaitEvent(Ended.class).outcome());
      LineSocket other = fixture.acceptAtServer(module.nextServer());
      assertTrue(other.readLine().startsWith("OPEN "));
      slow.send("UP first\r\n");
      fixture.awaitQueuedWork();
      other.send("UP second\r\n");
      assertEquals("UP second", client.readLine());
    }
  }

  /** The server's reset, after which the request may be repeated, and the client's arrive in one turn of the loop. */
  @Test
  void noAttemptBeginsForAClientThatLeftAsItsAttemptWasReset() throws Exception {
    for (boolean clientFirst : new boolean[] {true, false}) {
      try (ProxyFixture fixture = newFixture(SAFE)) {
        LineSocket client = fixture.newClient(OPEN_FIELDS);
        int first = module.nextServer();
        LineSocket server = fixture.acceptAtServer(first);
        assertTrue(server.readLine().startsWith("OPEN "));
        try (EventLoopPause pause = fixture.pauseEventLoop()) {
          for (LineSocket leaving : clientFirst ? List.of(client, server) : List.of(server, client)) {
            leaving.reset();
            leaving.awaitCloseReceived();
          }
          pause.resume();
        }
        fixture.awaitEvent(ClientGone.class);
        fixture.awaitQueuedWork();
        // The next line that the other server receives must be a later client's.
        module.sends.clear();
        fixture.newClient(OPEN_FIELDS + ",g=marker");
        int second = module.nextServer();
        String line = null;
        while (line == null) {
          line = fixture.acceptAtServer(second).readLine();
        }
        assertTrue(line.contains("g=marker"), line);
      }
    }
  }

  @Test
  void aClientThatLeavesDuringTheRepeatEndsItAndGetsNoOther() throws Exception {
    try (ProxyFixture fixture = newFixture(SAFE)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      resetAfterTheLine(fixture, 0);
      LineSocket second = fixture.acceptAtServer(module.nextServer());
      assertTrue(second.readLine().startsWith("OPEN "));
      client.reset();
      second.readToEnd();
      assertEquals(1, fixture.awaitEvent(Ended.class).attempt());
      fixture.awaitQueuedWork();
      assertNull(module.sends.poll());
    }
  }
}
