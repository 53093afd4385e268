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
import lemondeal.claims.CasClaims;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.FleetStore;
import lemondeal.config.TlsFiles;
import lemondeal.lab.TestAuthority;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The fleet's store at several addresses, and behind TLS with certificates both ways. */
@Timeout(60)
class FleetStoreTest {
  private static final long PATIENCE = 2000;
  /** Calls on a connection that has just failed fail too, until the library has found the next address. */
  private static final int TRIES = 20;

  @TempDir
  Path folder;

  private final ByteArrayOutputStream told = new ByteArrayOutputStream();
  private int sessions;

  private FleetStore open(List<InetSocketAddress> addresses, TlsFiles tls) throws IOException {
    return FleetStore.open(addresses, tls, PATIENCE, new PlainLog(new PrintStream(told, true)));
  }

  private static ClaimAnswer claim(FleetStore store, String session, long epoch) throws InterruptedException {
    BlockingQueue<ClaimAnswer> answers = new LinkedBlockingQueue<>();
    new CasClaims(store, System::currentTimeMillis).claim(new Claim(session, epoch, "h" + System.nanoTime(), 10_000,
        System.currentTimeMillis() + 60_000), answers::add);
    ClaimAnswer answer = answers.poll(20, TimeUnit.SECONDS);
    assertNotNull(answer);
    return answer;
  }

  private String session() {
    return String.format("%032x", ++sessions);
  }

  /** A claim that is answered within some tries, as a client that comes again after BUSY would have it answered. */
  private static ClaimAnswer answered(FleetStore store, String session, long epoch) throws InterruptedException {
    ClaimAnswer answer = null;
    for (int i = 0; i < TRIES && !(answer instanceof ClaimAnswer.Granted || answer instanceof ClaimAnswer.Held); i++) {
      answer = claim(store, session, epoch);
    }
    return answer;
  }

  /** An address of loopback where nothing listens. */
  private static InetSocketAddress nobody() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
  }

  @Test
  @SuppressWarnings("try") // The first store's end is the fault that is caused.
  void addressesAreTriedInTurnAndAllAreOneStore() throws Exception {
    try (ClaimStoreServer first = new ClaimStoreServer(); ClaimStoreServer second = first.replica()) {
      FleetStore store = open(List.of(nobody(), first.address(), second.address()), null);
      String session = session();
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session, 16), "the first that answers is taken");
      first.close();
      assertInstanceOf(ClaimAnswer.Held.class, answered(store, session, 16), "the next one knows the claim");
      assertTrue(second.calls() > 0);
      store.close();
    }
  }

  @Test
  void certificatesBothWays() throws Exception {
    TestAuthority authority = TestAuthority.make("claims-ca");
    Path trusted = authority.writeAuthority(folder.resolve("ca.pem"));
    TestAuthority.Issued server = authority.issue(folder, "store", "127.0.0.1");
    TestAuthority.Issued proxy = authority.issue(folder, "proxy", "proxy-1");
    try (ClaimStoreServer tls = new ClaimStoreServer(new ClaimStoreServer.Tls(server.certificate(), server.key(),
        trusted))) {
      FleetStore store = open(List.of(tls.address()), new TlsFiles(trusted, proxy.certificate(), proxy.key(), null));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session(), 16));
      assertEquals("", told.toString(), "the first calls were answered");
      store.close();

      FleetStore without = open(List.of(tls.address()), new TlsFiles(trusted, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(without, session(), 16), "a store that asks for a certificate");
      assertTrue(told.toString().contains("claims-away") || told.toString().contains("does not answer"), told.toString());
      without.close();
    }
  }

  @Test
  void aStoreOfAnotherAuthorityOrNameIsNotBelieved() throws Exception {
    TestAuthority ours = TestAuthority.make("ours");
    TestAuthority theirs = TestAuthority.make("theirs");
    Path trusted = ours.writeAuthority(folder.resolve("ca.pem"));
    TestAuthority.Issued foreign = theirs.issue(folder, "foreign", "127.0.0.1");
    TestAuthority.Issued named = ours.issue(folder, "named", "claims.store.test");
    try (ClaimStoreServer other = new ClaimStoreServer(new ClaimStoreServer.Tls(foreign.certificate(), foreign.key(),
        null));
        ClaimStoreServer byName = new ClaimStoreServer(new ClaimStoreServer.Tls(named.certificate(), named.key(),
            null))) {
      FleetStore store = open(List.of(other.address()), new TlsFiles(trusted, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(store, session(), 16));
      store.close();
      FleetStore byAddress = open(List.of(byName.address()), new TlsFiles(trusted, null, null, null));
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(byAddress, session(), 16), "the address is not the name");
      byAddress.close();
      FleetStore named2 = open(List.of(byName.address()), new TlsFiles(trusted, null, null, "claims.store.test"));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(named2, session(), 16));
      named2.close();
    }
  }

  @Test
  void certificatesAreReadAnewOnReload() throws Exception {
    TestAuthority authority = TestAuthority.make("claims-ca");
    TestAuthority stranger = TestAuthority.make("stranger");
    Path trusted = authority.writeAuthority(folder.resolve("ca.pem"));
    TestAuthority.Issued server = authority.issue(folder, "store", "127.0.0.1");
    Path renewed = Files.createDirectories(folder.resolve("renewed"));
    TestAuthority.Issued proxy = stranger.issue(folder, "proxy", "proxy-1");
    try (ClaimStoreServer tls = new ClaimStoreServer(new ClaimStoreServer.Tls(server.certificate(), server.key(),
        trusted))) {
      TlsFiles files = new TlsFiles(trusted, proxy.certificate(), proxy.key(), null);
      FleetStore store = open(List.of(tls.address()), files);
      assertInstanceOf(ClaimAnswer.Unknown.class, claim(store, session(), 16), "a certificate of a stranger");
      TestAuthority.Issued fresh = authority.issue(renewed, "proxy", "proxy-1");
      Files.copy(fresh.certificate(), proxy.certificate(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      Files.copy(fresh.key(), proxy.key(), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      store.reload(files);
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session(), 16));

      Files.writeString(proxy.key(), "no key");
      assertThrows(IOException.class, () -> store.reload(files));
      assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session(), 16), "the channel before stays");
      store.close();
    }
  }
}
