package lemondeal.proxy;

import java.util.ArrayDeque;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * The lines of one client that its server has not answered yet. Guards against a server that was cut off: its
 * connection stays open and brings nothing.
 */
final class Unanswered {
  private final Context context;
  private final Link link;
  private final Runnable silent;
  /** When they went out; bounded, since a client may send lines without end to a server that answers none. */
  private final ArrayDeque<Long> sent = new ArrayDeque<>();
  private Timers.Timer silence;

  /** {@code silent} is run when the oldest line has waited too long. */
  Unanswered(Context context, Link link, Runnable silent) {
    this.context = context;
    this.link = link;
    this.silent = silent;
  }

  void lineSent() {
    if (sent.size() < context.limits().unanswered()) {
      sent.add(context.now());
      if (sent.size() == 1) {
        arm();
      }
    }
  }

  /** Takes a line of the server as the answer to the oldest one, and returns how long that took, or -1. */
  long lineCame() {
    if (sent.isEmpty()) {
      return -1;
    }
    long took = context.now() - sent.poll();
    arm();
    return took;
  }

  private void arm() {
    stop();
    if (!sent.isEmpty()) {
      long waited = context.now() - sent.peek();
      silence = link.after(context.limits().silence() - waited, silent);
    }
  }

  void stop() {
    Timers.cancel(silence);
  }
}
