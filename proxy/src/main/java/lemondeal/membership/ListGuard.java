package lemondeal.membership;

/**
 * Whether an answer of a catalogue is believed, or the last good list is kept. Pure. A catalogue that has lost its
 * leader, lags, or empties or halves at once is more likely wrong than a fleet that left all at once; servers that leave
 * one by one are drained one by one, and those count.
 */
public final class ListGuard {

  /**
   * How much change at once is believed.
   *
   * @param mostLost share of the instances held that one answer may take away, those draining before not counted
   * @param emptyBelieved whether an answer with no instance at all is believed
   * @param staleMost milliseconds that a server answering without the leader may lag, where stale reads are allowed
   * @param confirmAfter milliseconds after which an answer kept back is asked for again, to be believed if it stands
   */
  public record Settings(double maxLostShare, boolean acceptEmpty, long maxStaleMillis, long confirmAfterMillis) {
    /** What holds where the operator's file says nothing. */
    public static final Settings DEFAULT = new Settings(0.5, false, 10_000, 5_000);
  }

  /**
   * What an answer says of itself.
   *
   * @param index the catalogue's index, as its header gives it
   * @param knownLeader whether the answering server knows a leader
   * @param lastContact milliseconds since it last heard the leader
   * @param stale whether stale reads were asked for
   * @param instances instances in the answer
   * @param lost instances that were held, served, and are missing from it or fail in it
   */
  public record Answer(long index, boolean knownLeader, long lastContact, boolean staleAllowed, int instances, int lost) {}

  /**
   * What is held.
   *
   * @param index of the answer last believed, 0 before the first
   * @param serving instances held that serve
   * @param keptSince when an answer was first kept back for its size, Unix milliseconds; 0 where none is
   */
  public record HeldList(long index, int serving, long rejectedSince) {}

  /** What is done with an answer. */
  public sealed interface Verdict {}

  /** Believed; the next blocking query waits for changes after {@code from}. */
  public record Accept(long nextIndex) implements Verdict {}

  /**
   * Not believed; the list held stays and the catalogue is asked again from {@code from}. One kept for its size is
   * followed on, so that other changes are heard, and asked for once more after {@link Settings#confirmAfter()}.
   */
  public record Reject(String reason, long nextIndex, boolean bySize) implements Verdict {}

  private ListGuard() {}

  /** Judges one answer at {@code now}. */
  public static Verdict evaluate(Answer answer, HeldList held, long now, Settings settings) {
    long nextIndex = nextIndex(answer.index(), held.index());
    if (!answer.knownLeader() && !answer.staleAllowed()) {
      return new Reject("no leader", held.index(), false);
    }
    if (answer.staleAllowed() && answer.lastContact() > settings.maxStaleMillis()) {
      return new Reject("stale by " + answer.lastContact() + " ms", held.index(), false);
    }
    boolean confirmed = held.rejectedSince() > 0 && now - held.rejectedSince() >= settings.confirmAfterMillis();
    if (answer.instances() == 0 && held.serving() > 0 && !settings.acceptEmpty() && !confirmed) {
      return new Reject("empty at once", nextIndex, true);
    }
    if (held.serving() > 0 && answer.lost() > settings.maxLostShare() * held.serving() && !confirmed) {
      return new Reject(answer.lost() + " of " + held.serving() + " gone at once", nextIndex, true);
    }
    return new Accept(nextIndex);
  }

  /**
   * The index from which to wait next. An index that ran backwards, as after a restore from a snapshot, starts the wait
   * anew; one that is not above zero would return at once for ever.
   */
  static long nextIndex(long index, long previousIndex) {
    if (index < previousIndex) {
      return 0;
    }
    return Math.max(1, index);
  }
}
