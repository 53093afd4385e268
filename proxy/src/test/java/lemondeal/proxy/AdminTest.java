package lemondeal.proxy;

import static lemondeal.proxy.ProxyTest.OPEN_FIELDS;
import static lemondeal.proxy.ProxyTest.establish;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerSummary;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The admin address and its metrics. */
@Timeout(30)
class AdminTest {
  private static final long MAX_REPLY_NANOS = 1_000_000_000L;

  @Test
  void eachConnectionCarriesOneCallAndOneReply() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      for (String call : List.of("no-such-call\r\n", "\r\n", "ready now\r\n", "x".repeat(5000))) {
        LineSocket admin = fixture.newAdminClient().send(call);
        assertTrue(admin.readLine().startsWith("400"), call);
        admin.readToEnd();
      }
      // A call typed by hand ends in LF alone and may arrive in pieces.
      LineSocket admin = fixture.newAdminClient().send("show-").send("stat\n");
      assertTrue(admin.readLine().startsWith("200"));
      String last = null;
      for (String line = admin.readLine(); line != null; line = admin.readLine()) {
        last = line;
      }
      assertEquals("EOF", last);
    }
  }

  /** Connections without a call must not delay the reply to callers that have sent one. */
  @Test
  void callersWithoutACallDoNotBlockOthers() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<LineSocket> idleCallers = new ArrayList<>();
      for (int i = 0; i < 3 * fixture.limits().maxAdminConnections(); i++) {
        idleCallers.add(fixture.newAdminClient().send("sho"));
        long callNanos = System.nanoTime();
        assertEquals(0, fixture.metric("in_flight"));
        assertTrue(System.nanoTime() - callNanos < MAX_REPLY_NANOS, "a reply must come within a second");
      }
      idleCallers.get(0).readToEnd();
      long startNanos = System.nanoTime();
      idleCallers.get(idleCallers.size() - 1).readToEnd();
      assertTrue(System.nanoTime() - startNanos < (fixture.limits().adminTimeout() + 1_000_000) * 1000,
          "the newest idle connection also times out");
    }
  }

  /** Guards against the library resuming accepts at its connection limit only after two connections have closed. */
  @Test
  void unfinishedCallsDoNotKeepOthersInTheBacklog() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      long startNanos = System.nanoTime();
      for (int i = 0; i < 3 * fixture.limits().maxAdminConnections(); i++) {
        fixture.newAdminClient().send("sho");
      }
      assertTrue(fixture.newAdminClient().send("ready\r\n").readLine().matches("(200 yes|400 no)"));
      assertTrue(System.nanoTime() - startNanos < fixture.limits().adminTimeout() * 1000,
          "answered only after their timeout");
    }
  }

  /** Guards against a proxy that is ready as soon as it listens: clients then arrived before any server was known. */
  @Test
  void readyOnceDiscoveryHasDeliveredAListAndNotDuringAStop() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(
        event -> event instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
      LineSocket discovery = fixture.acceptAtDiscovery();
      assertEquals("400 no", fixture.newAdminClient().send("ready\r\n").readLine());
      String list = "{\"generation\":2,\"reset\":true,\"instances\":[" + fixture.instanceJson("in_service") + "]}\n";
      discovery.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
      while (fixture.awaitEvent(ServerList.class).kind() != ListKind.FULL) {
        continue;
      }
      assertEquals("200 yes", fixture.newAdminClient().send("ready\r\n").readLine());
      Thread stop = new Thread(() -> assertDoesNotThrow(fixture.proxy::stop));
      stop.start();
      stop.join();
      assertEquals("400 no", fixture.newAdminClient().send("ready\r\n").readLine());
    }
  }

  /** Each answer and attempt counts once; every configured class is listed and starts at 0. */
  @Test
  void countsAnswersToClientsAndAttempts() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      assertEquals(0, fixture.metric("served.chat"));
      LineSocket client = fixture.newClient(OPEN_FIELDS);
      LineSocket server = establish(fixture, client);
      assertEquals(1, fixture.metric("served.chat"));
      assertEquals(1, fixture.metric("attempts"));
      assertEquals(1, fixture.metric("in_flight"));

      LineSocket refused = fixture.newClient(OPEN_FIELDS);
      fixture.acceptAtServer().send("BUSY\r\n");
      assertEquals("BUSY 250", refused.readLine());
      assertEquals(1, fixture.metric("refused.chat"));
      assertEquals(2, fixture.metric("attempts"));

      // Rejected before it became a request, but its class is known.
      assertEquals("ERR",
          fixture.newClient().send((ProxyTest.OPEN_PREFIX + OPEN_FIELDS + "\r\n").repeat(2)).readLine());
      assertEquals(1, fixture.metric("failed.chat"));
      assertEquals("ERR", fixture.newClient("c=none,d=2000").readLine());
      assertEquals(1, fixture.metric("failed.chat"), "a request of an unknown class counts for no class");

      LineSocket adopted = fixture.newClient("c=chat,d=2000,at=" + ProxyFixture.SERVER);
      establish(fixture, adopted);
      assertEquals(2, fixture.metric("served.chat"), "an adopted connection also counts as served");
      assertEquals(3, fixture.metric("attempts"));

      fixture.events.clear();
      server.send("BYE\r\n").close();
      client.readLine();
      assertNull(client.readLine());
      fixture.awaitEvent(Ended.class);
      assertEquals(1, fixture.metric("in_flight"));
      assertEquals(2, fixture.metric("served.chat"), "the end of a connection changes no count");
    }
  }

  /** The module decides which servers count as excluded. */
  @Test
  void serverCountsComeFromTheModule() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      fixture.module.summary = new ServerSummary(true, 12, 5);
      assertEquals(12, fixture.metric("servers_known"));
      assertEquals(5, fixture.metric("servers_excluded"));
    }
  }
}
