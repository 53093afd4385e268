package lemondeal.module;

import java.util.ArrayDeque;
import lemondeal.Balancer.Outcome;

/** How many set-ups are out at once, and how long one takes: guards the store or fleet behind them all. */
final class Setups {
  private static final double SETUPS_SLOW = 4; // times the usual: all then wait for something shared
  private static final double SETUP_GAIN = 0.3; // weight of the newest in the present time
  private static final double SETUP_USUAL_GAIN = 0.02; // and in the usual one
  private static final long SETUP_HALF_LIFE = 2_000_000; // of the present time, once nothing is learnt
  private static final double SETUP_MOST = 0.7; // share of the deadline that it holds back at most
  private static final double PATIENCE = 0.6; // share of the time left, where a fallback still fits
  private static final double SETUPS_FIRST = 4; // out at once before one fails; sound ones are short
  private static final double SETUPS_MOST = 32;
  private static final double SETUPS_CUT = 0.7; // factor after one failed late or by error
  private static final long SETUP_PAUSE = 50_000; // once all fail one by one; doubles
  private static final long SETUP_PAUSE_MOST = 1_000_000;
  private static final long LATE_PAUSE_PER_NODE = 20_000; // once they time out, for each node; doubles
  private static final int LATE_DOUBLINGS = 3;

  private final Node node;
  private double allowed = SETUPS_FIRST;
  int out;
  long heldUntil = Node.NEVER;
  private int failures;
  private int late; // time-outs in a row, each at another server, with one out at once; fewer as some come up
  private Server lateAt; // the last of those
  private double present;
  private double usual;
  private long learntAt = Node.NEVER;
  final ArrayDeque<Flow> queue = new ArrayDeque<>(); // of those that wait for a set-up

  Setups(Node node) {
    this.node = node;
  }

  boolean mayStart() {
    return out < allowed && node.now >= heldUntil;
  }

  void succeeded(long elapsed) {
    out--;
    count(elapsed <= SETUPS_SLOW * usual || usual == 0);
    took(elapsed);
  }

  void failed(Server s, Outcome outcome, long elapsed) {
    out--;
    if (outcome == Outcome.ERROR || outcome == Outcome.TIMED_OUT) {
      count(false);
    }
    if (outcome == Outcome.TIMED_OUT) {
      took(elapsed);
      late = Math.min(LATE_DOUBLINGS + 2, allowed == 1 && s != lateAt ? late + 1 : late);
      lateAt = s;
      leaveAlone();
    }
  }

  /** The more fail, the fewer a node has out at once. */
  private void count(boolean good) {
    if (good) {
      allowed = late > 1 ? allowed : Math.min(SETUPS_MOST, allowed + 1 / allowed);
      failures = 0;
      heldUntil = Node.NEVER;
      late /= 2;
      leaveAlone();
      return;
    }
    allowed = Math.max(1, allowed * SETUPS_CUT);
    if (allowed == 1) {
      long pause = Math.min(SETUP_PAUSE_MOST, SETUP_PAUSE << Math.min(10, failures++));
      heldUntil = node.now + pause / 2 + node.random.nextLong(pause);
    }
  }

  /** What is behind set-ups serves all nodes and works on what was given up, too: the more nodes, the longer
   * each leaves it alone. One try at a time at each of a hundred kept it full of those for seconds. */
  private void leaveAlone() {
    long pause = LATE_PAUSE_PER_NODE * node.settings.nodes() << Math.max(0, late - 2);
    if (late > 1 && pause > SETUP_PAUSE_MOST / 2) {
      heldUntil = Math.max(heldUntil, node.now + pause / 4 + node.random.nextLong(pause / 2));
    }
  }

  private void took(long elapsed) {
    present = present == 0 ? elapsed : present + SETUP_GAIN * (elapsed - present);
    usual = usual == 0 ? elapsed : usual + SETUP_USUAL_GAIN * (elapsed - usual);
    learntAt = node.now;
  }

  /** Time of a set-up at present. One that cannot end in time would only fill the queue of what is behind. */
  double expected(Flow flow) {
    if (flow.type == null) {
      return 0;
    }
    double fade = StrictMath.pow(0.5, (double) (node.now - learntAt) / SETUP_HALF_LIFE);
    return Math.min(present * fade, flow.type.deadline() * SETUP_MOST);
  }

  /** Leaves time for a fallback, but not little: set-ups given up early stay in queues and keep them full. A
   * repeat has until its window ends: its dial may be slow, and what reaches the server later counts anew. */
  long timeout(Flow flow, long left) {
    boolean all = flow.tried.size() >= node.settings.limits().maxAttempts() || flow.type == null
        || left <= 2 * flow.type.aim() || left * PATIENCE < expected(flow);
    long window = flow.mayRepeatFor(node.now);
    return all && window >= left ? 0 : (long) Math.min(window, all ? left : left * PATIENCE);
  }
}
