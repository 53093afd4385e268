package lemondeal.proxy;

import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import lemondeal.codec.LineParser;
import lemondeal.codec.ProtocolException;
import lemondeal.codec.ServerLine;
import lemondeal.net.Dial;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/** One attempt of a request at one server, with its server link. Ends once and tells its client link. */
final class Execution implements Link.Owner {
  private final Context context;
  private final ClientLink client;
  private final String server;
  private final int number;
  private final long begun;
  private final LineParser lines;
  private long deadline;
  private Dial dial;
  private Link link;
  private Timers.Timer timeout;
  private boolean written;
  private boolean up;
  private boolean over;
  private ServerLine last = ServerLine.parse("");

  Execution(Context context, ClientLink client, String server, int number) {
    this.context = context;
    this.client = client;
    this.server = server;
    this.number = number;
    begun = context.now();
    lines = new LineParser(context.limits().lineBytes());
  }

  String server() {
    return server;
  }

  int number() {
    return number;
  }

  long elapsed() {
    return context.now() - begun;
  }

  /** Whether nothing of a line has come that is not whole yet. */
  boolean betweenLines() {
    return !lines.midLine();
  }

  /** Dials, and waits for {@code UP} until the time is up. */
  void start(long patience) {
    deadline = begun + patience;
    InetSocketAddress address = context.group().address(server);
    if (patience < 0 || address == null) {
      Outcome outcome = patience < 0 ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION;
      context.net().later(() -> client.link().guarded(() -> end(outcome, null)));
      return;
    }
    timeout = client.link().after(patience, () -> end(Outcome.TIMED_OUT, null));
    dial = context.net().dial(address, context.limits().dial(), this::connected,
        () -> end(Outcome.NO_CONNECTION, null));
  }

  private void connected(Link opened) {
    link = opened;
    link.start(this);
    long left = Math.max(0, deadline - context.now());
    link.send(client.firstLine(left, number));
    attempted();
  }

  /** Counts the attempt once its line's last byte is written, which may be at once or later. */
  private void attempted() {
    if (!written && link.isFlushed()) {
      written = true;
      context.figures().attempted();
    }
  }

  boolean isUp() {
    return up;
  }

  Link link() {
    return link;
  }

  /** Ends the attempt from this side. */
  void cancel() {
    end(Outcome.CANCELLED, null);
  }

  /** Both sides have ended, or one has and the other had its time: what was sent still goes out. */
  void finish(boolean serverFirst) {
    link.finish();
    end(serverFirst ? endOutcome() : Outcome.CANCELLED, null);
  }

  /** The client was reset, and so is the server. */
  void reset() {
    link.reset();
    cancel();
  }

  void end(Outcome outcome, LoadReport report) {
    if (over) {
      return;
    }
    over = true;
    Timers.cancel(timeout);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null && !link.isFinishing()) {
      link.close();
    }
    client.executionEnded(this, outcome, report);
  }

  @Override
  public int room() {
    return up ? Math.max(0, client.roomTowardsClient() - lines.pending()) : context.limits().lineBytes();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      if (!up) {
        awaitUp(bytes);
      }
      if (up && !over && bytes.hasRemaining()) {
        context.delays().heard(context.now(), server);
        pass(bytes);
      }
    } catch (ProtocolException e) {
      failed(Outcome.ERROR);
    }
  }

  private void awaitUp(ByteBuffer bytes) throws ProtocolException {
    String line = lines.next(bytes);
    if (line == null) {
      return;
    }
    ServerLine answer = ServerLine.parse(line);
    switch (answer.kind()) {
      case UP -> cameUp(line);
      case BUSY -> end(Outcome.REFUSED, Reports.read(answer));
      case MOVE -> end(Outcome.CANCELLED, null);
      case BYE -> client.servedAtOnce(this, line, Reports.read(answer));
      default -> end(Outcome.ERROR, Reports.read(answer));
    }
  }

  private void cameUp(String line) {
    if (!client.takes(line)) {
      end(Outcome.ERROR, null);
      return;
    }
    up = true;
    Timers.cancel(timeout);
    client.up(this, line);
  }

  /**
   * Passes lines on as soon as they are whole, and tells of them. Guards the client of a server that hangs in the
   * middle of a line: with half of it passed on there was no place left for a MOVE. A line goes out before it is told:
   * what the module decides on it may be a move, which must not overtake or swallow the line.
   */
  private void pass(ByteBuffer bytes) throws ProtocolException {
    while (bytes.hasRemaining() && !over) {
      String line = lines.next(bytes);
      if (line != null) {
        client.passLine(line);
        last = ServerLine.parse(line);
        client.lineFromServer(last);
      }
    }
    bytes.position(bytes.limit());
  }

  @Override
  public void ended() {
    if (!up) {
      failed(brokenOutcome());
    } else {
      client.serverEnded();
    }
  }

  @Override
  public void broken() {
    failed(up ? endOutcome() : brokenOutcome());
  }

  private void failed(Outcome outcome) {
    if (up) {
      client.breakOff(outcome);
    } else {
      end(outcome, null);
    }
  }

  /** Before the line's last byte was written the server can't have acted on it. */
  private Outcome brokenOutcome() {
    return link.isFlushed() ? Outcome.RESET : Outcome.NO_CONNECTION;
  }

  private Outcome endOutcome() {
    return switch (last.kind()) {
      case BYE -> Outcome.SERVED;
      case MOVE -> Outcome.CANCELLED;
      default -> Outcome.RESET;
    };
  }

  @Override
  public void flushed() {
    attempted();
    client.resume();
  }
}
