package lemondeal.proxy;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * The lines of one client that its server has not answered yet. Guards against a server that was cut off: its
 * connection stays open and brings nothing. Long before that is certain, the waiting itself is told as a delay: a
 * sound connection answers at once, and a server that hangs tells no delay of its own.
 */
final class ResponseTimeout {
  private final Context context;
  private final Link link;
  private final LongConsumer waiting;
  private final Runnable silent;
  /** When they went out; bounded, since a client may send lines without end to a server that answers none. */
  private final ArrayDeque<Long> sent = new ArrayDeque<>();
  private Timers.Timer silence;
  private boolean stopped;

  /**
   * @param waiting is told now and then how long the oldest line has waited, once that is long
   * @param silent is run when it has waited too long
   */
  ResponseTimeout(Context context, Link link, LongConsumer waiting, Runnable silent) {
    this.context = context;
    this.link = link;
    this.waiting = waiting;
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
    Timers.cancel(silence);
    if (!sent.isEmpty()) {
      silence = link.after(context.limits().unease() - waited(), this::uneasy);
    }
  }

  private long waited() {
    return context.now() - sent.peek();
  }

  /** Looks again a moment later: after a pause of the proxy itself the answer may be there, only not read. */
  private void uneasy() {
    silence = link.after(context.limits().moment(), this::tell);
  }

  private void tell() {
    long waited = waited();
    if (waited >= context.limits().silence()) {
      silent.run();
      return;
    }
    waiting.accept(waited);
    // What was told may have moved this very client.
    if (!stopped && !sent.isEmpty()) {
      long next = Math.min(context.limits().silence() - waited, context.limits().noteEvery());
      silence = link.after(next - context.limits().moment(), this::uneasy);
    }
  }

  void stop() {
    stopped = true;
    Timers.cancel(silence);
  }
}
