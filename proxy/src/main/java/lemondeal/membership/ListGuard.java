package lemondeal.membership;

/**
 * Decides whether a catalog's answer is accepted or the last good list is kept. Pure. If a catalog has lost its leader,
 * lags, or lacks all or half of its instances at once, it is more likely wrong than the whole fleet is gone. What an
 * answer says of the instances that it has is not doubted, however many of them are failing.
 */
public final class ListGuard {

  /**
   * How much change at once is accepted.
   *
   * @param maxLostShare share of the serving instances held that may be missing from one answer
   * @param acceptEmpty whether an answer without any instance is accepted
   * @param maxStaleMillis maximum lag in milliseconds of a server that answers without the leader, if stale reads are
   *     allowed
   * @param confirmAfterMillis milliseconds after which a rejected answer is requested again, and accepted if too many
   *     instances are still missing from it: meanwhile they get new work
   * @param confirmEmptyAfterMillis the same for an answer without any instance
   */
  public record Settings(double maxLostShare, boolean acceptEmpty, long maxStaleMillis, long confirmAfterMillis,
      long confirmEmptyAfterMillis) {
    /** The defaults if the operator's file sets none. Within a drain grace of 1 s an answer is confirmed. */
    public static final Settings DEFAULT = new Settings(0.5, false, 10_000, 500, 5_000);

    /** Milliseconds after which a rejected answer with this number of instances is accepted. */
    public long confirmAfterMillis(int instances) {
      return instances == 0 ? confirmEmptyAfterMillis : confirmAfterMillis;
    }
  }

  /**
   * Properties of an answer.
   *
   * @param index the catalog's index from the answer's header
   * @param knownLeader whether the answering server knows a leader
   * @param lastContact milliseconds since the server's last contact with the leader
   * @param staleAllowed whether a stale read was requested
   * @param instances number of instances in the answer
   * @param missing number of serving instances held that are missing from the answer
   */
  public record Answer(long index, boolean knownLeader, long lastContact, boolean staleAllowed, int instances,
      int missing) {}

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
   * missing instances stay as they are and those that the answer has are updated, the queries continue from its index,
   * so that later changes are received, and the list is requested once more after
   * {@link Settings#confirmAfterMillis(int)}.
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
    boolean confirmed = held.rejectedSince() > 0
        && now - held.rejectedSince() >= settings.confirmAfterMillis(answer.instances());
    if (answer.instances() == 0 && held.serving() > 0 && !settings.acceptEmpty() && !confirmed) {
      return new Reject("empty at once", nextIndex, true);
    }
    if (held.serving() > 0 && answer.missing() > settings.maxLostShare() * held.serving() && !confirmed) {
      return new Reject(answer.missing() + " of " + held.serving() + " gone at once", nextIndex, true);
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
