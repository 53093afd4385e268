package lemondeal.resume;

import lemondeal.codec.OpenLine;
import lemondeal.codec.ServerLine;

/**
 * How a client's connection takes part in a session that can be resumed on another connection. The client link calls
 * this where a resumable connection differs from a {@link NonResumable} one. Confined to the event loop thread.
 */
public interface SessionContinuity {

  /** The operations of the client link that an implementation uses. */
  interface ClientConnection {
    /** Passes the request to the decision module. */
    void admit();

    /** Throttles the client, which may retry after this many microseconds. */
    void throttle(long retryAfterMicros);

    /** Fails the request with this line, given without its line ending. */
    void fail(String line);

    /** Sends a line from the proxy, given without its line ending. Returns false if the send buffer has no room. */
    boolean sendLine(String line);

    /** Runs the task on the event loop thread after a delay, even if the client link has ended meanwhile. */
    void schedule(long delayMicros, Runnable task);

    /** Queues the task on the event loop thread; may be called on any thread. */
    void runOnEventLoop(Runnable task);
  }

  /** Decides, now or later, whether the request may proceed; calls one method of {@link ClientConnection} once. */
  void begin(ClientConnection client);

  /** The first line for the server, with its line ending. */
  String firstLine(long remainingMillis, int attempt);

  /** Whether the server's {@code UP} line is acceptable; if not, the attempt has failed. */
  boolean acceptsUp(String upLine);

  /**
   * The connection is up. Returns the line to send to the client after the {@code UP}, with its line ending; may be
   * empty.
   */
  String onUp(int attempt, String server, String upLine);

  /** Takes a server's line, without its line ending; returns what to forward in its place, with its line ending. */
  String rewriteServerLine(String line);

  /** Whether the server's line may be the reply to a line of the client. */
  boolean mayBeReply(ServerLine line);

  /** A line of the client is being forwarded. */
  void onClientLine();

  /** The line that tells the client to reconnect, with its line ending. */
  String moveLine();

  /** Maximum length of {@link #moveLine} in bytes. */
  int maxMoveBytes();

  /** The request or connection has ended, and no attempt is running any more. Called once. */
  void onEnd();

  /** A connection without a session: forwards all lines unchanged. */
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
      // Lines are not counted.
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
