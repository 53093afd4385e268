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
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch of the server list on loopback. Lists are pushed here: the module requests none. */
class DiscoveryWatchTest {

  private static List<Action> noActions(Event event) {
    return List.of();
  }

  static LineSocket answerOk(LineSocket watch) throws IOException {
    while (!watch.readLine().isEmpty()) {
      continue;
    }
    return watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  static void sendChunk(LineSocket watch, String text) throws IOException {
    watch.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static String listJson(ProxyFixture fixture, int generation, boolean reset, String lifecycle) {
    return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"note\":{\"of\":[1,null]},\"instances\":["
        + fixture.instanceJson(lifecycle) + "]}\n";
  }

  private static ServerState firstState(ServerList list) {
    List<ServerEntry> entries = list.entries();
    return entries.get(0).state();
  }

  /** Guards against opening no watch where the settings say that lists are pushed: all drains were missed. */
  @Test
  void keepsAWatchOpenInPushMode() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      LineSocket watch = answerOk(fixture.acceptAtDiscovery());
      sendChunk(watch, listJson(fixture, 2, false, "in_service"));
      assertEquals(ListKind.FULL, fixture.awaitEvent(ServerList.class).kind());
      watch.close();
      LineSocket second = answerOk(fixture.acceptAtDiscovery());
      sendChunk(second, listJson(fixture, 3, false, "terminating"));
      assertEquals(ServerState.DRAINING, firstState(fixture.awaitEvent(ServerList.class)));
      assertFalse(fixture.events.stream().anyMatch(e -> e instanceof ServerList l && l.kind() == ListKind.FAILED));
    }
  }

  /** Discovery's list must be used from the first moment, not the one from before the start. */
  @Test
  void discoverysListIsUsedBeforeTheConfiguredOne() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      sendChunk(answerOk(fixture.acceptAtDiscovery()), listJson(fixture, 2, false, "terminating"));
      ServerList first = fixture.awaitEvent(ServerList.class);
      assertEquals(ListKind.FULL, first.kind());
      assertEquals(ServerState.DRAINING, firstState(first));
    }
  }

  @Test
  void theConfiguredListIsUsedOnceDiscoveryFails() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      fixture.acceptAtDiscovery().close();
      assertEquals(ListKind.SAVED, fixture.awaitEvent(ServerList.class).kind());
      sendChunk(answerOk(fixture.acceptAtDiscovery()), listJson(fixture, 2, false, "terminating"));
      assertEquals(ListKind.CHANGES, fixture.awaitEvent(ServerList.class).kind());
    }
  }

  /** The connection stays open and silent: only the timeout shows that it is broken. */
  @Test
  void aSilentWatchIsReopened() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      LineSocket watch = answerOk(fixture.acceptAtDiscovery());
      sendChunk(watch, listJson(fixture, 2, true, "in_service"));
      fixture.awaitEvent(ServerList.class);
      sendChunk(answerOk(fixture.acceptAtDiscovery()), listJson(fixture, 3, false, "terminating"));
      assertEquals(ServerState.DRAINING, firstState(fixture.awaitEvent(ServerList.class)));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"  ", "\t", ""})
  void listsMayComeIndented(String indent) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      LineSocket watch = answerOk(fixture.acceptAtDiscovery());
      sendChunk(watch, "\n");
      fixture.awaitEvent(ServerList.class);
      String text = listJson(fixture, 2, true, "terminating").replace("[{", "[\n" + indent + "{\n" + indent)
          .replace(",\"", ",\n" + indent + "\"");
      for (int i = 0; i < text.length(); i += 50) {
        sendChunk(watch, text.substring(i, Math.min(text.length(), i + 50)));
      }
      ServerList list = fixture.awaitEvent(ServerList.class);
      assertEquals(2, list.version());
      assertEquals(ServerState.DRAINING, firstState(list));
    }
  }

  /** After an unreadable list the current one stays, and the next watch continues from its version. */
  @ParameterizedTest
  @ValueSource(strings = {"{\"generation\":9,\"reset\":true}\n", "{\"generation\":9,\"instances\":[{\"instan\n", "[]\n",
      "{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"s-9\"}]}\n", "{\"generation\":9,\n\n",
      "{\"generation\":9\n{\"generation\":10,\"instances\":[]}\n", "\u0001\n", "{\"generation\":9} {}\n"})
  void anUnreadableListKeepsTheCurrentOne(String unreadable) throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(DiscoveryWatchTest::noActions)) {
      LineSocket watch = answerOk(fixture.acceptAtDiscovery());
      sendChunk(watch, listJson(fixture, 7, true, "in_service"));
      assertEquals(7, fixture.awaitEvent(ServerList.class).version());
      sendChunk(watch, unreadable);
      assertEquals("GET /api/targets?stream=1&index=7 HTTP/1.1", fixture.acceptAtDiscovery().readLine());
      assertFalse(fixture.events.stream().anyMatch(ServerList.class::isInstance));
    }
  }

  /** Full lists and changes name servers that come and go, each with its own id: nothing of them is kept. */
  @Test
  void startTimesOfRemovedServersAreDropped() throws Exception {
    try (ProxyFixture fixture = ProxyFixture.of(DiscoveryWatchTest::noActions,
        options -> options.editConfig = ProxyFixture::withDefaultRules)) {
      LineSocket watch = answerOk(fixture.acceptAtDiscovery());
      for (int i = 0; i < 20; i++) {
        String list = listJson(fixture, i + 2, true, "in_service").replace("\"s-1\"", "\"s-" + i + "\"")
            .replace("\"lifecycle\"", "\"startedAtMs\":1796206017000,\"lifecycle\"");
        sendChunk(watch, list);
        fixture.awaitEvent(ServerList.class);
      }
      fixture.awaitQueuedWork();
      assertEquals(1, fixture.proxy.startTimesHeld());
    }
  }
}
