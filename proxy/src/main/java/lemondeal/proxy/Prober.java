package lemondeal.proxy;

import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.ProbeResult;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import lemondeal.codec.LineParser;
import lemondeal.codec.ProtocolException;
import lemondeal.codec.ServerLine;
import lemondeal.net.Dial;
import lemondeal.net.Link;
import lemondeal.net.LinkPool;
import lemondeal.net.Timers;

/**
 * Probes one server, over one link that is kept for a while: each new connection costs the server work. The number of
 * such links is bounded; a probe for which no place is free is reported as not sent, which says nothing about the
 * server.
 */
final class Prober implements Link.Owner, LinkPool.Holder {
  private final Context context;
  private final String server;
  private final Runnable onClosed;
  /** Start times of the probes that are not answered yet. */
  private final ArrayDeque<Long> probeStarts = new ArrayDeque<>();
  private LineParser lineParser;
  private Dial dial;
  private Link link;
  private long openedAt;
  private Timers.Timer timer;
  /** Whether the link holds a place in the pool. */
  private boolean inPool;
  /** Whether the link has delivered an answer before: its server may then close it just as a probe goes out. */
  private boolean hasAnswered;
  private boolean closed;

  /** {@code onClosed} runs when this prober can no longer be used. */
  Prober(Context context, String server, Runnable onClosed) {
    this.context = context;
    this.server = server;
    this.onClosed = onClosed;
  }

  void probe() {
    probeStarts.add(context.now());
    if (link != null) {
      pool().markBusy(this);
      sendProbe();
    } else if (dial == null) {
      connect();
    }
  }

  private LinkPool pool() {
    return context.net().probeLinks();
  }

  private void connect() {
    InetSocketAddress address = context.group().address(server);
    if (address == null) {
      context.net().execute(() -> end(Outcome.NO_CONNECTION));
      return;
    }
    inPool = inPool || pool().acquire();
    if (!inPool) {
      context.net().execute(() -> end(Outcome.NOT_SENT));
      return;
    }
    lineParser = new LineParser(context.limits().maxLineBytes());
    dial = context.net().dial(address, context.limits().connectTimeout(), opened -> {
      link = opened;
      openedAt = context.now();
      link.start(this);
      for (int i = probeStarts.size(); i > 0 && !closed; i--) {
        sendProbe();
      }
    }, () -> end(Outcome.NO_CONNECTION));
  }

  private void sendProbe() {
    if (link.sendCapacity() < context.limits().maxLineBytes()) {
      end(Outcome.TIMED_OUT);
      return;
    }
    link.send("STATS\r\n");
    armAnswerTimeout();
  }

  /**
   * Arms the timeout of the oldest unanswered probe. Guards against a server that hangs and is probed again before the
   * timeout: counted from the last probe, it never expired.
   */
  private void armAnswerTimeout() {
    armTimer(Math.max(probeStarts.peek(), openedAt) + context.limits().probeTimeout() - context.now(),
        Outcome.TIMED_OUT);
  }

  private void armTimer(long micros, Outcome outcome) {
    Timers.cancel(timer);
    timer = context.timers().after(micros, () -> end(outcome));
  }

  /** Ends the link; unanswered probes are reported with this outcome. */
  void end(Outcome outcome) {
    if (closed) {
      return;
    }
    closed = true;
    disconnect();
    if (inPool) {
      pool().release(this);
    }
    onClosed.run();
    while (!probeStarts.isEmpty()) {
      reportResult(outcome, null);
    }
  }

  private void disconnect() {
    Timers.cancel(timer);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null) {
      link.close();
    }
    dial = null;
    link = null;
  }

  @Override
  public void evict() {
    end(Outcome.CANCELLED);
  }

  private void reportResult(Outcome outcome, LoadReport report) {
    context.dispatcher().dispatch(new ProbeResult(server, outcome, context.now() - probeStarts.poll(), report));
  }

  @Override
  public int receiveCapacity() {
    return context.limits().maxLineBytes();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      for (String line = lineParser.next(bytes); line != null && !closed; line = lineParser.next(bytes)) {
        handleAnswer(ServerLine.parse(line));
      }
    } catch (ProtocolException e) {
      end(Outcome.ERROR);
    }
    bytes.position(bytes.limit());
  }

  private void handleAnswer(ServerLine line) {
    if (probeStarts.isEmpty()) {
      end(Outcome.ERROR);
      return;
    }
    hasAnswered = true;
    if (probeStarts.size() == 1) {
      pool().markIdle(this);
      armTimer(context.limits().probeLinkIdleTimeout(), Outcome.CANCELLED);
    }
    switch (line.kind()) {
      case PONG -> reportResult(Outcome.SERVED, LoadReportParser.parse(line));
      case BUSY -> reportResult(Outcome.REFUSED, null);
      default -> reportResult(Outcome.ERROR, null);
    }
    if (!closed && !probeStarts.isEmpty()) {
      armAnswerTimeout();
    }
  }

  @Override
  public void endOfInput() {
    handleConnectionLost();
  }

  @Override
  public void connectionLost() {
    handleConnectionLost();
  }

  /**
   * Handles a server that closes an idle link as a probe is written to it: the probe is repeated, once, on a new link,
   * and only the result of that is reported.
   */
  private void handleConnectionLost() {
    if (hasAnswered && !probeStarts.isEmpty()) {
      hasAnswered = false;
      disconnect();
      connect();
    } else {
      end(Outcome.RESET);
    }
  }

  @Override
  public void flushed() {
    // Nothing to do: the answer is awaited.
  }
}
