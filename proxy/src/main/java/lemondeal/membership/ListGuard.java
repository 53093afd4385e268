package lemondeal.membership;

/**
 * Decides whether a catalog's answer is accepted or the last good list is kept. Pure. If a catalog has lost its leader,
 * lags, or loses all or half of its instances at once, it is more likely wrong than the whole fleet is gone. Servers
 * that leave one by one are drained one by one, and those changes are accepted.
 */
public final class ListGuard {

  /**
   * How much change at once is accepted.
   *
   * @param maxLostShare share of the serving instances held that one answer may take away
   * @param acceptEmpty whether an answer without any instance is accepted
   * @param maxStaleMillis maximum lag in milliseconds of a server that answers without the leader, if stale reads are
   *     allowed
   * @param confirmAfterMillis milliseconds after which a rejected answer is requested again, and accepted if it still
   *     shows the loss
   */
  public record Settings(double maxLostShare, boolean acceptEmpty, long maxStaleMillis, long confirmAfterMillis) {
    /** The defaults if the operator's file sets none. */
    public static final Settings DEFAULT = new Settings(0.5, false, 10_000, 5_000);
  }

  /**
   * Properties of an answer.
   *
   * @param index the catalog's index from the answer's header
   * @param knownLeader whether the answering server knows a leader
   * @param lastContact milliseconds since the server's last contact with the leader
   * @param staleAllowed whether a stale read was requested
   * @param instances number of instances in the answer
   * @param lost number of serving instances held that are missing from the answer or failing in it
   */
  public record Answer(long index, boolean knownLeader, long lastContact, boolean staleAllowed, int instances,
      int lost) {}

  /**
   * The state of the held list.
   *
   * @param index the index of the last accepted answer, 0 before the first
   * @param serving number of held instances that serve
   * @param rejectedSince when an answer was first rejected for its size, in milliseconds of the caller's clock; 0 if
   *     none is
   */
  public record HeldList(long index, int serving, long rejectedSince) {}

  /** The decision on an answer. */
  public sealed interface Verdict {}

  /** Accepted; the next blocking query waits for changes after {@code nextIndex}. */
  public record Accept(long nextIndex) implements Verdict {}

  /**
   * Rejected; the held list stays and the next query starts from {@code nextIndex}. After a rejection for size the
   * queries continue from the answer's index, so that later changes are received, and the list is requested once more
   * after {@link Settings#confirmAfterMillis()}.
   */
  public record Reject(String reason, long nextIndex, boolean bySize) implements Verdict {}

  private ListGuard() {}

  /** Evaluates one answer at {@code now}. */
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
   * The index for the next blocking query. An index that decreased, as after a restore from a snapshot, restarts from
   * 0. An index that is not above 0 becomes 1: a query with index 0 returns at once, so the queries would never wait.
   */
  static long nextIndex(long index, long previousIndex) {
    if (index < previousIndex) {
      return 0;
    }
    return Math.max(1, index);
  }
}
