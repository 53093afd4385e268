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

/** The second address, and figures that tell what crossed the sockets. */
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
      // What people type ends in LF alone, and may come in pieces.
      LineSocket admin = fixture.newAdminClient().send("show-").send("stat\n");
      assertTrue(admin.readLine().startsWith("200"));
      String last = null;
      for (String line = admin.readLine(); line != null; line = admin.readLine()) {
        last = line;
      }
      assertEquals("EOF", last);
    }
  }

  /** Whoever keeps a connection without a call must not keep a reply from those that have one. */
  @Test
  void callersWithoutACallDoNotBlockOthers() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      List<LineSocket> idleCallers = new ArrayList<>();
      for (int i = 0; i < 3 * fixture.limits().maxAdminConnections(); i++) {
        idleCallers.add(fixture.newAdminClient().send("sho"));
        long callNanos = System.nanoTime();
        assertEquals(0, fixture.metric("in_flight"));
        assertTrue(System.nanoTime() - callNanos < MAX_REPLY_NANOS, "a reply is due within a second");
      }
      idleCallers.get(0).readToEnd();
      long startNanos = System.nanoTime();
      idleCallers.get(idleCallers.size() - 1).readToEnd();
      assertTrue(System.nanoTime() - startNanos < (fixture.limits().adminTimeout() + 1_000_000) * 1000, "the newest is timed");
    }
  }

  /** Once as many had come as the library takes, it stopped accepting until two had gone, and not one. */
  @Test
  void unfinishedCallsDoNotKeepOthersInTheBacklog() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      long startNanos = System.nanoTime();
      for (int i = 0; i < 3 * fixture.limits().maxAdminConnections(); i++) {
        fixture.newAdminClient().send("sho");
      }
      assertTrue(fixture.newAdminClient().send("ready\r\n").readLine().matches("(200 yes|400 no)"));
      assertTrue(System.nanoTime() - startNanos < fixture.limits().adminTimeout() * 1000, "answered once their time was over");
    }
  }

  /** Ready was once the same as listening: clients came before there was a server to send them to. */
  @Test
  void readyOnceDiscoveryHasDeliveredAListAndNotDuringAStop() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(event -> event instanceof Start ? List.of(new Subscribe(true)) : List.of())) {
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

  /** Each of them once, for every class of the settings and from 0. */
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

      // Answered without ever becoming a request: its class is known all the same.
      assertEquals("ERR", fixture.newClient().send((ProxyTest.OPEN_PREFIX + OPEN_FIELDS + "\r\n").repeat(2)).readLine());
      assertEquals(1, fixture.metric("failed.chat"));
      assertEquals("ERR", fixture.newClient("c=none,d=2000").readLine());
      assertEquals(1, fixture.metric("failed.chat"), "an unknown class counts in none");

      LineSocket adopted = fixture.newClient("c=chat,d=2000,at=" + ProxyFixture.SERVER);
      establish(fixture, adopted);
      assertEquals(2, fixture.metric("served.chat"), "one that was open before is brought up here too");
      assertEquals(3, fixture.metric("attempts"));

      fixture.events.clear();
      server.send("BYE\r\n").close();
      client.readLine();
      assertNull(client.readLine());
      fixture.awaitEvent(Ended.class);
      assertEquals(1, fixture.metric("in_flight"));
      assertEquals(2, fixture.metric("served.chat"), "an end counts nothing more");
    }
  }

  /** What is left out is the module's to say. */
  @Test
  void serverCountsComeFromTheModule() throws Exception {
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce)) {
      fixture.module.standing = new ServerSummary(true, 12, 5);
      assertEquals(12, fixture.metric("servers_known"));
      assertEquals(5, fixture.metric("servers_excluded"));
    }
  }
}
