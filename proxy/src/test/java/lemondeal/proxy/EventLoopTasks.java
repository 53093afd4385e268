package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.util.concurrent.FutureTask;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import org.junit.jupiter.api.function.Executable;

/** Orders to stop and deadlines that are queued for an I/O thread which is held, behind each other. */
final class EventLoopTasks {
  private EventLoopTasks() {}

  /** Runs the task on a thread of its own; returns when what it has to queue is queued and it waits. */
  static Thread runUntilBlocked(Executable task) {
    Thread thread = new Thread(() -> assertDoesNotThrow(task));
    thread.start();
    while (thread.getState() != Thread.State.WAITING && thread.getState() != Thread.State.TIMED_WAITING
        && thread.isAlive()) {
      Thread.onSpinWait();
    }
    return thread;
  }

  /** The order to stop is queued when this returns; the thread ends when the process would. */
  static Thread queueStop(ProxyFixture fixture) {
    return runUntilBlocked(fixture.proxy::stop);
  }

  /**
   * Lets the thread go on with so much time passed, and holds it again before it looks at its sockets: all deadlines
   * that have come have run, and nothing was read.
   */
  static EventLoopPause advanceClockWhilePaused(ProxyFixture fixture, EventLoopPause pause, long micros) throws Exception {
    runUntilBlocked(() -> fixture.advanceClock(micros));
    FutureTask<EventLoopPause> nextPause = new FutureTask<>(fixture::pauseEventLoop);
    runUntilBlocked(nextPause::run);
    pause.resume();
    return nextPause.get();
  }
}
