package lemondeal.net;

import lemondeal.log.EventLog;

/**
 * Where the program's own failures go. Guards against one connection's failure reaching others: what is caught
 * here is told in the log, never swallowed, and whoever ran the task goes on. A moment without memory is such a failure,
 * too: an error that passed through the timer wheel or the queue of decisions once left the process alive and deaf.
 */
public final class TaskGuard {
  private final EventLog log;

  public TaskGuard(EventLog log) {
    this.log = log;
  }

  /** Runs the task; if it fails, tells so and runs {@code failed}, which may fail in its turn. */
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

  /** Runs a task that belongs to no connection. */
  public void guard(Runnable task) {
    guard(task, () -> { });
  }

  /** Tells of a failure that is not the program's own. */
  void report(String text) {
    log.warn("net", "lemondeal: " + text);
  }

  private void report(Throwable e) {
    log.failure("lemondeal: failed inside: " + e, e);
  }
}
