package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import lemondeal.proxy.ProxyFixture.LineSocket;

/** Steps by which tests make two events reach the proxy in a fixed order. */
final class RaceSteps {
  /** The state SYN_SENT in /proc/net/tcp. */
  private static final String SYN_SENT = "02";

  /** How a side closes its connection. */
  enum CloseKind {
    FIN {
      @Override
      void close(LineSocket peer) throws IOException {
        peer.endSending();
      }
    },
    RST {
      @Override
      void close(LineSocket peer) throws IOException {
        peer.reset();
      }
    };

    abstract void close(LineSocket connection) throws IOException;

    /** Closes the connection; returns when the FIN or reset has reached the proxy's socket. */
    void closeAndAwaitReceived(LineSocket connection) throws IOException {
      close(connection);
      connection.awaitCloseReceived();
    }
  }

  /** A point in a module's script that blocks the event loop until the test opens the gate. */
  static final class Gate {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch open = new CountDownLatch(1);

    /** Called on the event loop; blocks until the gate is open, which it then remains. */
    void block() {
      reached.countDown();
      await(open);
    }

    void awaitReached() {
      await(reached);
    }

    void open() {
      open.countDown();
    }

    private static void await(CountDownLatch latch) {
      try {
        assertTrue(latch.await(10, TimeUnit.SECONDS), "timed out at the gate");
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  interface Step {
    void run() throws Exception;
  }

  private RaceSteps() {}

  /** Expires timers after the step has sent its bytes and before the proxy reads any of them. */
  static void expireTimersBeforeReading(ProxyFixture fixture, long micros, Step step) throws Exception {
    Thread clockThread = new Thread(() -> {
      try {
        fixture.advanceClock(micros);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    });
    try (EventLoopPause pause = fixture.pauseEventLoop()) {
      clockThread.start();
      // The thread now waits for the event loop, whose next task is to advance the clock.
      KernelSockets.await(() -> clockThread.getState() == Thread.State.TIMED_WAITING);
      step.run();
      pause.resume();
    }
    clockThread.join();
    fixture.awaitQueuedWork();
  }

  /** The port of the fixture's server with this index, counted from 0. */
  static int serverPort(ProxyFixture fixture, int server) {
    return Integer.parseInt(fixture.instanceJson(server, "in_service").replaceAll(".*127\\.0\\.0\\.1:(\\d+).*", "$1"));
  }

  /** Connections in the server's accept queue. */
  static int serverBacklog(ProxyFixture fixture, int server) {
    return KernelSockets.backlog(serverPort(fixture, server));
  }

  /**
   * Whether this connection was reset: the kernel then no longer lists its socket, while a socket that received a FIN
   * stays listed until the test closes it. Reading cannot show this, since a FIN received earlier hides the reset.
   */
  static boolean isReset(LineSocket connection) {
    return socketStates(connection.socket.getLocalPort(), connection.socket.getPort()).isEmpty();
  }

  /** Returns when the proxy has closed its side of a connection that the test has closed before. */
  static void awaitClosedByProxy(LineSocket connection) {
    KernelSockets.await(() -> socketStates(connection.socket.getPort(), connection.socket.getLocalPort()).isEmpty());
  }

  /** A client whose connection the proxy has accepted and that sends nothing. */
  static LineSocket idleClient(ProxyFixture fixture) throws IOException {
    LineSocket client = fixture.newClient();
    KernelSockets.await(() -> KernelSockets.backlog(fixture.proxy.localAddress().getPort()) == 0);
    return client;
  }

  /** Returns when the proxy has read all bytes sent on this connection. */
  static void awaitReadByProxy(LineSocket connection) {
    KernelSockets.await(
        () -> KernelSockets.unreadBytes(connection.socket.getPort(), connection.socket.getLocalPort()) == 0);
  }

  /** Sockets that are still connecting to this port. */
  static long countConnecting(int port) {
    return socketStates(-1, port).stream().filter(SYN_SENT::equals).count();
  }

  /** The states of the sockets between these ports; a local port of -1 matches any. */
  private static List<String> socketStates(int local, int remote) {
    List<String> states = new ArrayList<>();
    try {
      for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] fields = line.trim().split("\\s+");
          if (fields[2].endsWith(hex(remote)) && (local < 0 || fields[1].endsWith(hex(local)))) {
            states.add(fields[3]);
          }
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return states;
  }

  private static String hex(int port) {
    return String.format(":%04X", port);
  }
}
