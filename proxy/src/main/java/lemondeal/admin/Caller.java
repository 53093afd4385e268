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
final class Caller implements Link.Owner {
  private final Limits limits;
  private final Link link;
  private final EvictingSet<Caller> callers;
  private final UnaryOperator<String> replies;
  private final LineParser lines;
  private Timers.Timer timer;
  /** What is still to be sent of the reply; null before it. */
  private ByteBuffer reply;
  /** Bytes still read behind the call: none must be left when the connection closes, or it is reset. */
  private int left;
  private boolean ended;

  Caller(Limits limits, Link link, EvictingSet<Caller> callers, UnaryOperator<String> replies) {
    this.limits = limits;
    this.link = link;
    this.callers = callers;
    this.replies = replies;
    lines = LineParser.ofEitherEnd(limits.adminLine());
    left = limits.lingerBytes();
  }

  void start() {
    timer = link.after(limits.adminCall(), this::drop);
    link.start(this);
    callers.enter(this);
  }

  @Override
  public int room() {
    return reply == null ? limits.adminLine() : left;
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (reply == null) {
      call(bytes);
    }
    left -= bytes.remaining();
    bytes.position(bytes.limit());
  }

  private void call(ByteBuffer bytes) {
    try {
      String line = lines.next(bytes);
      if (line != null) {
        answer(replies.apply(line));
      }
    } catch (ProtocolException e) {
      answer("400 no line\r\n");
    }
  }

  private void answer(String text) {
    reply = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    sendOn();
  }

  /** Sends as much of the reply as there is room for: the figures of many classes are longer than a ring. */
  private void sendOn() {
    while (reply.hasRemaining() && link.free() > 0) {
      ByteBuffer part = reply.slice().limit(Math.min(link.free(), reply.remaining()));
      reply.position(reply.position() + part.remaining());
      link.send(part);
    }
    if (!reply.hasRemaining()) {
      link.endSending();
      Timers.cancel(timer);
      timer = link.after(limits.linger(), this::drop);
      dropIfDone();
    }
  }

  private void dropIfDone() {
    if (ended && !reply.hasRemaining() && link.isFlushed()) {
      drop();
    }
  }

  /** Ends the connection. */
  void drop() {
    Timers.cancel(timer);
    callers.leave(this);
    link.close();
  }

  @Override
  public void ended() {
    ended = true;
    if (reply == null) {
      drop();
    } else {
      dropIfDone();
    }
  }

  @Override
  public void broken() {
    drop();
  }

  @Override
  public void flushed() {
    if (reply.hasRemaining()) {
      sendOn();
    }
    dropIfDone();
  }
}
