package lemondeal.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A simulated discovery that serves calls one at a time on a simulated clock: each takes a fixed service time, a call
 * that waits too long in the queue fails, and while discovery is down every call is refused at once. Times are in
 * microseconds.
 */
public final class SimulatedDiscovery {

  /** How a call ended. */
  public enum Reply { LIST, FAILED, REFUSED }

  private record ScheduledTask(long at, long sequence, Runnable task) {}

  private record Call(Consumer<Reply> reply) {}

  private final long serviceTime;
  private final long queueTimeout;
  private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
      Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::sequence));
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private long sequence;
  private long now;
  private boolean down;
  private boolean busy;
  /** The times at which calls arrived, in order. */
  public final List<Long> callTimes = new ArrayList<>();

  public SimulatedDiscovery(long serviceTime, long queueTimeout) {
    this.serviceTime = serviceTime;
    this.queueTimeout = queueTimeout;
  }

  public long now() {
    return now;
  }

  /** Schedules the task after this delay. */
  public void after(long micros, Runnable task) {
    scheduledTasks.add(new ScheduledTask(now + micros, sequence++, task));
  }

  /** Advances the clock to this time, running all tasks due. */
  public void runUntil(long end) {
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().at <= end) {
      ScheduledTask next = scheduledTasks.poll();
      now = next.at;
      next.task.run();
    }
    now = end;
  }

  public void goDown() {
    down = true;
  }

  public void comeUp() {
    down = false;
  }

  public void call(Consumer<Reply> reply) {
    callTimes.add(now);
    if (down) {
      after(1_000, () -> reply.accept(Reply.REFUSED));
      return;
    }
    Call call = new Call(reply);
    waiting.add(call);
    after(queueTimeout, () -> {
      if (waiting.remove(call)) {
        reply.accept(Reply.FAILED);
      }
    });
    serveNext();
  }

  private void serveNext() {
    Call next = busy ? null : waiting.poll();
    if (next == null) {
      return;
    }
    busy = true;
    after(serviceTime, () -> {
      busy = false;
      next.reply.accept(Reply.LIST);
      serveNext();
    });
  }

  /** The maximum number of calls that arrived within one second. */
  public int maxCallsPerSecond() {
    int max = 0;
    int windowStart = 0;
    for (int i = 0; i < callTimes.size(); i++) {
      while (callTimes.get(i) - callTimes.get(windowStart) >= 1_000_000) {
        windowStart++;
      }
      max = Math.max(max, i - windowStart + 1);
    }
    return max;
  }
}
