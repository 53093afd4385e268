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
 * One connection to the admin endpoint: reads one command, sends one reply and closes. It counts towards the endpoint's
 * limit until it is closed, also after its reply: in the set of lingering client links it would displace one of them.
 */
final class AdminConnection implements Link.Owner {
  private final Limits limits;
  private final Link link;
  private final EvictingSet<AdminConnection> connections;
  private final UnaryOperator<String> commandHandler;
  private final LineParser lines;
  private Timers.Timer timer;
  /** The part of the reply still to be sent; null before the reply. */
  private ByteBuffer reply;
  /** Bytes still read and discarded after the command: a close with unread bytes would reset the connection. */
  private int discardBytesLeft;
  private boolean inputEnded;

  AdminConnection(Limits limits, Link link, EvictingSet<AdminConnection> connections,
      UnaryOperator<String> commandHandler) {
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

  /** Sends as much of the reply as fits: the metrics of many classes are larger than a ring buffer. */
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
