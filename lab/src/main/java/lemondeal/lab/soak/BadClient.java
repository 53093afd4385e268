package lemondeal.lab.soak;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import lemondeal.lab.LineConnection;

/** A client that violates the protocol. The proxy must answer with an error or close the connection within 3 s. */
final class BadClient implements Runnable {
  enum Kind {
    /** Connects and sends nothing. */
    SILENT(""),
    /** Stops sending in the middle of the request line. */
    HALF_LINE("OPEN 00000000"),
    GARBAGE("\u0001\u0002 what is this\r\n"),
    UNKNOWN_CLASS("OPEN %016x key c=nothing,d=500\r\n"),
    NO_DEADLINE("OPEN %016x key c=read\r\n"),
    ENDLESS("x".repeat(64 * 1024)),
    /** Sends more data without waiting for its answer. */
    IMPATIENT("OPEN %016x key c=nothing,d=500\r\nmore\r\n"),
    ENDS_AT_ONCE("OPEN");

    private final String text;

    Kind(String text) {
      this.text = text;
    }
  }

  private static final long MAX_KEPT_MILLIS = 3_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
  /** Start of the range of ids for bad clients, separate from the ids of other clients. */
  private static final long FIRST_ID = 0x7f00000000000000L;

  private final RuleChecker checker;
  private final SoakProxy proxy;
  private final Kind kind;

  BadClient(RuleChecker checker, SoakProxy proxy, Kind kind) {
    this.checker = checker;
    this.proxy = proxy;
    this.kind = kind;
  }

  @Override
  public void run() {
    SoakProxy.Incarnation target = proxy.incarnation();
    checker.increment(RuleChecker.Counter.BAD_CLIENTS);
    Socket socket = new Socket();
    try {
      socket.connect(proxy.address(), CONNECT_TIMEOUT_MILLIS);
    } catch (IOException e) {
      return;
    }
    long startedAt = System.nanoTime();
    try (LineConnection lines = new LineConnection(socket)) {
      lines.setReadTimeout((int) (MAX_KEPT_MILLIS + checker.allowanceMillis()));
      lines.writeRaw(kind.text.formatted(FIRST_ID + startedAt));
      if (kind == Kind.ENDS_AT_ONCE) {
        lines.shutdownOutput();
      }
      lines.readLine();
    } catch (SocketTimeoutException e) {
      if (!target.killed() && proxy.incarnation() == target) {
        checker.reportViolation(Rule.BAD_CLIENT_KEPT, kind + " at proxy " + proxy.number() + " was kept for "
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) + " ms");
      }
    } catch (IOException e) {
      // The proxy has closed the connection, with a reset; that is allowed.
    }
  }
}
