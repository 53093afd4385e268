package lemondeal.claims;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Claims on any store with compare-and-set: reads a state, applies {@link ClaimRules}, writes the result, and retries
 * if another writer was first.
 */
public final class CasClaimService implements ClaimService {
  /** Writes lost to concurrent writers before a claim ends as Unknown. Each loss means that another write succeeded. */
  private static final int MAX_CONFLICTS = 5;
  /**
   * How often a commit or a release is sent while the store fails or does not answer: a call that was lost with one of
   * the store's addresses goes to the next address. If all are lost, the lease expires, and the fence still prevents
   * two connections from writing to the session.
   */
  private static final int MAX_CALLS = 3;

  private final CasStore store;
  private final LongSupplier unixMillis;

  /** @param unixMillis the wall clock */
  public CasClaimService(CasStore store, LongSupplier unixMillis) {
    this.store = store;
    this.unixMillis = unixMillis;
  }

  /** Computes the answer and the next state, which is null if nothing is to be written. */
  private interface Update {
    ClaimRules.Transition apply(ClaimState state);
  }

  @Override
  public void claim(Claim claim, Consumer<ClaimAnswer> callback) {
    readAndUpdate(claim.session(), state -> ClaimRules.claim(state, claim, unixMillis.getAsLong()), answer -> {
      if (answer instanceof ClaimAnswer.Unknown) {
        // The write may have succeeded and only its reply been lost: the token would stay blocked until the lease ends.
        release(claim);
      }
      callback.accept(answer);
    });
  }

  @Override
  public void commit(Claim claim, long epoch) {
    updateWithRetries(claim.session(),
        state -> new ClaimRules.Transition(null, ClaimRules.commit(state, claim, epoch)), MAX_CALLS);
  }

  @Override
  public void release(Claim claim) {
    updateWithRetries(claim.session(),
        state -> new ClaimRules.Transition(null, ClaimRules.release(state, claim)), MAX_CALLS);
  }

  /** An update without a caller that waits for it; sent again if the store failed or did not answer. */
  private void updateWithRetries(String session, Update update, int callsLeft) {
    readAndUpdate(session, update, answer -> {
      if (answer instanceof ClaimAnswer.Unknown && callsLeft > 1) {
        updateWithRetries(session, update, callsLeft - 1);
      }
    });
  }

  private void readAndUpdate(String session, Update update, Consumer<ClaimAnswer> callback) {
    store.read(session, result -> tryUpdate(session, update, callback, result, MAX_CONFLICTS));
  }

  private void tryUpdate(String session, Update update, Consumer<ClaimAnswer> callback, CasStore.Result latest,
      int conflictsLeft) {
    if (latest.current() == null) {
      callback.accept(new ClaimAnswer.Unknown(latest.error()));
      return;
    }
    ClaimRules.Transition transition = update.apply(latest.current().state());
    if (transition.nextState() == null) {
      callback.accept(transition.answer());
    } else if (conflictsLeft == 0) {
      callback.accept(new ClaimAnswer.Unknown("too many concurrent writers"));
    } else {
      store.compareAndSet(session, latest.current().version(), transition.nextState(), result -> {
        if (result.success()) {
          callback.accept(transition.answer());
        } else {
          tryUpdate(session, update, callback, result, conflictsLeft - 1);
        }
      });
    }
  }

  @Override
  public void close() {
    store.close();
  }
}
