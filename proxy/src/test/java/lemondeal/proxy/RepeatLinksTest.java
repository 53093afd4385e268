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
import lemondeal.proxy.Site.Held;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;

/** Repeats on real connections, decided by the program's own module. */
class RepeatLinksTest {
  private static final String CLIENT = "c=chat,d=2000";

  /** The decision module, and what it sent. */
  private static final class Watched implements Balancer {
    private final DecisionModule logic = new DecisionModule();
    private final BlockingQueue<Send> sends = new LinkedBlockingQueue<>();

    @Override
    public List<Action> on(long now, Event event) {
      List<Action> actions = logic.on(now, event);
      for (Action action : actions) {
        if (action instanceof Send send) {
          sends.add(send);
        }
      }
      return actions;
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return logic.serverSummary(now);
    }

    /** The server that the next attempt goes to, counted from 0. */
    int next() throws InterruptedException {
      Send send = sends.poll(10, TimeUnit.SECONDS);
      assertNotNull(send, "nothing was sent");
      return Integer.parseInt(send.server().substring(2)) - 1;
    }
  }

  private final Watched module = new Watched();

  /** Two servers and one class of this effect, written as in the settings. */
  private Site site(String effect) throws IOException, InterruptedException {
    Site site = Site.of(event -> List.of(), setup -> {
      setup.servers = 2;
      setup.module = module;
      setup.config = json -> json.replace("\"semantics\":\"idempotent\"", effect)
          .replace("\"aim\":1000000", "\"aim\":100000")
          .replace("\"cancelling\":true", "\"cancelling\":true,\"tryLimit\":3");
    });
    // The list from before must do: both servers are ready.
    site.atDiscovery().close();
    assertEquals(ListKind.SAVED, site.await(ServerList.class).kind());
    return site;
  }

  private static final String SAFE = "\"semantics\":\"idempotent\"";
  private static final String KEYED = "\"semantics\":\"deduplicated\",\"group\":\"all\",\"dedupWindow\":500000";
  private static final String CELL = "\"semantics\":\"deduplicated\",\"group\":\"zone\",\"dedupWindow\":500000";
  private static final String ONCE = "\"semantics\":\"at_most_once\"";

  /** The first attempt's line is read by its server, which then resets the connection so much later. */
  private int resetAfterTheLine(Site site, long later) throws IOException, InterruptedException {
    int first = module.next();
    Peer server = site.atServer(first);
    assertTrue(server.line().startsWith("OPEN "));
    site.jump(later);
    server.reset();
    assertEquals(Outcome.RESET, site.await(Ended.class).outcome());
    return first;
  }

  @Test
  void whatMayBeRepeatedIsRepeatedElsewhereAfterAReset() throws Exception {
    for (String effect : List.of(SAFE, KEYED, CELL)) {
      try (Site site = site(effect)) {
        Peer client = site.client(CLIENT);
        int first = resetAfterTheLine(site, 0);
        int second = module.next();
        assertNotEquals(first, second);
        Peer server = site.atServer(second);
        assertTrue(server.line().startsWith("OPEN "));
        server.send("UP second\r\n");
        assertEquals("UP second", client.line());
      }
    }
  }

  @Test
  void whatMayNotBeRepeatedFailsAfterAReset() throws Exception {
    try (Site site = site(ONCE)) {
      Peer client = site.client(CLIENT);
      resetAfterTheLine(site, 0);
      assertTrue(client.line().startsWith("ERR"), "no word on whether it ran");
      assertNull(module.sends.poll());
    }
  }

  /** The window counts from the first attempt that may have run. Where all drop repeats, the client may come again. */
  @Test
  void nothingIsRepeatedOnceTheWindowIsOver() throws Exception {
    for (String effect : List.of(KEYED, CELL)) {
      try (Site site = site(effect)) {
        Peer client = site.client(CLIENT);
        resetAfterTheLine(site, 600_000);
        assertTrue(client.line().startsWith(effect.equals(KEYED) ? "BUSY" : "ERR"), effect);
        assertNull(module.sends.poll());
      }
    }
  }

  /** The first server answers when its attempt has been given up and another is out: that answer is nobody's. */
  @Test
  void aFirstAnswerThatComesAfterItsRepeatIsNobodys() throws Exception {
    try (Site site = site(SAFE)) {
      // One that came up at once: set-ups are not slow in general.
      Peer before = site.client(CLIENT);
      Peer sound = site.atServer(module.next());
      assertTrue(sound.line().startsWith("OPEN "));
      sound.send("UP before\r\n");
      assertEquals("UP before", before.line());
      Peer client = site.client(CLIENT);
      int first = module.next();
      Peer slow = site.atServer(first);
      assertTrue(slow.line().startsWith("OPEN "));
      site.jump(1_300_000);
      assertEquals(Outcome.TIMED_OUT, site.await(Ended.class).outcome());
      Peer other = site.atServer(module.next());
      assertTrue(other.line().startsWith("OPEN "));
      slow.send("UP first\r\n");
      site.settle();
      other.send("UP second\r\n");
      assertEquals("UP second", client.line());
    }
  }

  /** In one round: the server's reset, after which its request may be repeated, and the client's. */
  @Test
  void noServerHearsOfAClientThatLeftAsItsAttemptWasReset() throws Exception {
    for (boolean clientFirst : new boolean[] {true, false}) {
      try (Site site = site(SAFE)) {
        Peer client = site.client(CLIENT);
        int first = module.next();
        Peer server = site.atServer(first);
        assertTrue(server.line().startsWith("OPEN "));
        try (Held held = site.hold()) {
          for (Peer gone : clientFirst ? List.of(client, server) : List.of(server, client)) {
            gone.reset();
            gone.awaitEndQueued();
          }
          held.release();
        }
        site.await(ClientGone.class);
        site.settle();
        // The next that the other server hears is a later client's line.
        module.sends.clear();
        site.client(CLIENT + ",g=marker");
        int second = module.next();
        String line = null;
        while (line == null) {
          line = site.atServer(second).line();
        }
        assertTrue(line.contains("g=marker"), line);
      }
    }
  }

  @Test
  void whoLeavesWhileTheRepeatIsOutEndsItAndGetsNoOther() throws Exception {
    try (Site site = site(SAFE)) {
      Peer client = site.client(CLIENT);
      resetAfterTheLine(site, 0);
      Peer second = site.atServer(module.next());
      assertTrue(second.line().startsWith("OPEN "));
      client.reset();
      second.awaitEnd();
      assertEquals(1, site.await(Ended.class).attempt());
      site.settle();
      assertNull(module.sends.poll());
    }
  }
}
