package lemondeal.lab.emulator;

/** The store that set-ups call: one queue, a fixed rate, and a fixed time of each call beside the waiting. */
final class SessionStore {
  private final Agenda agenda;
  private final Scenario.Store settings;
  private double slowness = 1;
  private long freeAt;

  SessionStore(Agenda agenda, Scenario.Store settings) {
    this.agenda = agenda;
    this.settings = settings;
  }

  void slow(double times) {
    slowness = times;
  }

  /** Runs {@code done} when the call is answered; at once where there is no store. */
  void call(Runnable done) {
    if (settings.perSecond() <= 0) {
      done.run();
      return;
    }
    long start = Math.max(agenda.now(), freeAt);
    freeAt = start + (long) (Scenario.SECOND * slowness / settings.perSecond());
    agenda.at(start + (long) (settings.takes() * slowness), done);
  }
}
