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
import lemondeal.lab.Lines;
import lemondeal.lab.claims.ClaimStoreServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What goes wrong one at a time, at real proxies that share a claim store. */
@Timeout(30)
class HardCasesTest {
  private static final AtomicInteger IDS = new AtomicInteger();

  /** A scripted client's connection that is up. */
  private record Up(Lines lines, String resume) {
    String token() {
      return resume.substring(resume.lastIndexOf(' ') + 1);
    }
  }

  private static Lines open(StreamSite site, int proxy, String token, long got) throws IOException {
    Lines lines = Lines.to(site.proxies().get(proxy).address());
    lines.patience(10_000);
    lines.write(String.format("OPEN %016x key c=order-sync,d=2000,resume=1%s", IDS.incrementAndGet(),
        token.isEmpty() ? "" : ",token=" + token + ",got=" + got));
    return lines;
  }

  /** A connection that is up; comes again as long as it is throttled, as on a machine that is busy. */
  private static Up up(StreamSite site, int proxy, String token, long got) throws IOException {
    Lines lines = open(site, proxy, token, got);
    String answer = lines.read();
    while (answer.startsWith("BUSY")) {
      lines.close();
      lines = open(site, proxy, token, got);
      answer = lines.read();
    }
    assertTrue(answer.startsWith("UP "), answer);
    return new Up(lines, lines.read());
  }

  private static String answer(StreamSite site, int proxy, String token, long got) throws IOException {
    try (Lines lines = open(site, proxy, token, got)) {
      return lines.read();
    }
  }

  /** The first answer that is no BUSY: what was settled or given back may still be on its way to the store. */
  private static String settled(StreamSite site, int proxy, String token) throws IOException {
    String answer = answer(site, proxy, token, 0);
    while (answer.startsWith("BUSY")) {
      answer = answer(site, proxy, token, 0);
    }
    return answer;
  }

  /** A connection whose first line has come to the server, as the count of them says, and is not answered. */
  private static Lines unanswered(StreamSite site, int proxy, String token, int count) throws IOException {
    StreamServer server = site.server("s-1");
    Lines lines = open(site, proxy, token, 0);
    for (int i = 0; server.opened() < count; i++) {
      assertTrue(i < 500, "no server was asked");
      lines.patience(20);
      try {
        assertTrue(lines.read().startsWith("BUSY"));
        lines.close();
        lines = open(site, proxy, token, 0);
      } catch (SocketTimeoutException e) {
        assertNotNull(e, "not answered so far");
      }
    }
    return lines;
  }

  @Test
  void theSameTokenAtTwoProxiesIsOneAttempt() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "")) {
      String token = up(site, 0, "", 0).token();
      StreamServer server = site.server("s-1");
      server.mood(StreamServer.Mood.SILENT);
      Lines first = unanswered(site, 0, token, 2);
      assertEquals("BUSY 500", answer(site, 1, token, 0));
      assertEquals(2, server.opened(), "the second one was sent to no server");
      first.close();
      server.mood(StreamServer.Mood.SERVES);
      assertTrue(settled(site, 1, token).startsWith("UP "));
      assertEquals("ERR used", settled(site, 0, token));
      assertEquals(1, site.store().mostAttempts());
      for (String line : site.proxies().get(1).log()) {
        // gRPC's transport told every frame, with its payload, as long as nobody had set a level.
        assertTrue(line.startsWith("lemondeal: ") || line.startsWith("n1 ") || line.contains("org.xnio")
            || line.startsWith("INFO: XNIO"), line);
      }
    }
  }

  /** Without the claims' say both proxies would send it; the checker must see that. */
  @Test
  void theCheckerSeesTwoAttemptsWhereClaimsAreTakenOut() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "")) {
      String token = up(site, 0, "", 0).token();
      StreamServer server = site.server("s-1");
      site.claims().mood(ClaimStoreServer.Mood.GRANTS_ALL);
      server.mood(StreamServer.Mood.SILENT);
      try (Lines first = unanswered(site, 0, token, 2); Lines second = unanswered(site, 1, token, 3)) {
        assertNotNull(first);
        assertNotNull(second);
        assertEquals(List.of("2 attempts of one session were out at the same time"),
            StreamChecker.breaches(site.store(), List.of()));
      }
    }
  }

  /** The proxy dies between claim and UP: the lease runs out, and its attempt can't write any more. */
  @Test
  void aProxyKilledBetweenClaimAndUpLeavesTheTokenGood() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "lease: 1s")) {
      String token = up(site, 0, "", 0).token();
      StreamServer server = site.server("s-1");
      server.mood(StreamServer.Mood.SILENT);
      unanswered(site, 0, token, 2);
      site.proxies().get(0).kill();
      server.mood(StreamServer.Mood.SERVES);
      String answer = answer(site, 1, token, 0);
      int throttled = 0;
      while (answer.startsWith("BUSY ")) {
        throttled++;
        Thread.sleep(Long.parseLong(answer.substring("BUSY ".length())));
        answer = answer(site, 1, token, 0);
      }
      assertTrue(throttled > 0, "the lease held for a while");
      assertTrue(answer.startsWith("UP "), answer);
    }
  }

  private static void await(Lines lines, String expected) throws IOException {
    String line = lines.read();
    while (!line.equals(expected)) {
      line = lines.read();
    }
  }

  /** The old connection goes on talking, as one does whose client believes that it is still there. */
  private static List<String> anOldConnectionThatSpeaks(StreamSite site) throws Exception {
    Up old = up(site, 0, "", 0);
    old.lines().write("order c 1");
    await(old.lines(), "ACK 1");
    Up fresh = up(site, 1, old.token(), 0);
    assertTrue(fresh.resume().startsWith("RESUME at 1 "), fresh.resume());
    fresh.lines().write("order c 2");
    await(fresh.lines(), "ACK 2");
    try {
      old.lines().write("order c 2", "order c 3");
      while (old.lines().read() != null) {
        // Read on to whatever end it has.
      }
    } catch (IOException e) {
      assertNotNull(e, "a reset is an end too");
    }
    fresh.lines().close();
    return StreamChecker.breaches(site.store(), List.of());
  }

  @Test
  void anOldConnectionThatStillSpeaksIsFencedOut() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "")) {
      assertEquals(List.of(), anOldConnectionThatSpeaks(site));
      assertTrue(site.store().refused() > 0);
    }
  }

  @Test
  void theCheckerSeesLinesTwiceWhereTheFenceIsTakenOut() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "")) {
      site.store().withoutFence();
      assertFalse(anOldConnectionThatSpeaks(site).isEmpty());
    }
  }

  @Test
  void theCheckerSeesAGapWhereTheReplayIsTakenOut() throws Exception {
    try (StreamSite site = new StreamSite(2, 2, "checkpoint: 100ms")) {
      site.server("s-1").withoutReplay();
      site.server("s-2").withoutReplay();
      List<ResumingClient> clients = DrainDayTest.clients(site, 1, 30, 20);
      List<Thread> threads = StreamSite.start(clients);
      site.store().awaitApplied(5);
      for (int i = 0; i < 2; i++) {
        site.proxies().get(i).kill();
        site.startProxy(i, 2);
      }
      StreamSite.await(threads);
      assertFalse(StreamChecker.breaches(site.store(), clients).isEmpty());
    }
  }

  /** Down, silent, or losing its answers: BUSY with a time, and the token stays good. */
  @Test
  void aStoreThatDoesNotAnswerThrottlesAndTheTokenStaysGood() throws Exception {
    try (StreamSite site = new StreamSite(1, 1, "lease: 1s")) {
      String token = up(site, 0, "", 0).token();
      for (ClaimStoreServer.Mood mood : List.of(ClaimStoreServer.Mood.SILENT, ClaimStoreServer.Mood.FAILS,
          ClaimStoreServer.Mood.LOSES_ANSWERS)) {
        site.claims().mood(mood);
        assertEquals("BUSY 500", answer(site, 0, token, 0), mood.toString());
      }
      site.claims().mood(ClaimStoreServer.Mood.ANSWERS);
      assertTrue(settled(site, 0, token).startsWith("UP "));
    }
  }

  /** New keys are taken over on SIGHUP, by proxies that serve; a file that others can read is not. */
  @Test
  void keysRotateOnHangUp() throws Exception {
    try (StreamSite site = new StreamSite(1, 1, "")) {
      String file = site.folder().resolve("keys.yaml").toString();
      String before = up(site, 0, "", 0).token();
      StreamSite.run("keys", "rotate", file, "--id", "new");
      site.proxies().get(0).hangUp();
      site.proxies().get(0).await("keys read anew");
      String after = up(site, 0, before, 0).token();
      assertTrue(after.startsWith("1.new."), after);
      assertTrue(site.folder().resolve("keys.yaml").toFile().setReadable(true, false));
      site.proxies().get(0).hangUp();
      site.proxies().get(0).await("stay as they were");
      assertTrue(up(site, 0, after, 0).token().startsWith("1.new."));
      assertFalse(String.join("\n", site.proxies().get(0).log()).contains(after.substring(0, 40)), "no token in a log");
    }
  }

  /**
   * Claims in a store that speaks TLS at two addresses: a session goes on across proxies while the first address is
   * lost, and its token is good once.
   */
  @Test
  void aStoreBehindTlsAtTwoAddressesKeepsATokenGoodOnce() throws Exception {
    try (StreamSite site = new StreamSite(2, 1, "")) {
      List<ClaimStoreServer> stores = site.useTls();
      for (int i = 0; i < 2; i++) {
        site.proxies().get(i).kill();
        site.startProxy(i, 2);
      }
      String first = up(site, 0, "", 0).token();
      String second = up(site, 1, first, 0).token();
      assertTrue(stores.get(0).calls() > 0, "claims went to the first address");
      stores.get(0).close();
      assertEquals("ERR used", settled(site, 0, first), "the second address knows what the first one was told");
      assertTrue(up(site, 0, second, 0).resume().startsWith("RESUME at "));
      assertTrue(stores.get(1).calls() > 0);
    }
  }

  /** Claims on disk: a proxy that dies at once after a claim does not allow the token a second time. */
  @Test
  void aRestartDoesNotAllowATokenTwice() throws Exception {
    try (StreamSite site = new StreamSite(1, 1, "")) {
      site.useDisk();
      site.proxies().get(0).kill();
      site.startProxy(0, 1);
      String first = up(site, 0, "", 0).token();
      String second = up(site, 0, first, 0).token();
      assertEquals("ERR used", settled(site, 0, first));
      site.proxies().get(0).kill();
      Files.write(site.folder().resolve("claims").resolve("log-0"), new byte[] {0, 0, 0, 9, 1, 2},
          java.nio.file.StandardOpenOption.APPEND);
      site.startProxy(0, 1);
      assertEquals("ERR used", answer(site, 0, first, 0));
      assertTrue(answer(site, 0, second, 0).startsWith("UP "));
      assertTrue(site.proxies().get(0).log().stream().anyMatch(line -> line.contains("were torn and are cut off")));
    }
  }
}
