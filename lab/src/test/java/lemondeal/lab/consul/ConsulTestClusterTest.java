package lemondeal.lab.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.config.TlsFiles;
import lemondeal.consul.Pem;
import lemondeal.lab.TestCertificateAuthority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Real proxies that discover their servers from a fake Consul, under Consul's changes and faults. */
@Timeout(240)
class ConsulTestClusterTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final String DAMPING = "damping: {quiet: 1s, most: 4s, forget: 60s}";

  /** Waits until each server has received new work, so that clients reach all of them. */
  private static void awaitWork(ConsulTestCluster cluster, List<String> names) throws InterruptedException {
    long startNanos = System.nanoTime();
    long deadlineNanos = startNanos + 20 * SECOND;
    for (String name : names) {
      while (cluster.server(name).lastOpenNanos() < startNanos) {
        assertTrue(System.nanoTime() < deadlineNanos, () -> name + " received no work; log of the first proxy:\n"
            + String.join("\n", cluster.proxies().get(0).log()));
        Thread.sleep(20);
      }
    }
  }

  /**
   * For each change of the table in docs/CONSUL.md that ends new work, the last new request reaches that server within
   * 1 s of the change, while all other servers stay in use.
   */
  @Test
  void everyKindOfDrainEndsNewWorkWithinASecond() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(3, 8, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 24,
            ConsulTestCluster.CHAT_CLASS)) {
      FakeConsul consul = cluster.consul();
      Map<String, Consumer<String>> kinds = Map.of(
          "s-1", key -> consul.catalogue().setStatus(key, "critical"),
          "s-2", key -> consul.catalogue().setCheck(key, "serfHealth", "critical"),
          "s-3", key -> consul.catalogue().setMaintenance(key, true),
          "s-4", consul.catalogue()::deregister);
      awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8"));
      for (Map.Entry<String, Consumer<String>> kind : kinds.entrySet()) {
        long changed = System.nanoTime();
        kind.getValue().accept(cluster.consulKey(kind.getKey()));
        Thread.sleep(2500);
        long last = cluster.server(kind.getKey()).lastOpenNanos();
        assertTrue(last < changed + SECOND, kind.getKey() + ": new work " + (last - changed) / 1_000_000
            + " ms after the change");
      }
      awaitWork(cluster, List.of("s-5", "s-6", "s-7", "s-8"));
      clients.stop();
      assertEquals(List.of(), clients.breaches());
      assertTrue(clients.counts().getOrDefault("UP", 0L) > 100, clients.counts().toString());
    }
  }

  /**
   * Guards against holding back what an answer says because it takes away most servers, in five rounds: critical ones
   * are drained, deregistered ones get no more work, new ones get some, and the last server of a service is drained as
   * well (review/9).
   */
  @Test
  void drainsOfMostServersAtOnceEndNewWorkWithinASecond() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(1, 5, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 16,
            ConsulTestCluster.CHAT_CLASS)) {
      Catalogue catalogue = cluster.consul().catalogue();
      awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4", "s-5"));
      assertWorkEndsWithinASecond(cluster, List.of("s-1", "s-2", "s-3"), key -> catalogue.setStatus(key, "critical"));
      cluster.addServer("s-6");
      cluster.addServer("s-7");
      cluster.addServer("s-8");
      awaitWork(cluster, List.of("s-4", "s-5", "s-6", "s-7", "s-8"));
      catalogue.transaction(() -> List.of("s-1", "s-2", "s-3").forEach(name ->
          catalogue.deregister(cluster.consulKey(name))));
      assertWorkEndsWithinASecond(cluster, List.of("s-4", "s-5", "s-6"), catalogue::deregister);
      assertWorkEndsWithinASecond(cluster, List.of("s-7"), key -> catalogue.setStatus(key, "critical"));
      awaitWork(cluster, List.of("s-8"));
      assertWorkEndsWithinASecond(cluster, List.of("s-8"), key -> catalogue.setStatus(key, "critical"));
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }

  /** Changes the servers in one transaction; the last new request reaches each of them within 1 s of that. */
  private static void assertWorkEndsWithinASecond(ConsulTestCluster cluster, List<String> names,
      Consumer<String> change) throws InterruptedException {
    long changed = System.nanoTime();
    cluster.consul().catalogue().transaction(() -> names.forEach(name -> change.accept(cluster.consulKey(name))));
    Thread.sleep(2500);
    for (String name : names) {
      long last = cluster.server(name).lastOpenNanos();
      assertTrue(last < changed + SECOND, name + ": new work " + (last - changed) / 1_000_000 + " ms after the change");
    }
  }

  /** A server turns critical during pending setups: each request gets one answer, and no new one is sent there. */
  @Test
  void criticalCheckDuringSetupLosesNoRequest() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(2, 4, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 16,
            ConsulTestCluster.CHAT_CLASS)) {
      awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4"));
      for (int round = 0; round < 3; round++) {
        cluster.server("s-1").setSetupDelay(400);
        awaitWork(cluster, List.of("s-1"));
        long changed = System.nanoTime();
        cluster.consul().catalogue().setStatus(cluster.consulKey("s-1"), "critical");
        awaitNoWork(cluster, "s-1");
        assertTrue(cluster.server("s-1").lastOpenNanos() < changed + SECOND,
            "new work more than a second after the change");
        cluster.server("s-1").setSetupDelay(0);
        cluster.consul().catalogue().setStatus(cluster.consulKey("s-1"), "passing");
        awaitWork(cluster, List.of("s-1"));
      }
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }

  /**
   * Consul fails in each way in turn while a server dies: the proxies keep the last list, detect the dead server by
   * their own failed attempts, and use all other servers throughout.
   */
  @Test
  void lastListIsKeptWhileConsulFails() throws Exception {
    // A silent Consul looks like a waiting blocking query, and is detected only after the wait and some slack.
    try (ConsulTestCluster cluster = new ConsulTestCluster(3, 6, DAMPING
        + "\nwait: 1s\npace: {least: 50ms, first: 200ms, most: 1s}");
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 18,
            ConsulTestCluster.CHAT_CLASS)) {
      awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4", "s-5", "s-6"));
      for (FakeConsul.ResponseMode mode : List.of(FakeConsul.ResponseMode.SILENT, FakeConsul.ResponseMode.FAILS,
          FakeConsul.ResponseMode.TOO_OFTEN, FakeConsul.ResponseMode.RESETS, FakeConsul.ResponseMode.GARBLES,
          FakeConsul.ResponseMode.CUTS, FakeConsul.ResponseMode.NO_LEADER, FakeConsul.ResponseMode.EMPTY)) {
        cluster.consul().setResponseMode(mode);
        if (mode == FakeConsul.ResponseMode.FAILS) {
          cluster.server("s-6").close();
        }
        Thread.sleep(mode == FakeConsul.ResponseMode.SILENT ? 5000 : 1500);
        awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4", "s-5"));
      }
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.ANSWERS);
      cluster.consul().catalogue().setStatus(cluster.consulKey("s-1"), "critical");
      Thread.sleep(1500);
      long startNanos = System.nanoTime();
      Thread.sleep(1000);
      assertTrue(cluster.server("s-1").lastOpenNanos() < startNanos,
          "the change was not applied after Consul recovered");
      clients.stop();
      assertEquals(List.of(), clients.breaches());
      long served = clients.counts().getOrDefault("UP", 0L);
      long refused = clients.counts().getOrDefault("BUSY", 0L) + clients.counts().getOrDefault("ERR", 0L);
      assertTrue(refused * 20 < served, "too many refusals: " + clients.counts());
      assertTrue(cluster.proxies().get(0).log().stream()
          .anyMatch(line -> line.contains("not believed (empty at once)")),
          String.join("\n", cluster.proxies().get(0).log()));
    }
  }

  /**
   * Guards against a silent agent that is noticed after the time at which what it has counts as known, which is 2 s after
   * its wait is over: by then another agent has been asked.
   */
  @Test
  void anotherAgentIsAskedInTimeWhenOneFallsSilent() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(1, 2, DAMPING); FakeConsul second = new FakeConsul()) {
      cluster.writeOperatorFile(List.of(cluster.consul().address(), second.address()),
          ConsulTestCluster.consulSettings(DAMPING + "\nwait: 2s"));
      cluster.reloadProxies();
      long before = cluster.consul().queryCount();
      while (cluster.consul().queryCount() == before) {
        Thread.sleep(10);
      }
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.SILENT);
      long silentNanos = System.nanoTime();
      while (second.queryCount() == 0) {
        Thread.sleep(10);
      }
      long millis = (System.nanoTime() - silentNanos) / 1_000_000;
      assertTrue(millis < 2_000 * 17 / 16 + 2_000, "asked after " + millis + " ms");
    }
  }

  /** A server that alternates between critical and passing gets no work until its status is stable. */
  @Test
  void flappingServerGetsNoWorkUntilStable() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(2, 4, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 12,
            ConsulTestCluster.CHAT_CLASS)) {
      awaitWork(cluster, List.of("s-1", "s-2", "s-3", "s-4"));
      String key = cluster.consulKey("s-1");
      long firstFlapNanos = System.nanoTime();
      for (int flap = 0; flap < 10; flap++) {
        cluster.consul().catalogue().setStatus(key, "critical");
        Thread.sleep(150);
        cluster.consul().catalogue().setStatus(key, "passing");
        Thread.sleep(150);
      }
      long lastFlapNanos = System.nanoTime();
      assertTrue(cluster.server("s-1").lastOpenNanos() < firstFlapNanos + SECOND, "work during flapping");
      awaitWork(cluster, List.of("s-1"));
      long backNanos = cluster.server("s-1").lastOpenNanos();
      assertTrue(backNanos - lastFlapNanos > 2 * SECOND, "back " + (backNanos - lastFlapNanos) / 1_000_000
          + " ms after the last flap");
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }

  private static void awaitLog(ConsulTestCluster cluster, String text) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + 20 * SECOND;
    while (cluster.proxies().get(0).log().stream().noneMatch(line -> line.contains(text))) {
      assertTrue(System.nanoTime() < deadlineNanos, () -> "no '" + text + "' in:\n"
          + String.join("\n", cluster.proxies().get(0).log()));
      Thread.sleep(20);
    }
  }

  /** Waits until the server has received no new work for half a second. */
  private static void awaitNoWork(ConsulTestCluster cluster, String name) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + 20 * SECOND;
    while (System.nanoTime() - cluster.server(name).lastOpenNanos() < SECOND / 2) {
      assertTrue(System.nanoTime() < deadlineNanos, name + " still receives work");
      Thread.sleep(20);
    }
  }

  /**
   * Consul is down for a minute, in which one server drains and ends and another crashes: the proxies handle both by
   * their own failed attempts and probes and keep the last list. When Consul returns, restored from a snapshot with a
   * lower index, they follow it again.
   */
  @Test
  void proxiesServeThroughAMinuteWithoutConsul() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(3, 8, DAMPING
        + "\nwait: 2s\npace: {least: 50ms, first: 200ms, most: 2s}");
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 24,
            ConsulTestCluster.CHAT_CLASS)) {
      List<String> remainingServers = List.of("s-3", "s-4", "s-5", "s-6", "s-7", "s-8");
      awaitWork(cluster, List.of("s-1", "s-2"));
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.RESETS);
      long endNanos = System.nanoTime() + 60 * SECOND;
      Thread.sleep(5_000);
      cluster.server("s-1").moveAll();
      cluster.server("s-1").close();
      Thread.sleep(5_000);
      cluster.server("s-2").close();
      while (System.nanoTime() < endNanos) {
        awaitWork(cluster, remainingServers);
        Thread.sleep(1_000);
      }
      cluster.consul().catalogue().restoreIndex(3);
      cluster.consul().catalogue().setStatus(cluster.consulKey("s-3"), "critical");
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.ANSWERS);
      awaitNoWork(cluster, "s-3");
      awaitWork(cluster, remainingServers.subList(1, 6));
      clients.stop();
      assertEquals(List.of(), clients.breaches());
      long served = clients.counts().getOrDefault("UP", 0L);
      long refused = clients.counts().getOrDefault("BUSY", 0L) + clients.counts().getOrDefault("ERR", 0L);
      assertTrue(refused * 50 < served, "too many refusals: " + clients.counts());
    }
  }

  /** Stalled, oversized, deeply nested, premature or halved answers are rejected, and the next valid one is applied. */
  @Test
  void malformedAnswersAreRejectedAndTheNextValidOneIsUsed() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(1, 6, DAMPING + """

        wait: 500ms
        pace: {least: 50ms, first: 100ms, most: 500ms}
        guard: {most_lost: 0.4, confirm_after: 30s}
        """);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 12,
            ConsulTestCluster.CHAT_CLASS)) {
      Catalogue catalogue = cluster.consul().catalogue();
      List<String> allServers = List.of("s-1", "s-2", "s-3", "s-4", "s-5", "s-6");
      awaitWork(cluster, allServers);
      Map<FakeConsul.ResponseMode, String> expectedLogs = new java.util.LinkedHashMap<>();
      expectedLogs.put(FakeConsul.ResponseMode.NESTS, "did not answer: the answer is '[', not");
      expectedLogs.put(FakeConsul.ResponseMode.FLOODS, "an answer of more than 67108864 bytes");
      expectedLogs.put(FakeConsul.ResponseMode.HALF, "not believed (3 of 6 gone at once)");
      expectedLogs.put(FakeConsul.ResponseMode.STALLS, "no whole answer in 4000 ms");
      for (Map.Entry<FakeConsul.ResponseMode, String> modeAndLog : expectedLogs.entrySet()) {
        cluster.consul().setResponseMode(modeAndLog.getKey());
        awaitLog(cluster, modeAndLog.getValue());
        awaitWork(cluster, allServers);
        cluster.consul().setResponseMode(FakeConsul.ResponseMode.ANSWERS);
        catalogue.setStatus(cluster.consulKey("s-1"), "critical");
        awaitNoWork(cluster, "s-1");
        catalogue.setStatus(cluster.consulKey("s-1"), "passing");
        awaitWork(cluster, allServers);
      }
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.HURRIES);
      long before = cluster.consul().queryCount();
      long startNanos = System.nanoTime();
      Thread.sleep(2_000);
      long calls = cluster.consul().queryCount() - before;
      assertTrue(calls <= 1 + (System.nanoTime() - startNanos) / 50_000_000, calls + " calls: not paced");
      catalogue.restoreIndex(2);
      catalogue.setStatus(cluster.consulKey("s-2"), "critical");
      awaitNoWork(cluster, "s-2");
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }

  /** SIGHUP switches agent, token, service and certificates at once; an expired certificate is then refused. */
  @Test
  void sighupAppliesAgentTokenServiceAndCertificates() throws Exception {
    TestCertificateAuthority authority = TestCertificateAuthority.create("consul-ca");
    try (ConsulTestCluster cluster = new ConsulTestCluster(2, 3, DAMPING);
        ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 12,
            ConsulTestCluster.CHAT_CLASS)) {
      awaitWork(cluster, List.of("s-1", "s-2", "s-3"));
      Path folder = cluster.folder();
      authority.writeCertificate(folder.resolve("ca.pem"));
      Files.writeString(folder.resolve("token"), "second\n");
      TestCertificateAuthority.IssuedCertificate namedCertificate = authority.issue(folder, "consul",
          "server.dc1.consul");
      authority.issue(folder, "proxy", "proxy-1");
      String settings = """
          service: other
          token_file: token
          tls: {authority: ca.pem, certificate: proxy.pem, key: proxy.key, name: server.dc1.consul}
          wait: 1s
          pace: {least: 50ms, first: 100ms, most: 500ms}
          """ + DAMPING;
      try (FakeConsul second = new FakeConsul(context(folder, namedCertificate))) {
        second.setTokenFilter("second"::equals);
        cluster.addServer("t-1", "other", second);
        cluster.addServer("t-2", "other", second);
        cluster.writeOperatorFile(List.of(second.address()), settings);
        cluster.reloadProxies();
        awaitWork(cluster, List.of("t-1", "t-2"));
        awaitNoWork(cluster, "s-1");
        awaitNoWork(cluster, "s-2");
        awaitNoWork(cluster, "s-3");
      }
      TestCertificateAuthority.IssuedCertificate expired = authority.issueExpired(folder, "expired",
          "server.dc1.consul");
      try (FakeConsul third = new FakeConsul(context(folder, expired))) {
        cluster.writeOperatorFile(List.of(third.address()), settings);
        cluster.reloadProxies();
        awaitLog(cluster, "did not answer: SSLHandshakeException");
        awaitWork(cluster, List.of("t-1", "t-2"));
      }
      Files.writeString(folder.resolve("ca.pem"), "nothing");
      cluster.proxies().get(0).sendSighup();
      awaitLog(cluster, "ca.pem holds no certificate that can be read");
      awaitWork(cluster, List.of("t-1", "t-2"));
      clients.stop();
      assertEquals(List.of(), clients.breaches());
    }
  }

  private static javax.net.ssl.SSLContext context(Path folder, TestCertificateAuthority.IssuedCertificate issued)
      throws Exception {
    return Pem.context(new TlsFiles(folder.resolve("ca.pem"), issued.certificate(), issued.key(), null));
  }

  /** A proxy that starts while Consul is down serves from its saved list, and ignores a damaged one. */
  @Test
  void startWithoutConsulServesFromSavedList() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(1, 3, DAMPING
        + "\nsaved: {file: last.list, every: 100ms}")) {
      try (ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 6,
          ConsulTestCluster.CHAT_CLASS)) {
        awaitWork(cluster, List.of("s-1", "s-2", "s-3"));
        cluster.consul().catalogue().setStatus(cluster.consulKey("s-3"), "critical");
        awaitNoWork(cluster, "s-3");
        clients.stop();
        assertEquals(List.of(), clients.breaches());
      }
      cluster.proxies().get(0).stop();
      assertEquals(0, cluster.proxies().get(0).awaitExit());
      cluster.consul().setResponseMode(FakeConsul.ResponseMode.SILENT);
      cluster.startProxy(0, 1);
      awaitLog(cluster, "3 servers from ");
      long restarted = System.nanoTime();
      try (ShortConnectionClients clients = new ShortConnectionClients(cluster::nextProxyAddress, 6,
          ConsulTestCluster.CHAT_CLASS)) {
        awaitWork(cluster, List.of("s-1", "s-2"));
        assertTrue(cluster.server("s-3").lastOpenNanos() < restarted, "a drained server received work");
        cluster.consul().catalogue().setStatus(cluster.consulKey("s-3"), "passing");
        cluster.consul().setResponseMode(FakeConsul.ResponseMode.ANSWERS);
        awaitWork(cluster, List.of("s-1", "s-2", "s-3"));
        clients.stop();
        assertEquals(List.of(), clients.breaches());
      }
      cluster.proxies().get(0).kill();
      Files.write(cluster.folder().resolve("last.list"), new byte[] {1, 2, 3});
      cluster.startProxy(0, 1);
      awaitLog(cluster, "is passed over: it is no list of this program's");
    }
  }

  /** Two services of one Consul serve one request class each; failures of one service do not affect the other. */
  @Test
  void eachClassUsesOnlyItsOwnService() throws Exception {
    try (ConsulTestCluster cluster = new ConsulTestCluster(0, 2, DAMPING)) {
      cluster.addServer("f-1", "feed", cluster.consul());
      cluster.addServer("f-2", "feed", cluster.consul());
      // Two services share an address: the status of one does not apply to the other.
      cluster.consul().catalogue().register("node-twin", "127.0.0.1", "feed", "twin",
          cluster.server("s-1").address().getPort());
      cluster.consul().catalogue().setStatus("node-twin/twin", "critical");
      cluster.writeOperatorFile(List.of(cluster.consul().address()), """
          services:
            - {service: %s, classes: [%s]}
            - {service: feed, classes: [%s]}
          """.formatted(ConsulTestCluster.SERVICE, ConsulTestCluster.CHAT_CLASS, ConsulTestCluster.FEED_CLASS)
          + DAMPING);
      cluster.startProxy(0, 2);
      cluster.startProxy(1, 2);
      try (ShortConnectionClients feeds = new ShortConnectionClients(cluster::nextProxyAddress, 8,
          ConsulTestCluster.FEED_CLASS)) {
        awaitWork(cluster, List.of("f-1", "f-2"));
        assertEquals(0, cluster.server("s-1").openCount() + cluster.server("s-2").openCount(),
            "feed requests reached servers of another service");
        try (ShortConnectionClients chats = new ShortConnectionClients(cluster::nextProxyAddress, 8,
            ConsulTestCluster.CHAT_CLASS)) {
          awaitWork(cluster, List.of("s-1", "s-2", "f-1", "f-2"));
          cluster.consul().catalogue().setStatus(cluster.consulKey("f-1"), "critical");
          awaitNoWork(cluster, "f-1");
          awaitWork(cluster, List.of("s-1", "s-2", "f-2"));
          chats.stop();
          assertEquals(List.of(), chats.breaches());
          long refused = chats.counts().getOrDefault("BUSY", 0L) + chats.counts().getOrDefault("ERR", 0L);
          assertTrue(refused * 50 < chats.counts().get("UP"), "refusals caused by the other service: "
              + chats.counts());
        }
        feeds.stop();
        assertEquals(List.of(), feeds.breaches());
      }
    }
  }
}
