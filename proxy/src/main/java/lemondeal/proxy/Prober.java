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
 * Probes one server, over one link that is kept for a while: each new connection costs the server work. Such links are
 * bounded together; a probe for which there is no place is told as not sent, which says nothing of the server.
 */
final class Prober implements Link.Owner, LinkPool.Holder {
  private final Context context;
  private final String server;
  private final Runnable closed;
  /** When the probes were asked for that are not answered yet. */
  private final ArrayDeque<Long> asked = new ArrayDeque<>();
  private LineParser lines;
  private Dial dial;
  private Link link;
  private long openedAt;
  private Timers.Timer timer;
  /** Whether the link has a place in the pool. */
  private boolean placed;
  /** Whether the link has brought an answer already: then its server may have ended it as a probe went out. */
  private boolean proven;
  private boolean over;

  /** {@code closed} is run when this prober is of no more use. */
  Prober(Context context, String server, Runnable closed) {
    this.context = context;
    this.server = server;
    this.closed = closed;
  }

  void probe() {
    asked.add(context.now());
    if (link != null) {
      pool().busy(this);
      ask();
    } else if (dial == null) {
      open();
    }
  }

  private LinkPool pool() {
    return context.net().probeLinks();
  }

  private void open() {
    InetSocketAddress address = context.group().address(server);
    if (address == null) {
      context.net().later(() -> end(Outcome.NO_CONNECTION));
      return;
    }
    placed = placed || pool().take();
    if (!placed) {
      context.net().later(() -> end(Outcome.NOT_SENT));
      return;
    }
    lines = new LineParser(context.limits().lineBytes());
    dial = context.net().dial(address, context.limits().dial(), opened -> {
      link = opened;
      openedAt = context.now();
      link.start(this);
      for (int i = asked.size(); i > 0 && !over; i--) {
        ask();
      }
    }, () -> end(Outcome.NO_CONNECTION));
  }

  private void ask() {
    if (link.free() < context.limits().lineBytes()) {
      end(Outcome.TIMED_OUT);
      return;
    }
    link.send("STATS\r\n");
    awaitAnswer();
  }

  /**
   * Waits for the answer that is due first. Guards against a server that hangs and is asked again before the time is
   * up: counted from the last probe, the time never was.
   */
  private void awaitAnswer() {
    arm(Math.max(asked.peek(), openedAt) + context.limits().probe() - context.now(), Outcome.TIMED_OUT);
  }

  private void arm(long micros, Outcome outcome) {
    Timers.cancel(timer);
    timer = context.timers().after(micros, () -> end(outcome));
  }

  /** Ends the link; probes still out are told this outcome. */
  void end(Outcome outcome) {
    if (over) {
      return;
    }
    over = true;
    disconnect();
    if (placed) {
      pool().release(this);
    }
    closed.run();
    while (!asked.isEmpty()) {
      tell(outcome, null);
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
  public void giveUp() {
    end(Outcome.CANCELLED);
  }

  private void tell(Outcome outcome, LoadReport report) {
    context.decisions().tell(new ProbeResult(server, outcome, context.now() - asked.poll(), report));
  }

  @Override
  public int room() {
    return context.limits().lineBytes();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      for (String line = lines.next(bytes); line != null && !over; line = lines.next(bytes)) {
        answered(ServerLine.parse(line));
      }
    } catch (ProtocolException e) {
      end(Outcome.ERROR);
    }
    bytes.position(bytes.limit());
  }

  private void answered(ServerLine line) {
    if (asked.isEmpty()) {
      end(Outcome.ERROR);
      return;
    }
    proven = true;
    if (asked.size() == 1) {
      pool().idle(this);
      arm(context.limits().probeIdle(), Outcome.CANCELLED);
    }
    switch (line.kind()) {
      case PONG -> tell(Outcome.SERVED, Reports.read(line));
      case BUSY -> tell(Outcome.REFUSED, null);
      default -> tell(Outcome.ERROR, null);
    }
    if (!over && !asked.isEmpty()) {
      awaitAnswer();
    }
  }

  @Override
  public void ended() {
    lost();
  }

  @Override
  public void broken() {
    lost();
  }

  /**
   * Guards the server that closes an idle link as a probe is written to it: the probe is made anew, once, on a link of
   * its own, and only what comes of that is told.
   */
  private void lost() {
    if (proven && !asked.isEmpty()) {
      proven = false;
      disconnect();
      open();
    } else {
      end(Outcome.RESET);
    }
  }

  @Override
  public void flushed() {
    // The answer is awaited.
  }
}
