package lemondeal.proxy;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;
import lemondeal.net.Link;
import lemondeal.net.Timers;

/**
 * The lines of one client that its server has not answered yet. Guards against a server that was cut off from the
 * network: its connection stays open and delivers nothing. Long before that is certain, the wait itself is reported as
 * a delay: a healthy connection answers at once, and a server that hangs reports no delay of its own.
 */
final class ResponseTimeout {
  private final Context context;
  private final Link link;
  private final LongConsumer onWaiting;
  private final Runnable onSilent;
  /** When the lines were sent; bounded, since a client may send any number of lines to a server that answers none. */
  private final ArrayDeque<Long> sentTimes = new ArrayDeque<>();
  private Timers.Timer timer;
  /**
   * Time before this is not counted: the server's output could not be read, since the client's buffer had no space for
   * it. Protects a healthy server from clients that flood it and don't read: it was taken for slow, then for silent.
   */
  private long measuredFrom = Long.MIN_VALUE;
  private boolean stopped;

  /**
   * @param onWaiting receives now and then how long the oldest line has waited, once that is long
   * @param onSilent runs when it has waited too long
   */
  ResponseTimeout(Context context, Link link, LongConsumer onWaiting, Runnable onSilent) {
    this.context = context;
    this.link = link;
    this.onWaiting = onWaiting;
    this.onSilent = onSilent;
  }

  void lineSent() {
    if (sentTimes.size() < context.limits().maxUnanswered()) {
      sentTimes.add(context.now());
      if (sentTimes.size() == 1) {
        armTimer();
      }
    }
  }

  /**
   * Takes a line of the server as the answer to the oldest unanswered line, and returns how long that took, or -1 if
   * there is none or the client itself kept the answer waiting.
   */
  long lineReceived() {
    if (sentTimes.isEmpty()) {
      return -1;
    }
    long sentAt = sentTimes.poll();
    armTimer();
    return sentAt <= measuredFrom ? -1 : context.now() - sentAt;
  }

  private void armTimer() {
    Timers.cancel(timer);
    if (!sentTimes.isEmpty()) {
      timer = link.after(context.limits().slowAnswerDelay() - oldestWait(), this::scheduleCheck);
    }
  }

  private long oldestWait() {
    return context.now() - Math.max(sentTimes.peek(), measuredFrom);
  }

  /** Checks a moment later: after a pause of the proxy itself the answer may have arrived without being read yet. */
  private void scheduleCheck() {
    timer = link.after(context.limits().pauseAllowance(), this::checkOldestWait);
  }

  private void checkOldestWait() {
    if (!link.isFlushed()) {
      measuredFrom = context.now();
      armTimer();
      return;
    }
    long waited = oldestWait();
    if (waited >= context.limits().serverSilenceTimeout()) {
      onSilent.run();
      return;
    }
    onWaiting.accept(waited);
    // The module may have moved this very client because of the report.
    if (!stopped && !sentTimes.isEmpty()) {
      long nextCheck = Math.min(context.limits().serverSilenceTimeout() - waited,
          context.limits().delayReportInterval());
      timer = link.after(nextCheck - context.limits().pauseAllowance(), this::scheduleCheck);
    }
  }

  void stop() {
    stopped = true;
    Timers.cancel(timer);
  }
}
