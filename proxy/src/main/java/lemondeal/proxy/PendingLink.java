package lemondeal.proxy;

import java.nio.ByteBuffer;
import lemondeal.codec.LineParser;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * An accepted connection up to its first line. Answers {@code PING}; makes a {@link ClientLink} of a client whose
 * line can be used, and sends away everybody else, soon: whatever comes is owed an answer or an end.
 */
final class PendingLink implements Link.Owner {
  /** The longest answer that may be owed behind those to {@code PING}, and what a cut line may still add. */
  private static final int RESERVED_ANSWER_BYTES = 64;

  private final Context context;
  private final AdmissionControl admission;
  private final EvictingSet<PendingLink> pending;
  private final Link link;
  private final LineParser lineParser;
  private Timers.Timer timer;
  private boolean pinged;
  private boolean closed;

  PendingLink(Context context, AdmissionControl admission, EvictingSet<PendingLink> pending, Link link) {
    this.context = context;
    this.admission = admission;
    this.pending = pending;
    this.link = link;
    lineParser = new LineParser(context.limits().maxLineBytes());
  }

  void start() {
    timer = link.after(context.limits().firstLineTimeout(), this::firstLineTimedOut);
    link.start(this);
    pending.add(this);
  }

  /**
   * A {@code PONG} is as long as its {@code PING}, so that the answers always fit. Guards against a client that
   * asks at full speed and does not read: its ring was overrun.
   */
  @Override
  public int receiveCapacity() {
    return Math.min(context.limits().maxLineBytes(), link.sendCapacity() - RESERVED_ANSWER_BYTES);
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      while (!closed && bytes.hasRemaining()) {
        String line = lineParser.next(bytes);
        if (line != null) {
          handleFirstLine(line, bytes.hasRemaining());
        }
      }
    } catch (ProtocolException e) {
      removeFromPending();
      context.answers().rejectUnreadable(link);
    }
    bytes.position(bytes.limit());
  }

  private void handleFirstLine(String line, boolean moreFollows) throws ProtocolException {
    if (line.equals("PING")) {
      if (!admission.isOpen()) {
        // Whoever asks whether to send clients here is not to; a request behind it is answered with that.
        removeFromPending();
        context.answers().endWithoutRequest(link, EndReason.STOPPING);
        return;
      }
      pinged = true;
      link.send("PONG\r\n");
      return;
    }
    OpenLine openLine = OpenLine.parse(line);
    // The connection may have come under other settings than its request does.
    Context current = context.newest();
    int requestClass = current.config().names().classes().indexOf(openLine.value("c"));
    if (requestClass < 0) {
      throw new ProtocolException("unknown class " + openLine.value("c"));
    }
    removeFromPending();
    if (moreFollows || admission.isIdInUse(openLine.id())) {
      // A client waits behind its first line; and nobody else may use the id of an open request.
      current.answers().sendFailure(link, requestClass, openLine.id(), EndReason.BAD_FIRST_LINE);
    } else if (!admission.canAdmit()) {
      EndReason reason = admission.isOpen() ? EndReason.NO_ROOM : EndReason.STOPPING;
      current.answers().sendBusy(link, requestClass, current.limits().throttleRetryAfter(), openLine.id(), reason);
    } else {
      new ClientLink(current, admission, link, openLine, requestClass).start();
      pending.trim();
    }
  }

  /** It has rested for too long. */
  private void firstLineTimedOut() {
    endWithoutRequest(EndReason.RESTED);
  }

  /**
   * Leaves for others that come. Guards against usual clients that come in a burst: they are accepted by the hundred
   * before the first of them is read.
   */
  void evict() {
    endWithoutRequest(EndReason.EVICTED);
  }

  /** The process ends. */
  void endNow() {
    endWithoutRequest(EndReason.STOPPING);
  }

  /**
   * Ends a connection that has sent no request, unless it has come in the meantime. Guards a client whose first line is
   * under way just then: what it gets must be an answer, and a true one, since nothing that comes behind it is sent on.
   * Who asks with PING is told nothing else.
   */
  private void endWithoutRequest(EndReason reason) {
    link.readNow();
    if (closed) {
      return;
    }
    if (pinged) {
      endSilently(reason);
    } else {
      removeFromPending();
      context.answers().endWithoutRequest(link, reason);
    }
  }

  /** Ends the connection without a word, but such that what was answered to {@code PING} arrives. */
  private void endSilently(EndReason reason) {
    context.trace().ended(null, reason);
    removeFromPending();
    link.closeGracefully();
  }

  private void removeFromPending() {
    closed = true;
    Timers.cancel(timer);
    pending.remove(this);
  }

  @Override
  public void endOfInput() {
    endSilently(EndReason.ENDED_BEFORE_LINE);
  }

  @Override
  public void connectionLost() {
    context.trace().ended(null, EndReason.ENDED_BEFORE_LINE);
    removeFromPending();
  }

  @Override
  public void flushed() {
    link.resumeReads();
  }
}
