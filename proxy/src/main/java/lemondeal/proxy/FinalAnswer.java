package lemondeal.proxy;

import lemondeal.figures.RequestCounters;
import lemondeal.net.Link;

/** The final answers that this proxy gives itself: the one place where they are sent, and so where they are counted. */
final class FinalAnswer {
  private static final long MICROS_PER_MILLI = 1000;
  private static final String FAILED = "ERR\r\n";
  private static final String THROTTLED = "BUSY\r\n";

  private final RequestCounters counters;
  private final RequestTrace trace;

  FinalAnswer(RequestCounters counters, RequestTrace trace) {
    this.counters = counters;
    this.trace = trace;
  }

  /** Throttles: a retry is harmless, after this time if it is not 0. */
  void sendBusy(Link link, int requestClass, long retryAfterMicros, String id, EndReason reason) {
    trace.ended(id, reason);
    counters.countRefused(requestClass);
    sendAndClose(link, retryAfterMicros <= 0 ? THROTTLED
        : "BUSY " + (retryAfterMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI + "\r\n");
  }

  void sendFailure(Link link, int requestClass, String id, EndReason reason) {
    sendFailure(link, requestClass, FAILED, id, reason);
  }

  /** Sends a line other than BUSY: any such line tells a client that its request has failed. */
  void sendFailure(Link link, int requestClass, String line, String id, EndReason reason) {
    trace.ended(id, reason);
    counters.countFailed(requestClass);
    sendAndClose(link, line);
  }

  /** Answers a client whose class can't be determined, so that it is counted in none. */
  void rejectUnreadable(Link link) {
    trace.ended(null, EndReason.BAD_FIRST_LINE);
    sendAndClose(link, FAILED);
  }

  /** Ends a connection that has sent no request; should one be on its way, a retry is harmless. */
  void endWithoutRequest(Link link, EndReason reason) {
    trace.ended(null, reason);
    sendAndClose(link, THROTTLED);
  }

  private static void sendAndClose(Link link, String line) {
    link.send(line);
    link.closeGracefully();
  }
}
