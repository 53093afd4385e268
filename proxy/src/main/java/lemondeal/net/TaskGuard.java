package lemondeal.net;

import lemondeal.log.EventLog;

/**
 * Runs tasks and logs what they throw, so that the failure of one connection does not affect others and the caller
 * continues. OutOfMemoryError and StackOverflowError are caught too: an error that escaped through the timer wheel or
 * the queue of decisions once left a live process that no longer processed any event.
 */
public final class TaskGuard {
  private final EventLog log;

  public TaskGuard(EventLog log) {
    this.log = log;
  }

  /** Runs the task; if it throws, logs that and runs {@code onFailure}, whose own failure is logged too. */
  public void guard(Runnable task, Runnable onFailure) {
    try {
      task.run();
    } catch (RuntimeException | VirtualMachineError e) {
      report(e);
      try {
        onFailure.run();
      } catch (RuntimeException | VirtualMachineError secondFailure) {
        report(secondFailure);
      }
    }
  }

  /** Runs a task that does not belong to a connection. */
  public void guard(Runnable task) {
    guard(task, () -> { });
  }

  /** Logs a failure that is not a bug of this program. */
  void report(String text) {
    log.warn("net", "lemondeal: " + text);
  }

  private void report(Throwable e) {
    log.failure("lemondeal: failed inside: " + e, e);
  }
}
