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

/** Moves by which two events meet at a site in a given order. */
final class RaceSteps {
  /** As the system's table of sockets has it. */
  private static final String SYN_SENT = "02";

  /** How a side leaves. */
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

    /** Returns when the end has reached the proxy's socket. */
    void closeAndAwaitReceived(LineSocket connection) throws IOException {
      close(connection);
      connection.awaitCloseReceived();
    }
  }

  /** A place in a module's script at which the I/O thread stands still until the test lets it go. */
  static final class Gate {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch open = new CountDownLatch(1);

    /** For the I/O thread; stands still the first time alone. */
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
        assertTrue(latch.await(10, TimeUnit.SECONDS), "never came");
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  interface Step {
    void run() throws Exception;
  }

  private RaceSteps() {}

  /** Has deadlines run out before anything is read of what the step puts into the kernel. */
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
      // It waits for the I/O thread by then, which has the jump before it as the next thing to do.
      KernelSockets.await(() -> clockThread.getState() == Thread.State.TIMED_WAITING);
      step.run();
      pause.resume();
    }
    clockThread.join();
    fixture.awaitQueuedWork();
  }

  /** The port of the site's server, counted from 0. */
  static int serverPort(ProxyFixture fixture, int server) {
    return Integer.parseInt(fixture.instanceJson(server, "in_service").replaceAll(".*127\\.0\\.0\\.1:(\\d+).*", "$1"));
  }

  /** Connections that came to the server and were not looked at. */
  static int serverBacklog(ProxyFixture fixture, int server) {
    return KernelSockets.backlog(serverPort(fixture, server));
  }

  /**
   * Whether a reset has ended this peer's socket: the system knows it no more then, while one that saw an end in order
   * stands until it is closed here. Reading does not tell: an end that came before hides the reset.
   */
  static boolean isReset(LineSocket connection) {
    return socketStates(connection.socket.getLocalPort(), connection.socket.getPort()).isEmpty();
  }

  /** Returns when the proxy has closed its side of a connection that this peer had closed before. */
  static void awaitClosedByProxy(LineSocket connection) {
    KernelSockets.await(() -> socketStates(connection.socket.getPort(), connection.socket.getLocalPort()).isEmpty());
  }

  /** A client whose connection the proxy has accepted, and that says nothing. */
  static LineSocket idleClient(ProxyFixture fixture) throws IOException {
    LineSocket client = fixture.newClient();
    KernelSockets.await(() -> KernelSockets.backlog(fixture.proxy.localAddress().getPort()) == 0);
    return client;
  }

  /** Returns when the proxy has read all that this peer sent. */
  static void awaitReadByProxy(LineSocket connection) {
    KernelSockets.await(() -> KernelSockets.unreadBytes(connection.socket.getPort(), connection.socket.getLocalPort()) == 0);
  }

  /** Sockets whose connection to this port has not come up. */
  static long countConnecting(int port) {
    return socketStates(-1, port).stream().filter(SYN_SENT::equals).count();
  }

  /** States of the sockets between these ports, from any local one where that is -1. */
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
