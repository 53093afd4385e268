package lemondeal.claims;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Claims on any store with compare-and-set: reads, applies {@link ClaimRules}, writes, and begins again if it was late. */
public final class CasClaimService implements ClaimService {
  /** Rounds lost to other writers before it is said that nothing can be said. Each loss is another one's success. */
  private static final int MAX_CONFLICTS = 5;
  /**
   * Times that a settle or a giving back is sent when the store says nothing: a call lost with one of the store's
   * addresses goes to the next. Lost for good, the lease runs out and the fence keeps the session single.
   */
  private static final int MAX_CALLS = 3;

  private final CasStore store;
  private final LongSupplier unixMillis;

  /** {@code millis}: Unix time. */
  public CasClaimService(CasStore store, LongSupplier unixMillis) {
    this.store = store;
    this.unixMillis = unixMillis;
  }

  /** What is wanted of a state: the answer and the next state, null where nothing is to be written. */
  private interface Update {
    ClaimRules.Transition apply(ClaimState state);
  }

  @Override
  public void claim(Claim claim, Consumer<ClaimAnswer> callback) {
    readAndUpdate(claim.session(), state -> ClaimRules.claim(state, claim, unixMillis.getAsLong()), answer -> {
      if (answer instanceof ClaimAnswer.Unknown) {
        // The write may have been done and only its answer lost: the token would be held until the lease ends.
        release(claim);
      }
      callback.accept(answer);
    });
  }

  @Override
  public void commit(Claim claim, long epoch) {
    updateWithRetries(claim.session(), state -> new ClaimRules.Transition(null, ClaimRules.commit(state, claim, epoch)), MAX_CALLS);
  }

  @Override
  public void release(Claim claim) {
    updateWithRetries(claim.session(), state -> new ClaimRules.Transition(null, ClaimRules.release(state, claim)), MAX_CALLS);
  }

  /** A change that nobody waits for, sent again where the store did not answer. */
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

  private void tryUpdate(String session, Update update, Consumer<ClaimAnswer> callback, CasStore.Result latest, int conflictsLeft) {
    if (latest.current() == null) {
      callback.accept(new ClaimAnswer.Unknown(latest.error()));
      return;
    }
    ClaimRules.Transition transition = update.apply(latest.current().state());
    if (transition.nextState() == null) {
      callback.accept(transition.answer());
    } else if (conflictsLeft == 0) {
      callback.accept(new ClaimAnswer.Unknown("too many write at once"));
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
