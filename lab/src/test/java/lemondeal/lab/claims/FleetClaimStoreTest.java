package lemondeal.lab.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.claims.CasClaimService;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.FleetStore;
import lemondeal.config.TlsFiles;
import lemondeal.lab.TestCertificateAuthority;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the client of the fleet's claim store with several addresses and with mutual TLS. */
@Timeout(60)
class FleetClaimStoreTest {
  private static final long TIMEOUT_MILLIS = 2000;
  /** Calls on a connection that has just failed also fail until gRPC has connected to the next address. */
  private static final int MAX_TRIES = 20;

  @TempDir
  Path folder;

  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private int sessions;

  private FleetStore open(List<InetSocketAddress> addresses, TlsFiles tls) throws IOException {
    return FleetStore.open(addresses, tls, TIMEOUT_MILLIS, new PlainLog(new PrintStream(logOutput, true)));
  }

  private static ClaimAnswer claim(FleetStore store, String session, long epoch) throws InterruptedException {
    BlockingQueue<ClaimAnswer> answers = new LinkedBlockingQueue<>();
    new CasClaimService(store, System::currentTimeMillis).claim(new Claim(session, epoch,
        "h" + System.nanoTime(), 10_000, System.currentTimeMillis() + 60_000), answers::add);
    ClaimAnswer answer = answers.poll(20, TimeUnit.SECONDS);
    assertNotNull(answer);
    return answer;
  }

  private String newSessionId() {
    return String.format("%032x", ++sessions);
  }

  /** Repeats the claim until it is granted or held, as a client does that retries after BUSY. */
  private static ClaimAnswer claimWithRetries(FleetStore store, String session, long epoch)
      throws InterruptedException {
    ClaimAnswer answer = null;
    for (int i = 0; i < MAX_TRIES && !(answer instanceof ClaimAnswer.Granted
        || answer instanceof ClaimAnswer.Held); i++) {
      answer = claim(store, session, epoch);
    }
    return answer;
  }

  /** Returns a loopback address where nothing listens. */
  private static InetSocketAddress unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
  }

  @Test
  @SuppressWarnings("try") // The first store is closed early on purpose.
  void addressesAreTriedInOrderAndShareOneStore() throws Exception {
    try (FakeClaimStore first = new FakeClaimStore(); FakeClaimStore second = first.replica()) {
      FleetStore store = open(List.of(unusedAddress(), first.address(), second.address()), null);
      String session = newSessionId();
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session, 16), "the first reachable address is used");
      first.close();
      assertInstanceOf(ClaimAnswer.Held.class, claimWithRetries(store, session, 16),
          "the next address knows the claim");
      assertTrue(second.callCount() > 0);
      store.close();
    }
  }

  @Test
  void mutualTlsIsRequired() throws Exception {
    TestCertificateAuthority authority = TestCertificateAuthority.create("claims-ca");
    Path authorityFile = authority.writeCertificate(folder.resolve("ca.pem"));
    TestCertificateAuthority.IssuedCertificate server = authority.issue(folder, "store", "127.0.0.1");
    TestCertificateAuthority.IssuedCertificate proxy = authority.issue(folder, "proxy", "proxy-1");
    try (FakeClaimStore tls = new FakeClaimStore(new FakeClaimStore.Tls(server.certificate(), server.key(),
        authorityFile))) {
      FleetStore store = open(List.of(tls.address()),
          new TlsFiles(authorityFile, proxy.certificate(), proxy.key(), null));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, newSessionId(), 16));
      assertEquals("", logOutput.toString(), "the first calls succeeded");
      store.close();

      FleetStore withoutCertificate = open(List.of(tls.address()), new TlsFiles(authorityFile, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(withoutCertificate, newSessionId(), 16),
          "the store requires a client certificate");
      assertTrue(logOutput.toString().contains("claims-away") || logOutput.toString().contains("does not answer"),
          logOutput.toString());
      withoutCertificate.close();
    }
  }

  @Test
  void storeWithForeignAuthorityOrNameIsRejected() throws Exception {
    TestCertificateAuthority trustedAuthority = TestCertificateAuthority.create("ours");
    TestCertificateAuthority otherAuthority = TestCertificateAuthority.create("theirs");
    Path authorityFile = trustedAuthority.writeCertificate(folder.resolve("ca.pem"));
    TestCertificateAuthority.IssuedCertificate foreignCertificate = otherAuthority.issue(folder, "foreign",
        "127.0.0.1");
    TestCertificateAuthority.IssuedCertificate namedCertificate = trustedAuthority.issue(folder, "named",
        "claims.store.test");
    try (FakeClaimStore foreignStore = new FakeClaimStore(new FakeClaimStore.Tls(foreignCertificate.certificate(),
            foreignCertificate.key(), null));
        FakeClaimStore namedStore = new FakeClaimStore(new FakeClaimStore.Tls(namedCertificate.certificate(),
            namedCertificate.key(), null))) {
      FleetStore store = open(List.of(foreignStore.address()), new TlsFiles(authorityFile, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(store, newSessionId(), 16));
      store.close();
      FleetStore byAddress = open(List.of(namedStore.address()), new TlsFiles(authorityFile, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(byAddress, newSessionId(), 16),
          "the certificate does not match the address");
      byAddress.close();
      FleetStore byName = open(List.of(namedStore.address()),
          new TlsFiles(authorityFile, null, null, "claims.store.test"));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(byName, newSessionId(), 16));
      byName.close();
    }
  }

  @Test
  void reloadTakesRenewedCertificates() throws Exception {
    TestCertificateAuthority authority = TestCertificateAuthority.create("claims-ca");
    TestCertificateAuthority otherAuthority = TestCertificateAuthority.create("stranger");
    Path authorityFile = authority.writeCertificate(folder.resolve("ca.pem"));
    TestCertificateAuthority.IssuedCertificate server = authority.issue(folder, "store", "127.0.0.1");
    Path renewedFolder = Files.createDirectories(folder.resolve("renewed"));
    TestCertificateAuthority.IssuedCertificate proxy = otherAuthority.issue(folder, "proxy", "proxy-1");
    try (FakeClaimStore tls = new FakeClaimStore(new FakeClaimStore.Tls(server.certificate(), server.key(),
        authorityFile))) {
      TlsFiles files = new TlsFiles(authorityFile, proxy.certificate(), proxy.key(), null);
      FleetStore store = open(List.of(tls.address()), files);
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(store, newSessionId(), 16),
          "client certificate of another authority");
      TestCertificateAuthority.IssuedCertificate renewedCertificate = authority.issue(renewedFolder, "proxy",
          "proxy-1");
      Files.copy(renewedCertificate.certificate(), proxy.certificate(),
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      Files.copy(renewedCertificate.key(), proxy.key(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      store.reload(files);
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, newSessionId(), 16));

      Files.writeString(proxy.key(), "no key");
      assertThrows(IOException.class, () -> store.reload(files));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, newSessionId(), 16),
          "the previous channel stays in use");
      store.close();
    }
  }
}
