package lemondeal.lab.soak;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import lemondeal.lab.LineConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A real proxy whose system calls fail for a short time, with errors that Linux documents. */
@Timeout(120)
class SystemCallsTest {
  /** Number of consecutive failures, enough to reveal a backoff that grows without a bound. */
  private static final int CONSECUTIVE_FAILURES = 8;

  @TempDir
  Path folder;

  @ParameterizedTest
  @EnumSource(value = Errno.class, names = {"ENFILE", "ENOBUFS", "ECONNABORTED"})
  void clientsAreAcceptedSoonAfterAcceptFails(Errno error) throws Exception {
    try (OneProxySite site = new OneProxySite(folder, 2)) {
      site.proxy.shim().failNext(FaultShim.SystemCall.ACCEPT, error, CONSECUTIVE_FAILURES);
      for (int i = 0; i < 3; i++) {
        try (LineConnection client = site.sendRequest(RequestClass.READ)) {
          assertTrue(client.readLine().startsWith("UP "));
        }
      }
      assertEquals(List.of(), site.checker.violations());
    }
  }

  /**
   * When the listening socket closes, the system resets the connections in its accept queue. If accept fails during the
   * shutdown, the proxy must still accept and answer them first.
   */
  @Test
  void clientsInTheAcceptQueueAreAnsweredIfAcceptFailsDuringShutdown() throws Exception {
    try (OneProxySite site = new OneProxySite(folder, 2)) {
      site.proxy.shim().failNext(FaultShim.SystemCall.ACCEPT, Errno.ENFILE, Integer.MAX_VALUE);
      try (LineConnection client = site.sendRequest(RequestClass.READ)) {
        Thread stop = Threads.start("stop", () -> assertDoesNotThrow(site.proxy::stop));
        // The socket is to close 0.45 s after SIGTERM.
        Threads.sleepMillis(700);
        site.proxy.shim().clearFaults();
        assertEquals("BUSY", client.readLine().split(" ")[0]);
        stop.join();
      }
      assertEquals(List.of(), site.checker.violations());
    }
  }

  @ParameterizedTest
  @EnumSource(value = Errno.class, names = {"EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN"})
  void aBriefConnectFailureLosesNoRequest(Errno error) throws Exception {
    try (OneProxySite site = new OneProxySite(folder, 3)) {
      site.proxy.shim().failNext(FaultShim.SystemCall.CONNECT, error, 1);
      try (LineConnection client = site.sendRequest(RequestClass.WRITE)) {
        assertTrue(client.readLine().startsWith("UP "));
      }
      assertEquals(List.of(), site.checker.violations());
    }
  }

  /** A line is forwarded completely even if each read and write moves one byte and waits are interrupted. */
  @Test
  void shortReadsAndWritesAndInterruptedWaitsLoseNothing() throws Exception {
    try (OneProxySite site = new OneProxySite(folder, 2)) {
      site.proxy.shim().limitSocketBytes(1);
      site.proxy.shim().failNext(FaultShim.SystemCall.WAIT, Errno.EINTR, 500);
      try (LineConnection client = site.sendRequest(RequestClass.READ)) {
        assertTrue(client.readLine().startsWith("UP "));
        client.writeLines("a line that takes many reads");
        assertTrue(client.readLine().endsWith(" a line that takes many reads"));
      }
      site.proxy.stop();
      assertEquals(0, site.proxy.incarnation().process.exitValue());
      assertEquals(List.of(), site.checker.violations());
    }
  }
}
