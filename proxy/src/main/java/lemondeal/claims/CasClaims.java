package lemondeal.claims;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Claims on any store with compare-and-set: reads, applies {@link ClaimRules}, writes, and begins again if it was late. */
public final class CasClaims implements Claims {
  /** Rounds lost to other writers before it is said that nothing can be said. Each loss is another one's success. */
  private static final int ROUNDS = 5;
  /**
   * Times that a settle or a giving back is sent when the store says nothing: a call lost with one of the store's
   * addresses goes to the next. Lost for good, the lease runs out and the fence keeps the session single.
   */
  private static final int WORDS = 3;

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
    tell(claim.session(), state -> new ClaimRules.Step(null, ClaimRules.settle(state, claim, epoch)), WORDS);
  }

  @Override
  public void giveBack(Claim claim) {
    tell(claim.session(), state -> new ClaimRules.Step(null, ClaimRules.giveBack(state, claim)), WORDS);
  }

  /** A change that nobody waits for, sent again where the store did not answer. */
  private void tell(String session, Change change, int times) {
    begin(session, change, answer -> {
      if (answer instanceof ClaimAnswer.Unknown && times > 1) {
        tell(session, change, times - 1);
      }
    });
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
