package lemondeal.lab.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.LineConnection;
import lemondeal.lab.claims.FakeClaimStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Single faults of resumable sessions, with real proxies that share a claim store. */
@Timeout(30)
class ResumeFaultsTest {
  private static final AtomicInteger IDS = new AtomicInteger();

  /** An established connection of a test client, with its RESUME line. */
  private record OpenSession(LineConnection connection, String resumeLine) {
    String token() {
      return resumeLine.substring(resumeLine.lastIndexOf(' ') + 1);
    }
  }

  private static LineConnection open(ResumeTestCluster cluster, int proxy, String token, long received)
      throws IOException {
    LineConnection connection = LineConnection.connect(cluster.proxies().get(proxy).address());
    connection.setReadTimeout(10_000);
    connection.writeLines(String.format("OPEN %016x key c=order-sync,d=2000,resume=1%s", IDS.incrementAndGet(),
        token.isEmpty() ? "" : ",token=" + token + ",got=" + received));
    return connection;
  }

  /** Opens a connection; retries while it is throttled, as happens on a busy machine. */
  private static OpenSession openSession(ResumeTestCluster cluster, int proxy, String token, long received)
      throws IOException {
    LineConnection connection = open(cluster, proxy, token, received);
    String answer = connection.readLine();
    while (answer.startsWith("BUSY")) {
      connection.close();
      connection = open(cluster, proxy, token, received);
      answer = connection.readLine();
    }
    assertTrue(answer.startsWith("UP "), answer);
    return new OpenSession(connection, connection.readLine());
  }

  private static String answer(ResumeTestCluster cluster, int proxy, String token, long received) throws IOException {
    try (LineConnection connection = open(cluster, proxy, token, received)) {
      return connection.readLine();
    }
  }

  /** Returns the first answer other than BUSY; an earlier claim's settlement or release may still be pending. */
  private static String answerAfterRetries(ResumeTestCluster cluster, int proxy, String token) throws IOException {
    String answer = answer(cluster, proxy, token, 0);
    while (answer.startsWith("BUSY")) {
      answer = answer(cluster, proxy, token, 0);
    }
    return answer;
  }

  /** Opens a connection whose first line has reached the server, by its count, and stays unanswered. */
  private static LineConnection openUnanswered(ResumeTestCluster cluster, int proxy, String token, int count)
      throws IOException {
    ResumableServer server = cluster.server("s-1");
    LineConnection connection = open(cluster, proxy, token, 0);
    for (int i = 0; server.openCount() < count; i++) {
      assertTrue(i < 500, "no server received the request");
      connection.setReadTimeout(20);
      try {
        assertTrue(connection.readLine().startsWith("BUSY"));
        connection.close();
        connection = open(cluster, proxy, token, 0);
      } catch (SocketTimeoutException e) {
        assertNotNull(e, "no answer yet");
      }
    }
    return connection;
  }

  @Test
  void tokenUsedAtTwoProxiesMakesOneAttempt() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "")) {
      String token = openSession(cluster, 0, "", 0).token();
      ResumableServer server = cluster.server("s-1");
      server.setResponseMode(ResumableServer.ResponseMode.SILENT);
      LineConnection first = openUnanswered(cluster, 0, token, 2);
      assertEquals("BUSY 500", answer(cluster, 1, token, 0));
      assertEquals(2, server.openCount(), "the second request was sent to a server");
      first.close();
      server.setResponseMode(ResumableServer.ResponseMode.SERVES);
      assertTrue(answerAfterRetries(cluster, 1, token).startsWith("UP "));
      assertEquals("ERR used", answerAfterRetries(cluster, 0, token));
      assertEquals(1, cluster.sessionStore().maxActiveAttempts());
      for (String line : cluster.proxies().get(1).log()) {
        // Without a configured log level, gRPC's transport logged every frame with its payload.
        assertTrue(line.startsWith("lemondeal: ") || line.startsWith("n1 ") || line.contains("org.xnio")
            || line.startsWith("INFO: XNIO"), line);
      }
    }
  }

  /** If the claim store grants everything, both proxies send the request; the checker must detect it. */
  @Test
  void checkerDetectsTwoAttemptsWithoutClaims() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "")) {
      String token = openSession(cluster, 0, "", 0).token();
      ResumableServer server = cluster.server("s-1");
      cluster.claimStore().setResponseMode(FakeClaimStore.ResponseMode.GRANTS_ALL);
      server.setResponseMode(ResumableServer.ResponseMode.SILENT);
      try (LineConnection first = openUnanswered(cluster, 0, token, 2);
          LineConnection second = openUnanswered(cluster, 1, token, 3)) {
        assertNotNull(first);
        assertNotNull(second);
        assertEquals(List.of("2 attempts of one session were active at the same time"),
            ResumeChecker.breaches(cluster.sessionStore(), List.of()));
      }
    }
  }

  /** A proxy dies between claim and UP: its lease expires, and its attempt can no longer write. */
  @Test
  void tokenStaysValidWhenProxyDiesBetweenClaimAndUp() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "lease: 1s")) {
      String token = openSession(cluster, 0, "", 0).token();
      ResumableServer server = cluster.server("s-1");
      server.setResponseMode(ResumableServer.ResponseMode.SILENT);
      openUnanswered(cluster, 0, token, 2);
      cluster.proxies().get(0).kill();
      server.setResponseMode(ResumableServer.ResponseMode.SERVES);
      String answer = answer(cluster, 1, token, 0);
      int throttledCount = 0;
      while (answer.startsWith("BUSY ")) {
        throttledCount++;
        Thread.sleep(Long.parseLong(answer.substring("BUSY ".length())));
        answer = answer(cluster, 1, token, 0);
      }
      assertTrue(throttledCount > 0, "the lease did not throttle");
      assertTrue(answer.startsWith("UP "), answer);
    }
  }

  private static void awaitLine(LineConnection connection, String expected) throws IOException {
    String line = connection.readLine();
    while (!line.equals(expected)) {
      line = connection.readLine();
    }
  }

  /** Keeps writing on the superseded connection, as a client does that has not noticed the takeover. */
  private static List<String> writeOnSupersededConnection(ResumeTestCluster cluster) throws Exception {
    OpenSession superseded = openSession(cluster, 0, "", 0);
    superseded.connection().writeLines("order c 1");
    awaitLine(superseded.connection(), "ACK 1");
    OpenSession current = openSession(cluster, 1, superseded.token(), 0);
    assertTrue(current.resumeLine().startsWith("RESUME at 1 "), current.resumeLine());
    current.connection().writeLines("order c 2");
    awaitLine(current.connection(), "ACK 2");
    try {
      superseded.connection().writeLines("order c 2", "order c 3");
      while (superseded.connection().readLine() != null) {
        // Reads until the connection ends in any way.
      }
    } catch (IOException e) {
      assertNotNull(e, "a reset also ends the connection");
    }
    current.connection().close();
    return ResumeChecker.breaches(cluster.sessionStore(), List.of());
  }

  @Test
  void supersededConnectionIsFencedOut() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "")) {
      assertEquals(List.of(), writeOnSupersededConnection(cluster));
      assertTrue(cluster.sessionStore().rejectedCount() > 0);
    }
  }

  @Test
  void checkerDetectsDuplicateLinesWithoutFencing() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "")) {
      cluster.sessionStore().disableFencing();
      assertFalse(writeOnSupersededConnection(cluster).isEmpty());
    }
  }

  @Test
  void checkerDetectsMissingReplay() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 2, "checkpoint: 100ms")) {
      cluster.server("s-1").disableReplay();
      cluster.server("s-2").disableReplay();
      List<ResumingClient> clients = RollingDrainTest.clients(cluster, 1, 30, 20);
      List<Thread> threads = ResumeTestCluster.start(clients);
      cluster.sessionStore().awaitClientLines(5);
      for (int i = 0; i < 2; i++) {
        cluster.proxies().get(i).kill();
        cluster.startProxy(i, 2);
      }
      ResumeTestCluster.await(threads);
      assertFalse(ResumeChecker.breaches(cluster.sessionStore(), clients).isEmpty());
    }
  }

  /** While the claim store is down, silent or losing answers, clients get BUSY with a delay and tokens stay valid. */
  @Test
  void unavailableStoreThrottlesAndKeepsTokenValid() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(1, 1, "lease: 1s")) {
      String token = openSession(cluster, 0, "", 0).token();
      for (FakeClaimStore.ResponseMode mode : List.of(FakeClaimStore.ResponseMode.SILENT,
          FakeClaimStore.ResponseMode.FAILS, FakeClaimStore.ResponseMode.LOSES_ANSWERS)) {
        cluster.claimStore().setResponseMode(mode);
        assertEquals("BUSY 500", answer(cluster, 0, token, 0), mode.toString());
      }
      cluster.claimStore().setResponseMode(FakeClaimStore.ResponseMode.ANSWERS);
      assertTrue(answerAfterRetries(cluster, 0, token).startsWith("UP "));
    }
  }

  /** A running proxy applies new keys on SIGHUP, and rejects a key file that others can read. */
  @Test
  void sighupRotatesKeys() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(1, 1, "")) {
      String file = cluster.folder().resolve("keys.yaml").toString();
      String before = openSession(cluster, 0, "", 0).token();
      ResumeTestCluster.runCommand("keys", "rotate", file, "--id", "new");
      cluster.proxies().get(0).sendSighup();
      cluster.proxies().get(0).awaitLog("keys read anew");
      String after = openSession(cluster, 0, before, 0).token();
      assertTrue(after.startsWith("1.new."), after);
      assertTrue(cluster.folder().resolve("keys.yaml").toFile().setReadable(true, false));
      cluster.proxies().get(0).sendSighup();
      cluster.proxies().get(0).awaitLog("stay as they were");
      assertTrue(openSession(cluster, 0, after, 0).token().startsWith("1.new."));
      assertFalse(String.join("\n", cluster.proxies().get(0).log()).contains(after.substring(0, 40)),
          "no token in a log");
    }
  }

  /**
   * With a TLS claim store at two addresses, a session resumes at another proxy and each token is valid only once, also
   * after the first address fails.
   */
  @Test
  void tokenIsValidOnceAcrossTlsStoreReplicas() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(2, 1, "")) {
      List<FakeClaimStore> stores = cluster.useTlsClaimStore();
      for (int i = 0; i < 2; i++) {
        cluster.proxies().get(i).kill();
        cluster.startProxy(i, 2);
      }
      String first = openSession(cluster, 0, "", 0).token();
      String second = openSession(cluster, 1, first, 0).token();
      assertTrue(stores.get(0).callCount() > 0, "no claim reached the first address");
      stores.get(0).close();
      assertEquals("ERR used", answerAfterRetries(cluster, 0, first),
          "the second address does not know a claim made at the first");
      assertTrue(openSession(cluster, 0, second, 0).resumeLine().startsWith("RESUME at "));
      assertTrue(stores.get(1).callCount() > 0);
    }
  }

  /** With claims on disk, a proxy that is killed right after a claim does not accept the token again. */
  @Test
  void restartDoesNotAllowTokenReuse() throws Exception {
    try (ResumeTestCluster cluster = new ResumeTestCluster(1, 1, "")) {
      cluster.useDiskClaims();
      cluster.proxies().get(0).kill();
      cluster.startProxy(0, 1);
      String first = openSession(cluster, 0, "", 0).token();
      String second = openSession(cluster, 0, first, 0).token();
      assertEquals("ERR used", answerAfterRetries(cluster, 0, first));
      cluster.proxies().get(0).kill();
      Files.write(cluster.folder().resolve("claims").resolve("log-0"), new byte[] {0, 0, 0, 9, 1, 2},
          java.nio.file.StandardOpenOption.APPEND);
      cluster.startProxy(0, 1);
      assertEquals("ERR used", answer(cluster, 0, first, 0));
      assertTrue(answer(cluster, 0, second, 0).startsWith("UP "));
      assertTrue(cluster.proxies().get(0).log().stream().anyMatch(line -> line.contains("were torn and are cut off")));
    }
  }
}
