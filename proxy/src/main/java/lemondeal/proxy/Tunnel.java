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
import lemondeal.resume.SessionContinuity;

/** Relays between a client link and its server link from UP on, and ends the two of them. */
final class Tunnel implements Link.Owner {
  /** MOVING waits for the end of a server's line; HALF_CLOSED gives the other side a moment after one has ended. */
  private enum State { OPEN, MOVING, HALF_CLOSED, CLOSED }

  private final Context context;
  private final Link client;
  private final SessionContinuity continuity;
  private final Execution execution;
  private final PassiveHealthCheck healthCheck;
  private final Runnable onClosed;
  private final Consumer<EndReason> onEndReason;
  private final LineParser lineParser;
  private State state = State.OPEN;
  private Timers.Timer timer;
  /** Why the client is to be moved, while that waits for the end of a line. */
  private EndReason moveReason;
  private boolean clientEnded;
  private boolean serverEnded;

  /** {@code onClosed} runs as soon as the tunnel is closed, before the module receives the execution's end. */
  Tunnel(Context context, Link client, SessionContinuity continuity, Request request, Execution execution, Runnable onClosed,
      Consumer<EndReason> onEndReason) {
    this.context = context;
    this.client = client;
    this.continuity = continuity;
    this.execution = execution;
    this.onClosed = onClosed;
    this.onEndReason = onEndReason;
    healthCheck = new PassiveHealthCheck(context, client, request, execution,
        () -> moveNow(Outcome.RESET, EndReason.SERVER_SILENT));
    lineParser = new LineParser(context.limits().maxLineBytes());
  }

  /** Whether its client has not been moved and neither side is ending. */
  boolean isMovable() {
    return state == State.OPEN;
  }

  // ---- Relaying ------------------------------------------------------------------------------

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
        continuity.onClientLine();
      }
    }
    execution.link().send(bytes);
  }

  /**
   * Bytes that {@link #forwardLine} accepts now, with space reserved for a MOVE. Guards against a client that reads
   * slowly: the free space on the server's side says nothing about the client's.
   */
  int clientSendCapacity() {
    return Math.max(0, client.sendCapacity() - continuity.maxMoveBytes());
  }

  /** Forwards a complete line of the server, for which there was space. */
  void forwardLine(String line) {
    client.send(continuity.rewriteServerLine(line));
  }

  /** Handles a line that was forwarded. */
  void onServerLine(ServerLine line) {
    if (continuity.mayBeReply(line)) {
      healthCheck.onServerLine(line);
    }
    if (state == State.MOVING) {
      moveNow(Outcome.CANCELLED, moveReason);
    }
  }

  /** Sends a line of the proxy's own between two others, if there is space; returns whether there was. */
  boolean sendLine(String line) {
    int bytes = line.length() + 2;
    if (state == State.CLOSED || client.sendCapacity() < bytes + continuity.maxMoveBytes()) {
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

  /** Moves the client between two lines, or after a while if the current line does not end. */
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

  /** A line that has arrived only in part is left out: all that were forwarded are complete. */
  void moveNow(Outcome outcome, EndReason reason) {
    if (state == State.CLOSED) {
      return;
    }
    close(reason);
    if (client.sendCapacity() >= continuity.maxMoveBytes()) {
      client.send(continuity.moveLine());
    }
    client.closeGracefully();
    execution.end(outcome, null);
  }

  /**
   * The server has ended its sending, and so does this side: the other direction has a moment more. A client that was
   * to be moved at the end of the line will not receive that end any more, and is moved now.
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

  /** Ends both sides cleanly: what was sent to them is still delivered. */
  void finish(boolean serverFirst) {
    if (state != State.CLOSED) {
      close(serverFirst ? EndReason.SERVER_ENDED : EndReason.CLIENT_ENDED);
      client.closeGracefully();
      execution.finish(serverFirst);
    }
  }

  /** Ends both sides at once: the server's connection broke, or the client violates the protocol. */
  void abort(Outcome outcome, EndReason reason) {
    close(reason);
    client.reset();
    execution.end(outcome, null);
  }

  /** The client's connection was reset. */
  @Override
  public void connectionLost() {
    if (state != State.CLOSED) {
      close(EndReason.CLIENT_RESET);
      execution.reset();
    }
  }

  private void close(EndReason reason) {
    state = State.CLOSED;
    onEndReason.accept(reason);
    Timers.cancel(timer);
    healthCheck.stop();
    onClosed.run();
  }
}
