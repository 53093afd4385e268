package lemondeal.proxy;

import static lemondeal.proxy.Crossing.atDeadline;
import static lemondeal.proxy.Crossing.atDoor;
import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
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
import lemondeal.proxy.Crossing.Gate;
import lemondeal.proxy.Crossing.Leaving;
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A client whose end is in the kernel has gone, whatever the proxy was about to do for it. */
@Timeout(30)
class ClientGoneCrossingsTest {
  private static final int BURST = 20;

  private static Send send(String id) {
    return new Send(id, Site.SERVER, 0);
  }

  private static boolean isRefused(Event event) {
    return event instanceof Ended e && e.outcome() == Outcome.REFUSED;
  }

  /** Answers the arrival as the test says; sends at the event that is due, and stands still before that. */
  private static Function<Event, List<Action>> sendAt(Gate gate, Predicate<Event> due,
      Function<String, Action> onArrival) {
    List<String> ids = new CopyOnWriteArrayList<>();
    return event -> {
      if (event instanceof Arrived e) {
        ids.add(e.request().id());
      }
      if (due.test(event)) {
        gate.pass();
        return List.of(send(ids.get(0)));
      }
      return event instanceof Arrived ? List.of(onArrival.apply(ids.get(0))) : List.of();
    };
  }

  /** Has the client leave while the module is about to send, and sees that nothing was begun. */
  private static void leaveAt(Site site, Gate gate, Peer client, Leaving how) throws Exception {
    gate.awaitReached();
    how.leaveNow(client);
    gate.open();
    site.await(ClientGone.class);
    Ended ended = site.await(Ended.class);
    assertEquals(Outcome.NOT_SENT, ended.outcome());
    assertTrue(ended.requestFinished());
    site.settle();
    assertEquals(0, atDoor(site, 0), "connections begun for a client that has gone");
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void noFirstAttemptBeginsForAClientThatHasGone(Leaving how) throws Exception {
    Gate gate = new Gate();
    try (Site site = new Site(sendAt(gate, Arrived.class::isInstance, null))) {
      leaveAt(site, gate, site.client(OPEN), how);
    }
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void noAttemptInTheModulesQueueBeginsForAClientThatHasGone(Leaving how) throws Exception {
    Gate gate = new Gate();
    try (Site site = new Site(sendAt(gate, Wake.class::isInstance, id -> new WakeAfter(1, 7)))) {
      leaveAt(site, gate, site.client(OPEN), how);
    }
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void noAttemptBeginsAtAProbesAnswerForAClientThatHasGone(Leaving how) throws Exception {
    Gate gate = new Gate();
    try (Site site = new Site(sendAt(gate, ProbeResult.class::isInstance, id -> new Probe(Site.SERVER)))) {
      Peer client = site.client(OPEN);
      Peer probed = site.atServer();
      assertEquals("STATS", probed.line());
      probed.send("PONG\r\n");
      leaveAt(site, gate, client, how);
    }
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void noRepeatBeginsForAClientThatHasGone(Leaving how) throws Exception {
    Gate gate = new Gate();
    try (Site site = new Site(sendAt(gate, ClientGoneCrossingsTest::isRefused, ClientGoneCrossingsTest::send))) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      server.send("BUSY\r\n");
      assertEquals(Outcome.REFUSED, site.await(Ended.class).outcome());
      leaveAt(site, gate, client, how);
    }
  }

  /** The end comes between the turn in which the connection came up and the one in which it is written to. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void nothingIsWrittenToADialThatComesUpForAClientThatHasGone(Leaving how) throws Exception {
    Gate dialled = new Gate();
    Gate other = new Gate();
    List<Site> sites = new ArrayList<>();
    try (Site site = new Site(event -> {
      if (event instanceof Arrived e && e.request().clientRetry()) {
        sites.get(0).proxy.executor().execute(dialled::pass);
      } else if (event instanceof LoadChanged) {
        other.pass();
      }
      return ProxyTest.sendOnce(event);
    })) {
      sites.add(site);
      Peer standing = up(site, site.client(OPEN));
      Peer client = site.client(OPEN + ",r=1");
      dialled.awaitReached();
      KernelSockets.await(() -> atDoor(site, 0) == 1);
      // Read in the same turn as the connection comes up, and the turn ends with the client's end in the kernel.
      standing.send("LOAD 1\r\n").awaitUnread(8);
      dialled.open();
      other.awaitReached();
      how.leaveNow(client);
      other.open();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
      assertNull(site.atServer().line(), "a first line for a client that has gone");
    }
  }

  /** Both are found in one turn, in whichever order the selector has them. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void nothingIsWrittenToADialThatComesUpInTheTurnInWhichItsClientLeaves(Leaving how) throws Exception {
    Gate dialled = new Gate();
    List<Site> sites = new ArrayList<>();
    try (Site site = new Site(event -> {
      if (event instanceof Arrived) {
        sites.get(0).proxy.executor().execute(dialled::pass);
      }
      return ProxyTest.sendOnce(event);
    })) {
      sites.add(site);
      Peer client = site.client(OPEN);
      dialled.awaitReached();
      KernelSockets.await(() -> atDoor(site, 0) == 1);
      how.leaveNow(client);
      dialled.open();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
      assertNull(site.atServer().line(), "the connection is closed with nothing written");
    }
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void noFurtherTryBeginsForAnAdoptionThatHasGone(Leaving how) throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN + ",at=" + Site.SERVER);
      Peer server = site.atServer();
      server.line();
      server.close();
      Crossing.awaitClosed(server);
      atDeadline(site, site.limits().adoptRetryDelay() + site.limits().timerTick(), () -> how.leaveNow(client));
      assertEquals(0, atDoor(site, 0), "tries begun for a client that has gone");
    }
  }

  /** The leavers' places are taken by newcomers in the same turn; late words on a leaver must not find them. */
  @Test
  void staleWordsDoNotReachTheNewcomerInASlot() throws Exception {
    List<String> ids = new CopyOnWriteArrayList<>();
    try (Site site = new Site(event -> {
      if (event instanceof Arrived e) {
        ids.add(e.request().id());
        return ids.size() == 1 ? List.of(new WakeAfter(1_000_000, 7)) : List.of(send(e.request().id()));
      }
      if (event instanceof Wake) {
        String gone = ids.get(0);
        return List.of(send(gone), new CancelAttempt(gone, 0), new Refuse(gone, 0), new Fail(gone), new Move(gone));
      }
      return List.of();
    })) {
      Peer leaver = site.client(OPEN);
      site.await(Arrived.class);
      Peer newcomer;
      try (Held held = site.hold()) {
        Leaving.RST.leaveNow(leaver);
        newcomer = site.client(OPEN);
        site.awaitQueued(1);
        held.release();
      }
      Peer server = site.atServer();
      server.line();
      assertNotEquals(ids.get(0), ids.get(1));
      assertEquals((int) Long.parseLong(ids.get(0), 16), (int) Long.parseLong(ids.get(1), 16), "the same slot");
      site.jump(1_100_000);
      site.await(Wake.class);
      server.send("UP r1\r\nhello\r\n");
      assertEquals("UP r1", newcomer.line());
      assertEquals("hello", newcomer.line());
      assertEquals(0, atDoor(site, 0), "nothing is sent for the one that has gone");
    }
  }

  /** Each place that a leaver frees goes to the next in the module's queue, who has left in the same turn. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aBurstOfLeaversHandsItsPlacesToNoneOfThem(Leaving how) throws Exception {
    Queue<String> queue = new ArrayDeque<>();
    try (Site site = new Site(event -> {
      if (event instanceof Arrived e) {
        queue.add(e.request().id());
      } else if (event instanceof ClientGone e) {
        queue.remove(e.id());
        return queue.isEmpty() ? List.of() : List.of(send(queue.poll()));
      }
      return List.of();
    })) {
      List<Peer> leavers = new ArrayList<>();
      for (int i = 0; i < BURST; i++) {
        leavers.add(site.client(OPEN));
        site.await(Arrived.class);
      }
      Peer stays = site.client(OPEN);
      site.await(Arrived.class);
      try (Held held = site.hold()) {
        for (Peer leaver : leavers) {
          how.leaveNow(leaver);
        }
        held.release();
      }
      up(site, stays);
      for (int i = 0; i < BURST; i++) {
        site.await(ClientGone.class);
      }
      site.settle();
      assertEquals(0, atDoor(site, 0), "connections begun for clients that have gone");
    }
  }

  /** A client that leaves with its attempt out, while a move of it is decided. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aMoveOfAClientThatHasGoneEndsItOnce(Leaving how) throws Exception {
    Gate gate = new Gate();
    try (Site site = new Site(event -> {
      if (event instanceof LoadChanged e) {
        gate.pass();
        return List.of(new Move(e.id()), new Move(e.id()));
      }
      return ProxyTest.sendOnce(event);
    })) {
      Peer client = site.client(OPEN);
      Peer server = up(site, client);
      server.send("LOAD 1\r\n");
      gate.awaitReached();
      how.leaveNow(client);
      gate.open();
      server.awaitEnd();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
      site.settle();
      assertFalse(site.events.stream().anyMatch(Ended.class::isInstance), "told once");
    }
  }
}
