package lemondeal.lab.evacuation;

import lemondeal.evacuation.Evacuation;

/** One rule. Hears what happens and tells each breach. Times are true milliseconds, which no member knows. */
public abstract class Checker {
  private Breaches told;

  /** Takes what a rule has to say against a run. */
  public interface Breaches {
    void breach(String rule, String what);
  }

  final void tellTo(Breaches breaches) {
    told = breaches;
  }

  final void breach(String what) {
    told.breach(getClass().getSimpleName(), what);
  }

  /** A member's process starts; {@code kept} if what it had on disk is whole. */
  public void started(long at, int member, boolean kept) { }

  /** What a member tells of a zone in a row. */
  public void wrote(long at, int member, int zone, long epoch, boolean votes) { }

  /** A decision became known to a member. */
  public void decided(long at, int member, Evacuation.Decision decided) { }

  public void sent(long at, int member, int zone, int key, int server) { }

  /** What each member may send into the zone a second at this moment; 0 for one that does not run. */
  public void shares(long at, int zone, double[] perSecond) { }

  /** The zone stops answering everybody, and nothing else is or was wrong lately. */
  public void failsAlone(long at, int zone) { }

  /** Nothing has been wrong for long. */
  public void over(long at, boolean allOpen) { }
}
