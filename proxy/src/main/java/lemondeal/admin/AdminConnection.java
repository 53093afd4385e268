package lemondeal.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;
import lemondeal.codec.LineParser;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Limits;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * One connection to the second address: a line, its reply, the end. It is bounded with the other callers until it
 * closes, also behind its reply: among the clients' lingering connections it would take the place of one of theirs.
 */
final class AdminConnection implements Link.Owner {
  private final Limits limits;
  private final Link link;
  private final EvictingSet<AdminConnection> connections;
  private final UnaryOperator<String> commandHandler;
  private final LineParser lines;
  private Timers.Timer timer;
  /** What is still to be sent of the reply; null before it. */
  private ByteBuffer reply;
  /** Bytes still read behind the call: none must be left when the connection closes, or it is reset. */
  private int discardBytesLeft;
  private boolean inputEnded;

  AdminConnection(Limits limits, Link link, EvictingSet<AdminConnection> connections, UnaryOperator<String> commandHandler) {
    this.limits = limits;
    this.link = link;
    this.connections = connections;
    this.commandHandler = commandHandler;
    lines = LineParser.acceptingBareLf(limits.maxAdminLineBytes());
    discardBytesLeft = limits.maxLingerBytes();
  }

  void start() {
    timer = link.after(limits.adminTimeout(), this::close);
    link.start(this);
    connections.add(this);
  }

  @Override
  public int receiveCapacity() {
    return reply == null ? limits.maxAdminLineBytes() : discardBytesLeft;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (reply == null) {
      readCommand(bytes);
    }
    discardBytesLeft -= bytes.remaining();
    bytes.position(bytes.limit());
  }

  private void readCommand(ByteBuffer bytes) {
    try {
      String line = lines.next(bytes);
      if (line != null) {
        startReply(commandHandler.apply(line));
      }
    } catch (ProtocolException e) {
      startReply("400 no line\r\n");
    }
  }

  private void startReply(String text) {
    reply = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    sendMore();
  }

  /** Sends as much of the reply as there is room for: the figures of many classes are longer than a ring. */
  private void sendMore() {
    while (reply.hasRemaining() && link.sendCapacity() > 0) {
      ByteBuffer part = reply.slice().limit(Math.min(link.sendCapacity(), reply.remaining()));
      reply.position(reply.position() + part.remaining());
      link.send(part);
    }
    if (!reply.hasRemaining()) {
      link.endSending();
      Timers.cancel(timer);
      timer = link.after(limits.lingerTimeout(), this::close);
      closeIfDone();
    }
  }

  private void closeIfDone() {
    if (inputEnded && !reply.hasRemaining() && link.isFlushed()) {
      close();
    }
  }

  /** Ends the connection. */
  void close() {
    Timers.cancel(timer);
    connections.remove(this);
    link.close();
  }

  @Override
  public void endOfInput() {
    inputEnded = true;
    if (reply == null) {
      close();
    } else {
      closeIfDone();
    }
  }

  @Override
  public void connectionLost() {
    close();
  }

  @Override
  public void flushed() {
    if (reply.hasRemaining()) {
      sendMore();
    }
    closeIfDone();
  }
}
