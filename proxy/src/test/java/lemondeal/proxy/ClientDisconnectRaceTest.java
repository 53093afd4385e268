package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static lemondeal.proxy.RaceSteps.expireTimersBeforeReading;
import static lemondeal.proxy.RaceSteps.serverBacklog;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.Predicate;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;
import lemondeal.proxy.RaceSteps.CloseKind;
import lemondeal.proxy.RaceSteps.Gate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Once the kernel has a client's FIN or reset, the proxy must not begin anything further for that client. */
@Timeout(30)
class ClientDisconnectRaceTest {
  private static final int BURST = 20;

  private static Send send(String id) {
    return new Send(id, ProxyFixture.SERVER, 0);
  }

  private static boolean isRefused(Event event) {
    return event instanceof Ended e && e.outcome() == Outcome.REFUSED;
  }

  /** Returns the given action on arrival; blocks at the gate and then sends when the trigger event comes. */
  private static Function<Event, List<Action>> sendOnEvent(Gate gate, Predicate<Event> trigger,
      Function<String, Action> onArrival) {
    List<String> ids = new CopyOnWriteArrayList<>();
    return event -> {
      if (event instanceof Arrived e) {
        ids.add(e.request().id());
      }
      if (trigger.test(event)) {
        gate.block();
        return List.of(send(ids.get(0)));
      }
      return event instanceof Arrived ? List.of(onArrival.apply(ids.get(0))) : List.of();
    };
  }

  /** Disconnects the client while the module is about to send, and checks that no attempt begins. */
  private static void disconnectBeforeSend(ProxyFixture fixture, Gate gate, LineSocket client, CloseKind closeKind)
      throws Exception {
    gate.awaitReached();
    closeKind.closeAndAwaitReceived(client);
    gate.open();
    fixture.awaitEvent(ClientGone.class);
    Ended ended = fixture.awaitEvent(Ended.class);
    assertEquals(Outcome.NOT_SENT, ended.outcome());
    assertTrue(ended.requestFinished());
    fixture.awaitQueuedWork();
    assertEquals(0, serverBacklog(fixture, 0), "connections begun for a client that has disconnected");
  }

  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noFirstAttemptBeginsForAClientThatHasGone(CloseKind closeKind) throws Exception {
    Gate gate = new Gate();
    try (ProxyFixture fixture = new ProxyFixture(sendOnEvent(gate, Arrived.class::isInstance, null))) {
      disconnectBeforeSend(fixture, gate, fixture.newClient(OPEN_FIELDS), closeKind);
    }
  }

  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noAttemptInTheModulesQueueBeginsForAClientThatHasGone(CloseKind closeKind) throws Exception {
    Gate gate = new Gate();
    try (ProxyFixture fixture = new ProxyFixture(
        sendOnEvent(gate, Wake.class::isInstance, id -> new WakeAfter(1, 7)))) {
      disconnectBeforeSend(fixture, gate, fixture.newClient(OPEN_FIELDS), closeKind);
    }
  }

  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noAttemptBeginsAtAProbesAnswerForAClientThatHasGone(CloseKind closeKind) throws Exception {
    Gate gate = new Gate();
    try (ProxyFixture fixture = new ProxyFixture(
        sendOnEvent(gate, ProbeResult.class::isInstance, id -> new Probe(ProxyFixture.SERVER)))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket probed = fixture.acceptAtServer();
      assertEquals("STATS", probed.readLine());
      probed.send("PONG\r\n");
      disconnectBeforeSend(fixture, gate, client, closeKind);
    }
  }

  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noRepeatBeginsForAClientThatHasGone(CloseKind closeKind) throws Exception {
    Gate gate = new Gate();
    try (ProxyFixture fixture = new ProxyFixture(
        sendOnEvent(gate, ClientDisconnectRaceTest::isRefused, ClientDisconnectRaceTest::send))) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send("BUSY\r\n");
      assertEquals(Outcome.REFUSED, fixture.awaitEvent(Ended.class).outcome());
      disconnectBeforeSend(fixture, gate, client, closeKind);
    }
  }

  /** The client leaves between the turn in which the server connection comes up and the turn that writes to it. */
  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void nothingIsWrittenToADialThatComesUpForAClientThatHasGone(CloseKind closeKind) throws Exception {
    Gate dialled = new Gate();
    Gate loadRead = new Gate();
    List<ProxyFixture> sites = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e && e.request().clientRetry()) {
        sites.get(0).proxy.executor().execute(dialled::block);
      } else if (event instanceof LoadChanged) {
        loadRead.block();
      }
      return ProxyTest.sendOnce(event);
    })) {
      sites.add(fixture);
      LineSocket established = establish(fixture, fixture.newClient(OPEN_FIELDS));
      LineSocket client = fixture.newClient(OPEN_FIELDS + ",r=1");
      dialled.awaitReached();
      KernelSockets.await(() -> serverBacklog(fixture, 0) == 1);
      // Read in the turn in which the connection comes up; that turn ends with the client's FIN or reset in the kernel.
      established.send("LOAD 1\r\n").awaitUnread(8);
      dialled.open();
      loadRead.awaitReached();
      closeKind.closeAndAwaitReceived(client);
      loadRead.open();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
      assertNull(fixture.acceptAtServer().readLine(), "a first line for a client that has disconnected");
    }
  }

  /** The selector reports both events in one turn, in either order. */
  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void nothingIsWrittenToADialThatComesUpInTheTurnInWhichItsClientLeaves(CloseKind closeKind) throws Exception {
    Gate dialled = new Gate();
    List<ProxyFixture> sites = new ArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived) {
        sites.get(0).proxy.executor().execute(dialled::block);
      }
      return ProxyTest.sendOnce(event);
    })) {
      sites.add(fixture);
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      dialled.awaitReached();
      KernelSockets.await(() -> serverBacklog(fixture, 0) == 1);
      closeKind.closeAndAwaitReceived(client);
      dialled.open();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
      assertNull(fixture.acceptAtServer().readLine(), "the connection is closed without anything written");
    }
  }

  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noFurtherTryBeginsForAnAdoptionThatHasGone(CloseKind closeKind) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      LineSocket client = fixture.newClient(OPEN_FIELDS + ",at=" + ProxyFixture.SERVER);
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.close();
      RaceSteps.awaitClosedByProxy(server);
      expireTimersBeforeReading(fixture, fixture.limits().adoptRetryDelay() + fixture.limits().timerTick(),
          () -> closeKind.closeAndAwaitReceived(client));
      assertEquals(0, serverBacklog(fixture, 0), "attempts begun for a client that has disconnected");
    }
  }

  /** A new client takes the slot of one that left in the same turn; late actions for the old id must not affect it. */
  @Test
  void staleActionsDoNotAffectTheSlotsNextRequest() throws Exception {
    List<String> ids = new CopyOnWriteArrayList<>();
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e) {
        ids.add(e.request().id());
        return ids.size() == 1 ? List.of(new WakeAfter(1_000_000, 7)) : List.of(send(e.request().id()));
      }
      if (event instanceof Wake) {
        String departedId = ids.get(0);
        return List.of(send(departedId), new CancelAttempt(departedId, 0), new Refuse(departedId, 0),
            new Fail(departedId), new Move(departedId));
      }
      return List.of();
    })) {
      LineSocket leaver = fixture.newClient(OPEN_FIELDS);
      fixture.awaitEvent(Arrived.class);
      LineSocket newcomer;
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        CloseKind.RST.closeAndAwaitReceived(leaver);
        newcomer = fixture.newClient(OPEN_FIELDS);
        fixture.awaitBacklog(1);
        pause.resume();
      }
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      assertNotEquals(ids.get(0), ids.get(1));
      assertEquals((int) Long.parseLong(ids.get(0), 16), (int) Long.parseLong(ids.get(1), 16), "the same slot");
      fixture.advanceClock(1_100_000);
      fixture.awaitEvent(Wake.class);
      server.send("UP r1\r\nhello\r\n");
      assertEquals("UP r1", newcomer.readLine());
      assertEquals("hello", newcomer.readLine());
      assertEquals(0, serverBacklog(fixture, 0), "nothing is sent for the client that has disconnected");
    }
  }

  /** Each freed place goes to the next client in the module's queue, which has left in the same turn. */
  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void noAttemptBeginsForABurstOfClientsThatHaveGone(CloseKind closeKind) throws Exception {
    Queue<String> queue = new ArrayDeque<>();
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof Arrived e) {
        queue.add(e.request().id());
      } else if (event instanceof ClientGone e) {
        queue.remove(e.id());
        return queue.isEmpty() ? List.of() : List.of(send(queue.poll()));
      }
      return List.of();
    })) {
      List<LineSocket> leavers = new ArrayList<>();
      for (int i = 0; i < BURST; i++) {
        leavers.add(fixture.newClient(OPEN_FIELDS));
        fixture.awaitEvent(Arrived.class);
      }
      LineSocket remaining = fixture.newClient(OPEN_FIELDS);
      fixture.awaitEvent(Arrived.class);
      try (EventLoopPause pause = fixture.pauseEventLoop()) {
        for (LineSocket leaver : leavers) {
          closeKind.closeAndAwaitReceived(leaver);
        }
        pause.resume();
      }
      establish(fixture, remaining);
      for (int i = 0; i < BURST; i++) {
        fixture.awaitEvent(ClientGone.class);
      }
      fixture.awaitQueuedWork();
      assertEquals(0, serverBacklog(fixture, 0), "connections begun for clients that have disconnected");
    }
  }

  /** A client leaves in the moment in which the module decides to move it. */
  @ParameterizedTest
  @EnumSource(CloseKind.class)
  void aMoveOfAClientThatHasGoneEndsItOnce(CloseKind closeKind) throws Exception {
    Gate gate = new Gate();
    try (ProxyFixture fixture = new ProxyFixture(event -> {
      if (event instanceof LoadChanged e) {
        gate.block();
        return List.of(new Move(e.id()), new Move(e.id()));
      }
      return ProxyTest.sendOnce(event);
    })) {
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      server.send("LOAD 1\r\n");
      gate.awaitReached();
      closeKind.closeAndAwaitReceived(client);
      gate.open();
      server.readToEnd();
      assertEquals(Outcome.CANCELLED, fixture.awaitEvent(Ended.class).outcome());
      fixture.awaitQueuedWork();
      assertFalse(fixture.events.stream().anyMatch(Ended.class::isInstance), "reported once");
    }
  }
}
