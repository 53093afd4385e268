package lemondeal.proxy;

import java.nio.ByteBuffer;
import lemondeal.codec.LineParser;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * An accepted connection until its first line. Answers {@code PING}; creates a {@link ClientLink} for a client whose
 * first line is usable, and ends any other connection soon: each is owed an answer or an end.
 */
final class PendingLink implements Link.Owner {
  /**
   * Space for the longest answer that may follow those to {@code PING}, and for what the rest of a partial line may
   * add.
   */
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
   * A {@code PONG} is as long as its {@code PING}, so that the answers always fit. Guards against a client that sends
   * at full speed and does not read: its ring buffer overflowed.
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
        // A PING asks whether clients may be sent here: they may not. A request that follows it gets this answer.
        removeFromPending();
        context.answers().endWithoutRequest(link, EndReason.STOPPING);
        return;
      }
      pinged = true;
      link.send("PONG\r\n");
      return;
    }
    OpenLine openLine = OpenLine.parse(line);
    // The connection may have been accepted under other settings than its request.
    Context current = context.newest();
    int requestClass = current.config().names().classes().indexOf(openLine.value("c"));
    if (requestClass < 0) {
      throw new ProtocolException("unknown class " + openLine.value("c"));
    }
    removeFromPending();
    if (moreFollows) {
      // A client must wait after its first line.
      current.answers().sendFailure(link, requestClass, openLine.id(), EndReason.BAD_FIRST_LINE);
    } else {
      admit(current, openLine, requestClass);
    }
  }

  private void admit(Context current, OpenLine openLine, int requestClass) {
    RequestIds.Reservation idReservation = admission.reserveId(openLine);
    if (idReservation == null) {
      current.answers().sendFailure(link, requestClass, openLine.id(), EndReason.ID_IN_USE);
    } else if (!admission.canAdmit()) {
      idReservation.release();
      EndReason reason = admission.isOpen() ? EndReason.NO_ROOM : EndReason.STOPPING;
      current.answers().sendBusy(link, requestClass, current.limits().throttleRetryAfter(), openLine.id(), reason);
    } else {
      new ClientLink(current, admission, link, openLine, idReservation, requestClass).start();
      pending.trim();
    }
  }

  /** The first line did not arrive in time. */
  private void firstLineTimedOut() {
    endWithoutRequest(EndReason.RESTED);
  }

  /**
   * Gives way to newer connections. Guards against bursts of ordinary clients: they are accepted by the hundred before
   * the first of them is read.
   */
  void evict() {
    endWithoutRequest(EndReason.EVICTED);
  }

  /** The process exits. */
  void endNow() {
    endWithoutRequest(EndReason.STOPPING);
  }

  /**
   * Ends a connection that has sent no request, unless one has arrived in the meantime. Protects a client whose first
   * line is just arriving: it must get an answer, and a true one, since nothing that follows is forwarded. A client
   * that has sent PING gets no further answer.
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

  /** Ends the connection without a final line, but such that the answers to {@code PING} are still delivered. */
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
