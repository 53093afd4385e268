package lemondeal.module;

import java.util.ArrayDeque;
import lemondeal.Balancer.Outcome;

/** Adaptive limit (AIMD) on connection set-ups in flight, and estimate of their duration. Protects the store
 * or servers that all set-ups depend on. */
final class SetupLimiter {
  private static final double SLOW_RATIO = 4; // times the usual time: then all wait for a shared resource
  private static final double RECENT_TIME_GAIN = 0.3; // weight of the newest sample in the recent time
  private static final double USUAL_TIME_GAIN = 0.02; // the same in the usual time
  private static final long RECENT_TIME_HALF_LIFE = 2_000_000; // without new samples
  private static final double MAX_DEADLINE_SHARE = 0.7; // of the deadline: cap of the expected time
  private static final double FALLBACK_TIMEOUT_SHARE = 0.6; // of the time left, where a fallback still fits
  private static final double INITIAL_LIMIT = 4; // before any has failed; successful set-ups are short
  private static final double MAX_LIMIT = 32;
  private static final double LIMIT_DECREASE_FACTOR = 0.7; // after a timeout, an error or a slow success
  private static final long FIRST_BACKOFF = 50_000; // when even single set-ups fail; doubles
  private static final long MAX_BACKOFF = 1_000_000;
  private static final long TIMEOUT_BACKOFF_PER_NODE = 20_000; // after repeated timeouts, per node; doubles
  private static final int MAX_TIMEOUT_BACKOFF_DOUBLINGS = 3;

  private final NodeState node;
  private double limit = INITIAL_LIMIT;
  int inFlight;
  long backoffUntil = NodeState.NEVER;
  private int failuresAtMinimum;
  // Timeouts in a row at a limit of one, each at another server; halved by each success.
  private int timeoutCount;
  private Server lastTimeoutServer;
  private double recentTime;
  private double usualTime;
  private long recentTimeAt = NodeState.NEVER;
  final ArrayDeque<RequestState> queue = new ArrayDeque<>(); // requests that wait for a set-up

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
      timeoutCount = Math.min(MAX_TIMEOUT_BACKOFF_DOUBLINGS + 2,
          limit == 1 && server != lastTimeoutServer ? timeoutCount + 1 : timeoutCount);
      lastTimeoutServer = server;
      backOffAfterTimeouts();
    }
  }

  /** Additive increase on success, multiplicative decrease on failure. */
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

  /** The resource behind set-ups serves all nodes and also works on abandoned set-ups, so each node backs off
   * longer the more nodes there are. One set-up at a time from each of a hundred nodes kept it busy with
   * abandoned ones for seconds. */
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

  /** Expected time of a set-up now. One that cannot end in time would only fill the backend's queue. */
  double expectedTime(RequestState request) {
    if (request.requestClass == null) {
      return 0;
    }
    double decay = StrictMath.pow(0.5, (double) (node.now - recentTimeAt) / RECENT_TIME_HALF_LIFE);
    return Math.min(recentTime * decay, request.requestClass.deadline() * MAX_DEADLINE_SHARE);
  }

  /** Leaves time for a fallback, but does not time out early: abandoned set-ups stay in queues and keep them
   * full. A retry times out when its deduplication window ends: its dial may be slow, and the server would
   * execute again what reaches it later. */
  long timeout(RequestState request, long timeLeft) {
    boolean useAllTimeLeft = request.triedServers.size() >= node.settings.limits().maxAttempts()
        || request.requestClass == null || timeLeft <= 2 * request.requestClass.latencyTarget()
        || timeLeft * FALLBACK_TIMEOUT_SHARE < expectedTime(request);
    long repeatTime = request.remainingRepeatTime(node.now);
    return useAllTimeLeft && repeatTime >= timeLeft ? 0
        : (long) Math.min(repeatTime, useAllTimeLeft ? timeLeft : timeLeft * FALLBACK_TIMEOUT_SHARE);
  }
}
