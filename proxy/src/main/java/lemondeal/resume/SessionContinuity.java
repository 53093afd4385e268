package lemondeal.resume;

import lemondeal.codec.OpenLine;
import lemondeal.codec.ServerLine;

/**
 * How one client's connection hangs together with those before and after it. {@link Plain} ones do not; the link
 * between client and server asks here at the few places where that makes a difference. On the I/O thread alone.
 */
public interface SessionContinuity {

  /** The client link, as seen from here. */
  interface ClientConnection {
    /** The request may go to the decision module. */
    void admit();

    /** Throttles the client: it is to come again after so many microseconds. */
    void throttle(long retryAfterMicros);

    /** Fails the request with this line, given without its end. */
    void fail(String line);

    /** Sends a line of the proxy's own, given without its end, if there is room; whether there was. */
    boolean sendLine(String line);

    /** Runs the task on the I/O thread after a time, also when the client link has ended meanwhile. */
    void schedule(long delayMicros, Runnable task);

    /** Runs the task on the I/O thread, after what runs there now; may be called on any thread. */
    void runOnEventLoop(Runnable task);
  }

  /** Decides whether the request may go on, now or later; tells {@link Side} once. */
  void begin(ClientConnection client);

  /** The first line for the server, with its end. */
  String firstLine(long remainingMillis, int attempt);

  /** Whether this server's {@code UP} can be taken; if not, the attempt has failed. */
  boolean acceptsUp(String upLine);

  /** The connection is up. What the client is told behind the {@code UP}, with its end; may be empty. */
  String onUp(int attempt, String server, String upLine);

  /** A line of the server, without its end; what is passed on instead, with its end. */
  String rewriteServerLine(String line);

  /** Whether the server's line may be its answer to a line of the client. */
  boolean mayBeReply(ServerLine line);

  /** A line of the client is being passed on. */
  void onClientLine();

  /** What sends the client away, with its end. */
  String moveLine();

  /** Bytes that {@link #move} needs at most. */
  int maxMoveBytes();

  /** The request or connection is over and no attempt is out any more. Heard once. */
  void onEnd();

  /** A connection on its own: passes all as it is. */
  final class NonResumable implements SessionContinuity {
    private static final String MOVE = "MOVE\r\n";

    private final OpenLine openLine;

    public NonResumable(OpenLine openLine) {
      this.openLine = openLine;
    }

    @Override
    public void begin(ClientConnection client) {
      client.admit();
    }

    @Override
    public String firstLine(long remainingMillis, int attempt) {
      return openLine.withDeadline(remainingMillis);
    }

    @Override
    public boolean acceptsUp(String upLine) {
      return true;
    }

    @Override
    public String onUp(int attempt, String server, String upLine) {
      return "";
    }

    @Override
    public String rewriteServerLine(String line) {
      return line + "\r\n";
    }

    @Override
    public boolean mayBeReply(ServerLine line) {
      return true;
    }

    @Override
    public void onClientLine() {
      // Nobody counts.
    }

    @Override
    public String moveLine() {
      return MOVE;
    }

    @Override
    public int maxMoveBytes() {
      return MOVE.length();
    }

    @Override
    public void onEnd() {
      // Nothing was claimed.
    }
  }
}
