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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How discovery keeps to the list's clock, on loopback. The site's lists are pushed: its module asks for none. */
class DiscoveryClockTest {

  private static List<Action> nothing(Event event) {
    return List.of();
  }

  static Peer open(Peer watch) throws IOException {
    while (!watch.line().isEmpty()) {
      continue;
    }
    return watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  static void write(Peer watch, String text) throws IOException {
    watch.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static String list(Site site, int generation, boolean reset, String lifecycle) {
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

  @ParameterizedTest
  @ValueSource(strings = {"  ", "\t", ""})
  void listsMayComeIndented(String indent) throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      Peer watch = open(site.atDiscovery());
      write(watch, "\n");
      site.await(ServerList.class);
      String text = list(site, 2, true, "terminating").replace("[{", "[\n" + indent + "{\n" + indent)
          .replace(",\"", ",\n" + indent + "\"");
      for (int i = 0; i < text.length(); i += 50) {
        write(watch, text.substring(i, Math.min(text.length(), i + 50)));
      }
      ServerList list = site.await(ServerList.class);
      assertEquals(2, list.version());
      assertEquals(ServerState.DRAINING, state(list));
    }
  }

  /** What can't be read loses nothing: the list held stays, and a watch opened anew goes on from there. */
  @ParameterizedTest
  @ValueSource(strings = {"{\"generation\":9,\"reset\":true}\n", "{\"generation\":9,\"instances\":[{\"instan\n", "[]\n",
      "{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"s-9\"}]}\n", "{\"generation\":9,\n\n",
      "{\"generation\":9\n{\"generation\":10,\"instances\":[]}\n", "\u0001\n", "{\"generation\":9} {}\n"})
  void aListThatCannotBeReadLosesNothing(String bad) throws Exception {
    try (Site site = new Site(DiscoveryClockTest::nothing)) {
      Peer watch = open(site.atDiscovery());
      write(watch, list(site, 7, true, "in_service"));
      assertEquals(7, site.await(ServerList.class).version());
      write(watch, bad);
      assertEquals("GET /api/targets?stream=1&index=7 HTTP/1.1", site.atDiscovery().line());
      assertFalse(site.events.stream().anyMatch(ServerList.class::isInstance));
    }
  }

  /** Whole lists and changes name servers that come and go, each under a name of its own: nothing of them is kept. */
  @Test
  void nothingIsRememberedOfServersThatHaveGone() throws Exception {
    try (Site site = Site.of(DiscoveryClockTest::nothing, setup -> setup.config = Site::withRules)) {
      Peer watch = open(site.atDiscovery());
      for (int i = 0; i < 20; i++) {
        String list = list(site, i + 2, true, "in_service").replace("\"s-1\"", "\"s-" + i + "\"")
            .replace("\"lifecycle\"", "\"startedAtMs\":1796206017000,\"lifecycle\"");
        write(watch, list);
        site.await(ServerList.class);
      }
      site.settle();
      assertEquals(1, site.proxy.startTimesHeld());
    }
  }
}
