package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.util.concurrent.FutureTask;
import lemondeal.proxy.ProxyFixture.EventLoopPause;
import org.junit.jupiter.api.function.Executable;

/** Queues stop requests and timer expiries for a paused event loop, in a fixed order. */
final class EventLoopTasks {
  private EventLoopTasks() {}

  /** Runs the task on its own thread; returns once it has queued its work for the event loop and waits for it. */
  static Thread runUntilBlocked(Executable task) {
    Thread thread = new Thread(() -> assertDoesNotThrow(task));
    thread.start();
    while (thread.getState() != Thread.State.WAITING && thread.getState() != Thread.State.TIMED_WAITING
        && thread.isAlive()) {
      Thread.onSpinWait();
    }
    return thread;
  }

  /** Queues a stop request; the returned thread ends when the process would exit. */
  static Thread queueStop(ProxyFixture fixture) {
    return runUntilBlocked(fixture.proxy::stop);
  }

  /**
   * Resumes the event loop with the clock advanced and pauses it again before it polls its sockets: all timers that
   * expire have run, and nothing was read.
   */
  static EventLoopPause advanceClockWhilePaused(ProxyFixture fixture, EventLoopPause pause, long micros)
      throws Exception {
    runUntilBlocked(() -> fixture.advanceClock(micros));
    FutureTask<EventLoopPause> nextPause = new FutureTask<>(fixture::pauseEventLoop);
    runUntilBlocked(nextPause::run);
    pause.resume();
    return nextPause.get();
  }
}
