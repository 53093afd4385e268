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

/** One attempt of a request at one server, with its server link. Ends once and reports that to its client link. */
final class Execution implements Link.Owner {
  /** Before SENT, which follows the last byte of the first line, a server can't have acted on the request. */
  private enum State { DIALLING, SENDING, SENT, UP, ENDED }

  private final Context context;
  private final ClientLink client;
  private final String server;
  private final int number;
  private final long startedAt;
  private final LineParser lineParser;
  private State state = State.DIALLING;
  private long deadline;
  private Dial dial;
  private Link link;
  private Timers.Timer timeoutTimer;
  /** What the server sent before the first line was written completely; it may be its answer all the same. */
  private ByteBuffer earlyBytes = ByteBuffer.allocate(0);
  /** Null until UP. */
  private Tunnel tunnel;
  private ServerLine lastLine = ServerLine.parse("");

  Execution(Context context, ClientLink client, String server, int number) {
    this.context = context;
    this.client = client;
    this.server = server;
    this.number = number;
    startedAt = context.now();
    lineParser = new LineParser(context.limits().maxLineBytes());
  }

  String server() {
    return server;
  }

  int number() {
    return number;
  }

  long elapsed() {
    return context.now() - startedAt;
  }

  /** Whether the input received so far ends with a complete line. */
  boolean isBetweenLines() {
    return !lineParser.isMidLine();
  }

  /** Whether the attempt came up; stays true after its end. */
  boolean cameUp() {
    return tunnel != null;
  }

  Link link() {
    return link;
  }

  // ---- Until UP ------------------------------------------------------------------------------

  /** Dials, and waits for {@code UP} until the timeout. */
  void start(long timeoutMicros) {
    deadline = startedAt + timeoutMicros;
    InetSocketAddress address = context.group().address(server);
    if (timeoutMicros < 0 || address == null) {
      Outcome outcome = timeoutMicros < 0 ? Outcome.NOT_SENT : Outcome.NO_CONNECTION;
      context.net().execute(() -> client.link().runGuarded(() -> end(outcome, null)));
      return;
    }
    timeoutTimer = client.link().after(timeoutMicros, this::timedOut);
    dial = context.net().dial(address, Math.min(context.limits().connectTimeout(), drainGrace()), this::connected,
        () -> end(Outcome.NO_CONNECTION, null));
  }

  /**
   * Writes the first line, unless the client or the server has ended: either may have done so during the dial without
   * the event loop having handled it yet.
   */
  private void connected(Link serverLink) {
    link = serverLink;
    if (!client.isStillWaiting()) {
      return;
    }
    if (elapsed() > drainGrace()) {
      end(Outcome.NO_CONNECTION, null);
      return;
    }
    state = State.SENDING;
    link.start(this);
    link.readNow();
    if (state == State.SENDING && !client.maySend(this)) {
      end(Outcome.NOT_SENT, null);
    }
    if (state == State.SENDING) {
      link.send(client.firstLine(Math.max(0, deadline - context.now()), number));
      countIfSent();
    }
  }

  /**
   * From the decision to the first byte a dial may not take longer than the drain grace period. The server may be
   * announced as draining right after the decision, and a send counts from its first byte (PROTOCOL, Figures). Settings
   * without a grace period have no such rule.
   */
  private long drainGrace() {
    long grace = context.config().settings().rules().drainGrace();
    return grace > 0 ? grace : Long.MAX_VALUE;
  }

  /** Counts the attempt once the last byte of its first line is written, which may be at once or later. */
  private void countIfSent() {
    if (state == State.SENDING && link.isFlushed()) {
      state = State.SENT;
      context.counters().countAttempt();
      if (earlyBytes.hasRemaining()) {
        received(earlyBytes);
      }
    }
  }

  /** Reads once more first: the answer may have arrived while the proxy itself was paused. */
  private void timedOut() {
    if (link != null) {
      link.readNow();
    }
    if (state != State.UP) {
      end(noConnectionUnlessSent(Outcome.TIMED_OUT), null);
    }
  }

  /** PROTOCOL: an attempt that ends before the last byte of its first line was written has never run. */
  private Outcome noConnectionUnlessSent(Outcome outcome) {
    return state == State.SENT ? outcome : Outcome.NO_CONNECTION;
  }

  private void readAnswer(ByteBuffer bytes) throws ProtocolException {
    String line = lineParser.next(bytes);
    if (line == null) {
      return;
    }
    ServerLine answer = ServerLine.parse(line);
    switch (answer.kind()) {
      case UP -> cameUp(line, answer);
      case BUSY -> end(Outcome.REFUSED, LoadReportParser.parse(answer));
      case MOVE -> end(Outcome.CANCELLED, null);
      case BYE -> client.servedAtOnce(this, line, LoadReportParser.parse(answer));
      default -> end(Outcome.ERROR, LoadReportParser.parse(answer));
    }
  }

  /** Guards against an invalid answer: an UP without a receipt. */
  private void cameUp(String line, ServerLine answer) {
    if (answer.arguments().isEmpty() || !client.acceptsUp(line)) {
      end(Outcome.ERROR, null);
      return;
    }
    state = State.UP;
    Timers.cancel(timeoutTimer);
    tunnel = client.openTunnel(this);
    client.forwardUp(this, line);
  }

  // ---- From UP on ----------------------------------------------------------------------------

  @Override
  public int receiveCapacity() {
    int lineBytes = context.limits().maxLineBytes();
    return switch (state) {
      case UP -> Math.max(0, tunnel.clientSendCapacity() - lineParser.pendingBytes());
      case SENDING -> lineBytes - earlyBytes.remaining();
      default -> lineBytes;
    };
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (state == State.SENDING) {
      earlyBytes = ByteBuffer.allocate(earlyBytes.remaining() + bytes.remaining()).put(earlyBytes).put(bytes).flip();
      return;
    }
    try {
      if (state != State.UP) {
        readAnswer(bytes);
      }
      if (state == State.UP && bytes.hasRemaining()) {
        context.delayMeter().recordReceived(context.now(), server);
        forwardLines(bytes);
      }
    } catch (ProtocolException e) {
      handleProtocolError();
    }
  }

  /**
   * Forwards lines as soon as they are complete, and then handles them. Protects the client of a server that hangs in
   * the middle of a line: with half of it forwarded, no MOVE could be sent any more. A line goes out before it is
   * handled: what the module decides on it may be a move, which must not overtake or drop the line.
   */
  private void forwardLines(ByteBuffer bytes) throws ProtocolException {
    while (bytes.hasRemaining() && state != State.ENDED) {
      String line = lineParser.next(bytes);
      if (line != null) {
        ServerLine parsed = ServerLine.parse(line);
        recordLastLine(parsed);
        if (endOutcome() != Outcome.RESET) {
          client.admitReconnect();
        }
        tunnel.forwardLine(line);
        tunnel.onServerLine(parsed);
      }
    }
    bytes.position(bytes.limit());
  }

  /** Input after a server's final line is ignored, and does not change how the connection ended. */
  private void recordLastLine(ServerLine line) {
    if (endOutcome() == Outcome.RESET) {
      lastLine = line;
    }
  }

  /** The client has received complete lines only, and so can be moved. */
  private void handleProtocolError() {
    if (state == State.UP) {
      tunnel.moveNow(Outcome.ERROR, EndReason.SERVER_UNREADABLE);
    } else {
      end(Outcome.ERROR, null);
    }
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /** Ends the attempt from this side. */
  void cancel() {
    end(Outcome.CANCELLED, null);
  }

  /** Both sides have ended, or one has and the other's grace period has passed: what was sent is still delivered. */
  void finish(boolean serverFirst) {
    link.closeGracefully();
    end(serverFirst ? endOutcome() : Outcome.CANCELLED, null);
  }

  /** The client's connection was reset, so the server's is reset too. */
  void reset() {
    link.reset();
    cancel();
  }

  void end(Outcome outcome, LoadReport report) {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    Timers.cancel(timeoutTimer);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null && !link.isLingering()) {
      link.close();
    }
    client.executionEnded(this, outcome, report);
  }

  @Override
  public void endOfInput() {
    if (state == State.UP) {
      client.admitReconnect();
      tunnel.serverEnded();
    } else {
      end(noConnectionUnlessSent(Outcome.RESET), null);
    }
  }

  /** A server that has sent its final line has ended cleanly; a reset of the client would overtake that line. */
  @Override
  public void connectionLost() {
    if (state != State.UP) {
      end(noConnectionUnlessSent(Outcome.RESET), null);
    } else if (endOutcome() == Outcome.RESET) {
      tunnel.abort(Outcome.RESET, EndReason.SERVER_RESET);
    } else {
      tunnel.finish(true);
    }
  }

  private Outcome endOutcome() {
    return switch (lastLine.kind()) {
      case BYE -> Outcome.SERVED;
      case MOVE -> Outcome.CANCELLED;
      default -> Outcome.RESET;
    };
  }

  @Override
  public void flushed() {
    countIfSent();
    client.link().resumeReads();
  }
}
