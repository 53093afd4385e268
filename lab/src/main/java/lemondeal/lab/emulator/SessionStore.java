package lemondeal.lab.emulator;

/**
 * The session store that set-ups call: one queue with a fixed service rate, and a fixed time for each call after its
 * wait.
 */
final class SessionStore {
  private final EventScheduler scheduler;
  private final Scenario.Store settings;
  private double slowdown = 1;
  private long nextFreeTime;

  SessionStore(EventScheduler scheduler, Scenario.Store settings) {
    this.scheduler = scheduler;
    this.settings = settings;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Runs {@code onDone} when the call is answered; at once if the scenario has no store. */
  void call(Runnable onDone) {
    if (settings.callsPerSecond() <= 0) {
      onDone.run();
      return;
    }
    long start = Math.max(scheduler.now(), nextFreeTime);
    nextFreeTime = start + (long) (Scenario.SECOND * slowdown / settings.callsPerSecond());
    scheduler.at(start + (long) (settings.callTime() * slowdown), onDone);
  }
}
