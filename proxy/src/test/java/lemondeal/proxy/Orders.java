package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.util.concurrent.FutureTask;
import lemondeal.proxy.Site.Held;
import org.junit.jupiter.api.function.Executable;

/** Orders to stop and deadlines that are queued for an I/O thread which is held, behind each other. */
final class Orders {
  private Orders() {}

  /** Runs the task on a thread of its own; returns when what it has to queue is queued and it waits. */
  static Thread waiting(Executable task) {
    Thread thread = new Thread(() -> assertDoesNotThrow(task));
    thread.start();
    while (thread.getState() != Thread.State.WAITING && thread.getState() != Thread.State.TIMED_WAITING
        && thread.isAlive()) {
      Thread.onSpinWait();
    }
    return thread;
  }

  /** The order to stop is queued when this returns; the thread ends when the process would. */
  static Thread stop(Site site) {
    return waiting(site.proxy::stop);
  }

  /**
   * Lets the thread go on with so much time passed, and holds it again before it looks at its sockets: all deadlines
   * that have come have run, and nothing was read.
   */
  static Held jump(Site site, Held held, long micros) throws Exception {
    waiting(() -> site.jump(micros));
    FutureTask<Held> again = new FutureTask<>(site::hold);
    waiting(again::run);
    held.release();
    return again.get();
  }
}
