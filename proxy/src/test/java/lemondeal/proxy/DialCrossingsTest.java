package lemondeal.proxy;

import static lemondeal.proxy.Crossing.atDeadline;
import static lemondeal.proxy.Crossing.atDoor;
import static lemondeal.proxy.Crossing.dialling;
import static lemondeal.proxy.Crossing.port;
import static lemondeal.proxy.ProxyTest.OPEN;
import static lemondeal.proxy.ProxyTest.up;
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
import lemondeal.proxy.Crossing.Gate;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Connections to servers that come up late, or whose server acts in the moment in which they do. */
@Timeout(30)
class DialCrossingsTest {
  /** Stands still once the dial has begun, before anything is known of it. */
  private static Function<Event, List<Action>> standingAfterTheDial(Gate gate, List<Site> sites) {
    return event -> {
      if (event instanceof Arrived) {
        sites.get(0).proxy.executor().execute(gate::pass);
      }
      return ProxyTest.sendOnce(event);
    };
  }

  /** A site whose server does something between the moment in which a dial has come up and that in which it is seen. */
  private static Outcome whenUpAndUnseen(Peers act) throws Exception {
    Gate gate = new Gate();
    List<Site> sites = new ArrayList<>();
    try (Site site = new Site(standingAfterTheDial(gate, sites))) {
      sites.add(site);
      Peer client = site.client(OPEN);
      gate.awaitReached();
      Peer server = site.atServer();
      act.act(site, server);
      gate.open();
      Outcome outcome = site.await(Ended.class).outcome();
      assertEquals("BUSY 250", client.line());
      if (!server.socket.isClosed()) {
        assertNull(server.line(), "nothing was written");
      }
      return outcome;
    }
  }

  private interface Peers {
    void act(Site site, Peer server) throws Exception;
  }

  /** A server that closes at once once made a request that nobody had seen count as one that may have run. */
  @Test
  void aServerThatClosesAsItsConnectionComesUpHasSeenNothing() throws Exception {
    assertEquals(Outcome.NO_CONNECTION, whenUpAndUnseen((site, server) -> server.endSending().awaitEndQueued()));
  }

  @Test
  void aServerThatResetsAsItsConnectionComesUpHasSeenNothing() throws Exception {
    assertEquals(Outcome.NO_CONNECTION, whenUpAndUnseen((site, server) -> {
      server.reset();
      server.awaitEndQueued();
    }));
  }

  /** What a server says too early is judged once the line is written, and its end comes first. */
  @ParameterizedTest
  @CsvSource({"BUSY, REFUSED", "ERR, ERROR", "x, ERROR"})
  void whatIsSaidBeforeTheFirstLineIsJudgedBehindIt(String said, Outcome outcome) throws Exception {
    Gate gate = new Gate();
    List<Site> sites = new ArrayList<>();
    try (Site site = new Site(standingAfterTheDial(gate, sites))) {
      sites.add(site);
      Peer client = site.client(OPEN);
      gate.awaitReached();
      Peer server = site.atServer().send(said + "\r\n").awaitUnread(said.length() + 2);
      gate.open();
      assertEquals(outcome, site.await(Ended.class).outcome());
      assertTrue(server.line().startsWith("OPEN "));
      assertEquals("BUSY 250", client.line());
    }
    assertEquals(Outcome.NO_CONNECTION, whenUpAndUnseen((site, server) ->
        server.send(said + "\r\n").endSending().awaitEndQueued()));
  }

  /**
   * The server may have been told as draining right after the decision: a first line that a late dial wrote behind the
   * grace was a send to a draining server.
   */
  @Test
  void aDialThatComesUpBehindADrainsGraceIsNotWrittenTo() throws Exception {
    long grace = 100_000;
    Gate gate = new Gate();
    List<Site> sites = new ArrayList<>();
    try (Site site = Site.of(standingAfterTheDial(gate, sites), setup -> setup.config =
        json -> json.replace("\"azs\"", "\"rules\":{\"drainGrace\":" + grace + "},\"azs\""))) {
      sites.add(site);
      Peer client = site.client(OPEN);
      gate.awaitReached();
      Thread jump = new Thread(() -> {
        try {
          site.jump(grace + 1);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      });
      jump.start();
      KernelSockets.await(() -> jump.getState() == Thread.State.TIMED_WAITING);
      Peer server = site.atServer();
      gate.open();
      assertEquals(Outcome.NO_CONNECTION, site.await(Ended.class).outcome());
      assertNull(server.line(), "nothing is written behind the grace");
      assertEquals("BUSY 250", client.line());
      jump.join();
    }
  }

  /** Connections that nobody accepts fill the server's queue: the next ones do not come up. */
  private static List<SocketChannel> fill(Site site, int server) throws IOException {
    List<SocketChannel> filling = new ArrayList<>();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port(site, server));
    for (int i = 0; i <= 50; i++) {
      filling.add(SocketChannel.open(address));
    }
    KernelSockets.await(() -> atDoor(site, server) > 50);
    return filling;
  }

  private static void close(List<SocketChannel> channels) throws IOException {
    for (SocketChannel channel : channels) {
      channel.close();
    }
  }

  /** Nobody waits for it any more: its descriptor is given back in the same turn. */
  @Test
  void aDialThatIsCalledOffIsClosedAtOnce() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      List<SocketChannel> filling = fill(site, 0);
      Peer client = site.client(OPEN);
      KernelSockets.await(() -> dialling(port(site, 0)) == 1);
      client.endSending();
      assertEquals(Outcome.CANCELLED, site.await(Ended.class).outcome());
      site.settle();
      assertEquals(0, dialling(port(site, 0)));
      close(filling);
    }
  }

  /** A dial that outlasts its attempt has written nothing: the request has not run, and goes elsewhere. */
  @Test
  void anAttemptWhoseDialOutlastsItHasNotRunAndItsDialIsNoMoreHeardOf() throws Exception {
    try (Site site = Site.of(event -> {
      if (event instanceof Arrived e) {
        return List.of(new Send(e.request().id(), Site.SERVER, 200_000));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Send(e.id(), "s-2", 0)) : List.of();
    }, setup -> setup.servers = 2)) {
      List<SocketChannel> filling = fill(site, 0);
      Peer client = site.client(OPEN);
      Peer second = site.atServer(1);
      Ended first = site.await(Ended.class);
      assertEquals(Outcome.NO_CONNECTION, first.outcome());
      assertEquals(0, first.attempt());
      assertTrue(second.line().startsWith("OPEN "));
      close(filling);
      site.stopServer(0);
      site.settle();
      second.send("UP r2\r\n");
      assertEquals("UP r2", client.line());
      assertEquals(1, site.await(Established.class).attempt());
      assertFalse(site.events.stream().anyMatch(Ended.class::isInstance), "the first is heard of once");
    }
  }

  /** Many dials at one server that takes none end one by one, each told once, and leave nothing open. */
  @Test
  void manyDialsAtAServerThatTakesNoneEndEachForItself() throws Exception {
    int count = 12;
    try (Site site = new Site(ProxyTest::sendOnce)) {
      List<SocketChannel> filling = fill(site, 0);
      List<Peer> clients = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        clients.add(site.client(OPEN));
      }
      KernelSockets.await(() -> dialling(port(site, 0)) == count);
      site.jump(600_000);
      site.jump(100_000);
      for (Peer client : clients) {
        assertEquals("BUSY 250", client.line());
        assertEquals(Outcome.NO_CONNECTION, site.await(Ended.class).outcome());
      }
      site.settle();
      assertEquals(0, dialling(port(site, 0)));
      assertFalse(site.events.stream().anyMatch(Ended.class::isInstance));
      close(filling);
    }
  }

  /** The first try is refused at once, and the client is served by the next. */
  @Test
  void aDialThatIsRefusedAtOnceHasNotRun() throws Exception {
    try (Site site = Site.of(event -> {
      if (event instanceof Arrived e) {
        return List.of(new Send(e.request().id(), Site.SERVER, 0));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Send(e.id(), "s-2", 0)) : List.of();
    }, setup -> setup.servers = 2)) {
      site.stopServer(0);
      Peer client = site.client(OPEN);
      Peer second = site.atServer(1);
      assertEquals(Outcome.NO_CONNECTION, site.await(Ended.class).outcome());
      second.line();
      second.send("UP r2\r\n");
      assertEquals("UP r2", client.line());
    }
  }

  /** The answer was in the kernel when the time ran out: the proxy itself had stood still. */
  @Test
  void anAnswerThatIsThereWhenTheTimeRunsOutCounts() throws Exception {
    try (Site site = new Site(ProxyTest::sendOnce)) {
      Peer client = site.client(OPEN);
      Peer server = site.atServer();
      server.line();
      atDeadline(site, 2_000_000, () -> server.send("UP r1\r\n").awaitUnread(7));
      assertEquals("UP r1", client.line());
      site.await(Established.class);
    }
  }
}
