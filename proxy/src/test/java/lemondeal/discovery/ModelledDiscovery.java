package lemondeal.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A discovery that works through calls one after another, on a clock of its own: one call's turn takes a time, a call
 * that waits too long for its turn fails, and while it is down every call fails at once. In microseconds.
 */
public final class ModelledDiscovery {

  /** How a call ended. */
  public enum Reply { LIST, FAILED, REFUSED }

  private record Due(long at, long order, Runnable task) {}

  private record Call(Consumer<Reply> reply) {}

  private final long turn;
  private final long patience;
  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at)
      .thenComparingLong(Due::order));
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private long order;
  private long now;
  private boolean down;
  private boolean busy;
  /** When calls came, in order. */
  public final List<Long> calls = new ArrayList<>();

  public ModelledDiscovery(long turn, long patience) {
    this.turn = turn;
    this.patience = patience;
  }

  public long now() {
    return now;
  }

  /** Runs the task when so much time has gone by. */
  public void after(long micros, Runnable task) {
    due.add(new Due(now + micros, order++, task));
  }

  /** Goes on until this time. */
  public void runTo(long end) {
    while (!due.isEmpty() && due.peek().at <= end) {
      Due next = due.poll();
      now = next.at;
      next.task.run();
    }
    now = end;
  }

  public void goDown() {
    down = true;
  }

  public void comeBack() {
    down = false;
  }

  public void call(Consumer<Reply> reply) {
    calls.add(now);
    if (down) {
      after(1_000, () -> reply.accept(Reply.REFUSED));
      return;
    }
    Call call = new Call(reply);
    waiting.add(call);
    after(patience, () -> {
      if (waiting.remove(call)) {
        reply.accept(Reply.FAILED);
      }
    });
    serve();
  }

  private void serve() {
    Call next = busy ? null : waiting.poll();
    if (next == null) {
      return;
    }
    busy = true;
    after(turn, () -> {
      busy = false;
      next.reply.accept(Reply.LIST);
      serve();
    });
  }

  /** The most calls that came within one second. */
  public int mostInASecond() {
    int most = 0;
    int from = 0;
    for (int i = 0; i < calls.size(); i++) {
      while (calls.get(i) - calls.get(from) >= 1_000_000) {
        from++;
      }
      most = Math.max(most, i - from + 1);
    }
    return most;
  }
}
