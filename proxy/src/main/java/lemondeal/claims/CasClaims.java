package lemondeal.claims;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Claims on any store with compare-and-set: reads, applies {@link ClaimRules}, writes, and begins again if it was late. */
public final class CasClaims implements Claims {
  /** Rounds lost to other writers before it is said that nothing can be said. Each loss is another one's success. */
  private static final int ROUNDS = 5;

  private final CasStore store;
  private final LongSupplier millis;

  /** {@code millis}: Unix time. */
  public CasClaims(CasStore store, LongSupplier millis) {
    this.store = store;
    this.millis = millis;
  }

  /** What is wanted of a state: the answer and the next state, null where nothing is to be written. */
  private interface Change {
    ClaimRules.Step step(ClaimState state);
  }

  @Override
  public void claim(Claim claim, Consumer<ClaimAnswer> told) {
    begin(claim.session(), state -> ClaimRules.claim(state, claim, millis.getAsLong()), answer -> {
      if (answer instanceof ClaimAnswer.Unknown) {
        // The write may have been done and only its answer lost: the token would be held until the lease ends.
        giveBack(claim);
      }
      told.accept(answer);
    });
  }

  @Override
  public void settle(Claim claim, long epoch) {
    begin(claim.session(), state -> new ClaimRules.Step(null, ClaimRules.settle(state, claim, epoch)), answer -> { });
  }

  @Override
  public void giveBack(Claim claim) {
    begin(claim.session(), state -> new ClaimRules.Step(null, ClaimRules.giveBack(state, claim)), answer -> { });
  }

  private void begin(String session, Change change, Consumer<ClaimAnswer> told) {
    store.read(session, read -> next(session, change, told, read, ROUNDS));
  }

  private void next(String session, Change change, Consumer<ClaimAnswer> told, CasStore.Written read, int rounds) {
    if (read.now() == null) {
      told.accept(new ClaimAnswer.Unknown(read.fault()));
      return;
    }
    ClaimRules.Step step = change.step(read.now().state());
    if (step.next() == null) {
      told.accept(step.answer());
    } else if (rounds == 0) {
      told.accept(new ClaimAnswer.Unknown("too many write at once"));
    } else {
      store.compareAndSet(session, read.now().version(), step.next(), written -> {
        if (written.done()) {
          told.accept(step.answer());
        } else {
          next(session, change, told, written, rounds - 1);
        }
      });
    }
  }

  @Override
  public void close() {
    store.close();
  }
}
