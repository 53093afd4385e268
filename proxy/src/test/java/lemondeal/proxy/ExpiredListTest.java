package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.config.Config;
import lemondeal.module.DecisionModule;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Requests while the held list is older than the platform allows: discovery may have listed any of its servers as
 * draining for more than 6 s and the drain grace (review/10).
 */
@Timeout(60)
class ExpiredListTest {
  @TempDir
  Path folder;
  private String configText;

  private static final long SECOND = 1_000_000;
  private static final String FIELDS = "c=chat,d=2000";
  private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

  /** A proxy in poll mode that starts with a list. {@code module} null stands for a script that always sends. */
  private ProxyFixture startProxy(Balancer module) throws IOException {
    return ProxyFixture.of(event -> event instanceof Arrived a
        ? List.of(new Send(a.request().id(), ProxyFixture.SERVER, 0)) : List.of(), options -> {
          options.module = module;
          options.editConfig = text -> configText = ProxyFixture.withDefaultRules(text)
              .replace("\"settings\":{", "\"settings\":{\"membershipMode\":\"subscribe\",")
              .replace("\"rules\":{", "\"rules\":{\"askEvery\":10000000,")
              .replace("\"permissions\":{", "\"permissions\":{\"tryLimit\":3,");
        });
  }

  private static LineSocket acceptCall(ProxyFixture fixture) throws IOException {
    LineSocket call = fixture.acceptAtDiscovery();
    while (!call.readLine().isEmpty()) {
      continue;
    }
    return call;
  }

  /** Discovery rejects the proxy's calls, each after this time in its queue, until this much time has passed. */
  private static void rejectCalls(ProxyFixture fixture, long queueTime, long until) throws Exception {
    long elapsed = 0;
    while (elapsed < until) {
      fixture.advanceClock(SECOND / 2);
      elapsed += SECOND / 2;
      LineSocket call = acceptCall(fixture);
      fixture.advanceClock(Math.min(queueTime, until - elapsed));
      elapsed += queueTime;
      call.send(UNAVAILABLE).readToEnd();
    }
  }

  private static LineSocket acceptRequest(ProxyFixture fixture) throws IOException {
    LineSocket server = fixture.acceptAtServer();
    assertTrue(server.readLine().startsWith("OPEN "));
    return server;
  }

  private static void assertServed(ProxyFixture fixture) throws IOException {
    LineSocket client = fixture.newClient(FIELDS);
    acceptRequest(fixture).send("UP r\r\n");
    assertEquals("UP r", client.readLine());
  }

  private static void awaitList(ProxyFixture fixture, ListKind kind) throws InterruptedException {
    while (fixture.awaitEvent(ServerList.class).kind() != kind) {
      continue;
    }
  }

  /** The request waits for a list for a second, and no longer. */
  private static void assertRefused(ProxyFixture fixture) throws Exception {
    LineSocket client = fixture.newClient(FIELDS);
    fixture.awaitEvent(Arrived.class);
    fixture.advanceClock(SECOND + SECOND / 5);
    assertEquals("BUSY", client.readLine().split(" ")[0]);
  }

  /** Guards against placing requests by a list that has expired while discovery has too many callers: review/10. */
  @Test
  void requestsAreRefusedWhileDiscoveryIsCrowdedForTooLong() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      rejectCalls(fixture, 3 * SECOND, 7 * SECOND);
      assertRefused(fixture);
      assertEquals(1, fixture.metric("list_expired"));
      LineSocket waiting = fixture.newClient(FIELDS);
      fixture.awaitEvent(Arrived.class);
      acceptCall(fixture).send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      acceptRequest(fixture).send("UP r\r\n");
      assertEquals("UP r", waiting.readLine(), "placed as soon as discovery has answered");
      assertEquals(0, fixture.metric("list_expired"));
    }
  }

  /** Guards against refusing all requests: a server that has accepted one was not draining then. */
  @Test
  void aServerThatAcceptsRequestsGetsMoreUntilItRefusesOne() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      rejectCalls(fixture, 3 * SECOND, 6 * SECOND);
      assertServed(fixture);
      fixture.advanceClock(6 * SECOND);
      assertServed(fixture);
      fixture.advanceClock(6 * SECOND);
      LineSocket refused = fixture.newClient(FIELDS);
      acceptRequest(fixture).send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      fixture.advanceClock(SECOND + SECOND / 5);
      assertEquals("BUSY", refused.readLine().split(" ")[0]);
      assertRefused(fixture);
    }
  }

  /**
   * Guards against refusing most requests in an outage of a discovery that fails calls as a crowded one does: it ended
   * the watch, as it does when it goes down. A server that refuses a request may drain, and gets no more.
   */
  @Test
  void afterAWatchHasEndedRequestsGoToServersThatHaveNotRefusedOne() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      fixture.advanceClock(SECOND / 2);
      LineSocket watch = acceptCall(fixture);
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      awaitList(fixture, ListKind.CHANGES);
      watch.close();
      awaitList(fixture, ListKind.FAILED);
      rejectCalls(fixture, 3 * SECOND, 20 * SECOND);
      LineSocket client = fixture.newClient(FIELDS);
      acceptRequest(fixture).send("BUSY\r\n");
      fixture.awaitEvent(Ended.class);
      fixture.advanceClock(SECOND + SECOND / 5);
      assertEquals("BUSY", client.readLine().split(" ")[0]);
      assertRefused(fixture);
    }
  }

  /** Guards against a reload that makes the list of the settings before it valid again. */
  @Test
  void aReloadDoesNotRenewAnExpiredList() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      fixture.proxy.setModuleFactory(DecisionModule::new);
      rejectCalls(fixture, 3 * SECOND, 7 * SECOND);
      Path changed = Files.writeString(folder.resolve("config.json"), configText.replace("60000", "70000"));
      fixture.proxy.reconfigure(Config.read(Map.of("GW_CONFIG", changed.toString())));
      fixture.awaitQueuedWork();
      assertEquals(1, fixture.metric("list_expired"));
      assertEquals("BUSY", fixture.newClient(FIELDS).readLine().split(" ")[0]);
    }
  }

  /** Guards against using what a server accepted long ago. */
  @Test
  void anAcceptedRequestShowsNothingAfterSevenSeconds() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      rejectCalls(fixture, 3 * SECOND, 6 * SECOND);
      assertServed(fixture);
      fixture.advanceClock(7 * SECOND);
      assertRefused(fixture);
    }
  }

  /** Guards against refusing requests in an outage of discovery, which lists nothing new meanwhile. */
  @Test
  void requestsAreServedHoweverLongDiscoveryIsDown() throws Exception {
    try (ProxyFixture fixture = startProxy(new DecisionModule())) {
      rejectCalls(fixture, 0, 20 * SECOND);
      assertServed(fixture);
    }
  }

  /** Guards against an attempt that was decided on in time and is sent late: a dial takes its time. */
  @Test
  void anAttemptIsNotSentOnceTheListHasExpired() throws Exception {
    try (ProxyFixture fixture = startProxy(null)) {
      fixture.advanceClock(8 * SECOND);
      fixture.newClient(FIELDS);
      assertEquals(Outcome.NOT_SENT, fixture.awaitEvent(Ended.class).outcome());
      assertEquals(null, fixture.acceptAtServer().readLine());
    }
  }
}
