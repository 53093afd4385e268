package lemondeal.admin;

import java.nio.ByteBuffer;
import java.util.function.UnaryOperator;
import lemondeal.codec.LineParser;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Limits;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/** One connection to the second address: a line, its reply, the end. */
final class Caller implements Link.Owner {
  private final Limits limits;
  private final Link link;
  private final EvictingSet<Caller> callers;
  private final UnaryOperator<String> replies;
  private final LineParser lines;
  private Timers.Timer timer;

  Caller(Limits limits, Link link, EvictingSet<Caller> callers, UnaryOperator<String> replies) {
    this.limits = limits;
    this.link = link;
    this.callers = callers;
    this.replies = replies;
    lines = LineParser.ofEitherEnd(limits.adminLine());
  }

  void start() {
    timer = link.after(limits.adminCall(), this::drop);
    link.start(this);
    callers.enter(this);
  }

  @Override
  public int room() {
    return limits.adminLine();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      String line = lines.next(bytes);
      if (line != null) {
        answer(replies.apply(line));
      }
    } catch (ProtocolException e) {
      answer("400 no line\r\n");
    }
    bytes.position(bytes.limit());
  }

  private void answer(String reply) {
    leave();
    link.send(reply);
    link.finish();
  }

  /** Ends the connection without a word. */
  void drop() {
    leave();
    link.close();
  }

  private void leave() {
    Timers.cancel(timer);
    callers.leave(this);
  }

  @Override
  public void ended() {
    drop();
  }

  @Override
  public void broken() {
    drop();
  }

  @Override
  public void flushed() {
    // The reply goes out with the end of the connection.
  }
}
