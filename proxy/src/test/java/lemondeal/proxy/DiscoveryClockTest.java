package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.List;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;

/** How discovery keeps to the list's clock, on loopback. The site's lists are pushed: its module asks for none. */
class DiscoveryClockTest {

  private static List<Action> nothing(Event event) {
    return List.of();
  }

  private static Peer open(Peer watch) throws IOException {
    while (!watch.line().isEmpty()) {
      continue;
    }
    return watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  private static void write(Peer watch, String text) throws IOException {
    watch.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static String list(Site site, int generation, boolean reset, String lifecycle) {
    return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"note\":{\"of\":[1,null]},\"instances\":["
        + site.instance(lifecycle) + "]}\n";
  }

  private static ServerState state(ServerList list) {
    List<ServerEntry> entries = list.entries();
    return entries.get(0).state();
  }

  /** No watch was ever opened where the settings say that lists are pushed: all drains were missed. */
  @Test
  void keepsAWatchOpenWherePushedListsAreNotAskedFor() throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      Peer watch = open(site.atDiscovery());
      write(watch, list(site, 2, false, "in_service"));
      assertEquals(ListKind.FULL, site.await(ServerList.class).kind());
      watch.close();
      Peer second = open(site.atDiscovery());
      write(second, list(site, 3, false, "terminating"));
      assertEquals(ServerState.DRAINING, state(site.await(ServerList.class)));
      assertFalse(site.events.stream().anyMatch(e -> e instanceof ServerList l && l.kind() == ListKind.FAILED));
    }
  }

  /** What the agent has counts from the first moment: the list from before the start must not be used first. */
  @Test
  void theAgentsListIsTheFirstThatANewProcessHas() throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      write(open(site.atDiscovery()), list(site, 2, false, "terminating"));
      ServerList first = site.await(ServerList.class);
      assertEquals(ListKind.FULL, first.kind());
      assertEquals(ServerState.DRAINING, state(first));
    }
  }

  @Test
  void theListFromBeforeMustDoOnceTheAgentCannotBeHad() throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      site.atDiscovery().close();
      assertEquals(ListKind.SAVED, site.await(ServerList.class).kind());
      write(open(site.atDiscovery()), list(site, 2, false, "terminating"));
      assertEquals(ListKind.CHANGES, site.await(ServerList.class).kind());
    }
  }

  /** Its connection stays open and tells nothing: only the clock says that it is broken. */
  @Test
  void aSilentWatchIsOpenedAnew() throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      Peer watch = open(site.atDiscovery());
      write(watch, list(site, 2, true, "in_service"));
      site.await(ServerList.class);
      write(open(site.atDiscovery()), list(site, 3, false, "terminating"));
      assertEquals(ServerState.DRAINING, state(site.await(ServerList.class)));
    }
  }
}
