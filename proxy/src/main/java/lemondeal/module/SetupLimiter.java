package lemondeal.module;

import java.util.ArrayDeque;
import lemondeal.Balancer.Outcome;

/** How many set-ups are out at once, and how long one takes: guards the store or fleet behind them all. */
final class SetupLimiter {
  private static final double SLOW_RATIO = 4; // times the usual: all then wait for something shared
  private static final double RECENT_TIME_GAIN = 0.3; // weight of the newest in the present time
  private static final double USUAL_TIME_GAIN = 0.02; // and in the usual one
  private static final long RECENT_TIME_HALF_LIFE = 2_000_000; // of the present time, once nothing is learnt
  private static final double MAX_DEADLINE_SHARE = 0.7; // share of the deadline that it holds back at most
  private static final double FALLBACK_TIMEOUT_SHARE = 0.6; // share of the time left, where a fallback still fits
  private static final double INITIAL_LIMIT = 4; // out at once before one fails; sound ones are short
  private static final double MAX_LIMIT = 32;
  private static final double LIMIT_DECREASE_FACTOR = 0.7; // factor after one failed late or by error
  private static final long FIRST_BACKOFF = 50_000; // once all fail one by one; doubles
  private static final long MAX_BACKOFF = 1_000_000;
  private static final long TIMEOUT_BACKOFF_PER_NODE = 20_000; // once they time out, for each node; doubles
  private static final int MAX_TIMEOUT_BACKOFF_DOUBLINGS = 3;

  private final NodeState node;
  private double limit = INITIAL_LIMIT;
  int inFlight;
  long backoffUntil = NodeState.NEVER;
  private int failuresAtMinimum;
  private int timeoutCount; // time-outs in a row, each at another server, with one out at once; fewer as some come up
  private Server lastTimeoutServer; // the last of those
  private double recentTime;
  private double usualTime;
  private long recentTimeAt = NodeState.NEVER;
  final ArrayDeque<RequestState> queue = new ArrayDeque<>(); // of those that wait for a set-up

  SetupLimiter(NodeState node) {
    this.node = node;
  }

  boolean mayStart() {
    return inFlight < limit && node.now >= backoffUntil;
  }

  void succeeded(long elapsed) {
    inFlight--;
    adjustLimit(elapsed <= SLOW_RATIO * usualTime || usualTime == 0);
    recordTime(elapsed);
  }

  void failed(Server server, Outcome outcome, long elapsed) {
    inFlight--;
    if (outcome == Outcome.ERROR || outcome == Outcome.TIMED_OUT) {
      adjustLimit(false);
    }
    if (outcome == Outcome.TIMED_OUT) {
      recordTime(elapsed);
      timeoutCount = Math.min(MAX_TIMEOUT_BACKOFF_DOUBLINGS + 2, limit == 1 && server != lastTimeoutServer ? timeoutCount + 1 : timeoutCount);
      lastTimeoutServer = server;
      backOffAfterTimeouts();
    }
  }

  /** The more fail, the fewer a node has out at once. */
  private void adjustLimit(boolean success) {
    if (success) {
      limit = timeoutCount > 1 ? limit : Math.min(MAX_LIMIT, limit + 1 / limit);
      failuresAtMinimum = 0;
      backoffUntil = NodeState.NEVER;
      timeoutCount /= 2;
      backOffAfterTimeouts();
      return;
    }
    limit = Math.max(1, limit * LIMIT_DECREASE_FACTOR);
    if (limit == 1) {
      long backoff = Math.min(MAX_BACKOFF, FIRST_BACKOFF << Math.min(10, failuresAtMinimum++));
      backoffUntil = node.now + backoff / 2 + node.random.nextLong(backoff);
    }
  }

  /** What is behind set-ups serves all nodes and works on what was given up, too: the more nodes, the longer
   * each leaves it alone. One try at a time at each of a hundred kept it full of those for seconds. */
  private void backOffAfterTimeouts() {
    long backoff = TIMEOUT_BACKOFF_PER_NODE * node.settings.nodeCount() << Math.max(0, timeoutCount - 2);
    if (timeoutCount > 1 && backoff > MAX_BACKOFF / 2) {
      backoffUntil = Math.max(backoffUntil, node.now + backoff / 4 + node.random.nextLong(backoff / 2));
    }
  }

  private void recordTime(long elapsed) {
    recentTime = recentTime == 0 ? elapsed : recentTime + RECENT_TIME_GAIN * (elapsed - recentTime);
    usualTime = usualTime == 0 ? elapsed : usualTime + USUAL_TIME_GAIN * (elapsed - usualTime);
    recentTimeAt = node.now;
  }

  /** Time of a set-up at present. One that cannot end in time would only fill the queue of what is behind. */
  double expectedTime(RequestState request) {
    if (request.requestClass == null) {
      return 0;
    }
    double decay = StrictMath.pow(0.5, (double) (node.now - recentTimeAt) / RECENT_TIME_HALF_LIFE);
    return Math.min(recentTime * decay, request.requestClass.deadline() * MAX_DEADLINE_SHARE);
  }

  /** Leaves time for a fallback, but not little: set-ups given up early stay in queues and keep them full. A
   * repeat has until its window ends: its dial may be slow, and what reaches the server later counts anew. */
  long timeout(RequestState request, long timeLeft) {
    boolean useAllTimeLeft = request.triedServers.size() >= node.settings.limits().maxAttempts() || request.requestClass == null
        || timeLeft <= 2 * request.requestClass.latencyTarget() || timeLeft * FALLBACK_TIMEOUT_SHARE < expectedTime(request);
    long repeatTime = request.remainingRepeatTime(node.now);
    return useAllTimeLeft && repeatTime >= timeLeft ? 0 : (long) Math.min(repeatTime, useAllTimeLeft ? timeLeft : timeLeft * FALLBACK_TIMEOUT_SHARE);
  }
}
