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
import lemondeal.net.Timers;

/** Probes one server, over one link that is kept for a while: each new connection costs the server work. */
final class Prober implements Link.Owner {
  private final Context context;
  private final String server;
  private final Runnable closed;
  private final ArrayDeque<Long> asked = new ArrayDeque<>();
  private final LineParser lines;
  private Dial dial;
  private Link link;
  private Timers.Timer timer;
  private boolean over;

  /** {@code closed} is run when this prober is of no more use. */
  Prober(Context context, String server, Runnable closed) {
    this.context = context;
    this.server = server;
    this.closed = closed;
    lines = new LineParser(context.limits().lineBytes());
  }

  void probe() {
    asked.add(context.now());
    if (link != null) {
      ask();
    } else if (dial == null) {
      open();
    }
  }

  private void open() {
    InetSocketAddress address = context.group().address(server);
    if (address == null) {
      context.net().later(() -> end(Outcome.NO_CONNECTION));
      return;
    }
    dial = context.net().dial(address, context.limits().dial(), opened -> {
      link = opened;
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
    arm(context.limits().probe(), Outcome.TIMED_OUT);
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
    Timers.cancel(timer);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null) {
      link.close();
    }
    closed.run();
    while (!asked.isEmpty()) {
      tell(outcome, null);
    }
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
    if (asked.size() == 1) {
      arm(context.limits().probeIdle(), Outcome.CANCELLED);
    }
    switch (line.kind()) {
      case PONG -> tell(Outcome.SERVED, Reports.read(line));
      case BUSY -> tell(Outcome.REFUSED, null);
      default -> tell(Outcome.ERROR, null);
    }
  }

  @Override
  public void ended() {
    end(Outcome.RESET);
  }

  @Override
  public void broken() {
    end(Outcome.RESET);
  }

  @Override
  public void flushed() {
    // The answer is awaited.
  }
}
