package lemondeal.proxy;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Request;
import lemondeal.codec.LineParser;
import lemondeal.codec.ProtocolException;
import lemondeal.codec.ServerLine;
import lemondeal.net.Link;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;

/** What passes between a client link and its server link from UP on, and how the two of them end. */
final class Tunnel implements Link.Owner {
  /** MOVING waits for the end of a server's line; ENDING grants the other side a moment after one has ended. */
  private enum State { OPEN, MOVING, HALF_CLOSED, CLOSED }

  private final Context context;
  private final Link client;
  private final Continuity continuity;
  private final Execution execution;
  private final PassiveHealthCheck healthCheck;
  private final Runnable onClosed;
  private final Consumer<EndReason> ended;
  private final LineParser lineParser;
  private State state = State.OPEN;
  private Timers.Timer timer;
  /** Why it is to be moved, while that waits for the end of a line. */
  private EndReason moveReason;
  private boolean clientEnded;
  private boolean serverEnded;

  /** {@code left} is run as soon as it is over, before the module hears of the execution's end. */
  Tunnel(Context context, Link client, Continuity continuity, Request request, Execution execution, Runnable onClosed,
      Consumer<EndReason> ended) {
    this.context = context;
    this.client = client;
    this.continuity = continuity;
    this.execution = execution;
    this.onClosed = onClosed;
    this.ended = ended;
    healthCheck = new PassiveHealthCheck(context, client, request, execution, () -> moveNow(Outcome.RESET, EndReason.SERVER_SILENT));
    lineParser = new LineParser(context.limits().maxLineBytes());
  }

  /** Whether its client has not been sent away and does not go by itself. */
  boolean isMovable() {
    return state == State.OPEN;
  }

  // ---- Passing on ----------------------------------------------------------------------------

  @Override
  public int receiveCapacity() {
    return execution.link().sendCapacity();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      forwardToServer(bytes);
    } catch (ProtocolException e) {
      abort(Outcome.CANCELLED, EndReason.CLIENT_UNREADABLE);
    }
    bytes.position(bytes.limit());
  }

  private void forwardToServer(ByteBuffer bytes) throws ProtocolException {
    ByteBuffer unparsed = bytes.duplicate();
    while (unparsed.hasRemaining()) {
      if (lineParser.next(unparsed) != null) {
        healthCheck.onClientLine();
        continuity.fromClient();
      }
    }
    execution.link().send(bytes);
  }

  /**
   * Bytes that {@link #passLine} takes now, with room for a MOVE kept back. Guards against a client that reads
   * slowly: what the server's side has room for says nothing of the client's.
   */
  int clientRoom() {
    return Math.max(0, client.sendCapacity() - continuity.moveBytes());
  }

  /** Passes a whole line of the server on, for which there was room. */
  void forwardLine(String line) {
    client.send(continuity.fromServer(line));
  }

  /** Hears of a line that was passed on. */
  void onServerLine(ServerLine line) {
    if (continuity.answers(line)) {
      healthCheck.onServerLine(line);
    }
    if (state == State.MOVING) {
      moveNow(Outcome.CANCELLED, moveReason);
    }
  }

  /** Passes a line of the proxy's own between two others, if there is room. */
  boolean sendLine(String line) {
    int bytes = line.length() + 2;
    if (state == State.CLOSED || client.sendCapacity() < bytes + continuity.moveBytes()) {
      return false;
    }
    client.send(line + "\r\n");
    return true;
  }

  @Override
  public void flushed() {
    execution.link().resumeReads();
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /** Sends the client away between two lines, or after a while without the end of one. */
  void move(EndReason reason) {
    if (state != State.OPEN) {
      return;
    }
    moveReason = reason;
    if (execution.isBetweenLines()) {
      moveNow(Outcome.CANCELLED, reason);
    } else {
      state = State.MOVING;
      timer = client.after(context.limits().moveTimeout(), () -> moveNow(Outcome.CANCELLED, reason));
    }
  }

  /** A line of which only a part has come is left out: all that was passed on are whole ones. */
  void moveNow(Outcome outcome, EndReason reason) {
    if (state == State.CLOSED) {
      return;
    }
    close(reason);
    if (client.sendCapacity() >= continuity.moveBytes()) {
      client.send(continuity.move());
    }
    client.closeGracefully();
    execution.end(outcome, null);
  }

  /**
   * The server has ended its sending, and so does this side: the other direction has a moment more. A client that was
   * to be moved at the end of the line will not see that end any more, and is moved now.
   */
  void serverEnded() {
    if (state == State.MOVING) {
      moveNow(Outcome.CANCELLED, moveReason);
      return;
    }
    serverEnded = true;
    client.endSending();
    onOneSideEnded(!clientEnded);
  }

  @Override
  public void endOfInput() {
    clientEnded = true;
    execution.link().endSending();
    onOneSideEnded(serverEnded);
  }

  private void onOneSideEnded(boolean serverFirst) {
    if (clientEnded && serverEnded) {
      finish(serverFirst);
    } else {
      state = State.HALF_CLOSED;
      Timers.cancel(timer);
      timer = client.after(context.limits().lingerTimeout(), () -> finish(serverFirst));
    }
  }

  /** Ends both sides in good order: what was sent to them still arrives. */
  void finish(boolean serverFirst) {
    if (state != State.CLOSED) {
      close(serverFirst ? EndReason.SERVER_ENDED : EndReason.CLIENT_ENDED);
      client.closeGracefully();
      execution.finish(serverFirst);
    }
  }

  /** Ends both sides at once: the server's connection broke, or the client does not keep to the protocol. */
  void abort(Outcome outcome, EndReason reason) {
    close(reason);
    client.reset();
    execution.end(outcome, null);
  }

  /** The client was reset. */
  @Override
  public void connectionLost() {
    if (state != State.CLOSED) {
      close(EndReason.CLIENT_RESET);
      execution.reset();
    }
  }

  private void close(EndReason reason) {
    state = State.CLOSED;
    ended.accept(reason);
    Timers.cancel(timer);
    healthCheck.stop();
    onClosed.run();
  }
}
