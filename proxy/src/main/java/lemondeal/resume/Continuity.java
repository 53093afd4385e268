package lemondeal.resume;

import lemondeal.codec.OpenLine;
import lemondeal.codec.ServerLine;

/**
 * How one client's connection hangs together with those before and after it. {@link Plain} ones do not; the link
 * between client and server asks here at the few places where that makes a difference. On the I/O thread alone.
 */
public interface Continuity {

  /** The client link, as seen from here. */
  interface Side {
    /** The request may go to the decision module. */
    void admit();

    /** Throttles the client: it is to come again after so many microseconds. */
    void throttle(long micros);

    /** Fails the request with this line, given without its end. */
    void fail(String line);

    /** Sends a line of the proxy's own, given without its end, if there is room; whether there was. */
    boolean say(String line);

    /** Runs the task on the I/O thread after a time, also when the client link has ended meanwhile. */
    void after(long micros, Runnable task);

    /** Runs the task on the I/O thread, after what runs there now; may be called on any thread. */
    void later(Runnable task);
  }

  /** Decides whether the request may go on, now or later; tells {@link Side} once. */
  void begin(Side side);

  /** The first line for the server, with its end. */
  String firstLine(long millis, int attempt);

  /** Whether this server's {@code UP} can be taken; if not, the attempt has failed. */
  boolean takes(String upLine);

  /** The connection is up. What the client is told behind the {@code UP}, with its end; may be empty. */
  String up(int attempt, String server, String upLine);

  /** A line of the server, without its end; what is passed on instead, with its end. */
  String fromServer(String line);

  /** Whether the server's line may be its answer to a line of the client. */
  boolean answers(ServerLine line);

  /** A line of the client is being passed on. */
  void fromClient();

  /** What sends the client away, with its end. */
  String move();

  /** Bytes that {@link #move} needs at most. */
  int moveBytes();

  /** The request or connection is over and no attempt is out any more. Heard once. */
  void over();

  /** A connection on its own: passes all as it is. */
  final class Plain implements Continuity {
    private static final String MOVE = "MOVE\r\n";

    private final OpenLine open;

    public Plain(OpenLine open) {
      this.open = open;
    }

    @Override
    public void begin(Side side) {
      side.admit();
    }

    @Override
    public String firstLine(long millis, int attempt) {
      return open.withDeadline(millis);
    }

    @Override
    public boolean takes(String upLine) {
      return true;
    }

    @Override
    public String up(int attempt, String server, String upLine) {
      return "";
    }

    @Override
    public String fromServer(String line) {
      return line + "\r\n";
    }

    @Override
    public boolean answers(ServerLine line) {
      return true;
    }

    @Override
    public void fromClient() {
      // Nobody counts.
    }

    @Override
    public String move() {
      return MOVE;
    }

    @Override
    public int moveBytes() {
      return MOVE.length();
    }

    @Override
    public void over() {
      // Nothing was claimed.
    }
  }
}
