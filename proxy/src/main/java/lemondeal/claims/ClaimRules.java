package lemondeal.claims;

/**
 * The rules of claims: a token's epoch is good once. Pure: the state before goes in, the state after comes out, and the
 * time is an argument. Every maker of claims applies these same steps, each with its own way of replacing a state.
 *
 * <p>Two things keep a session single. The claim lets one attempt begin at a time. Should that fail, because a lease ran
 * out while its attempt was still on its way, the fence decides: each grant has a higher one than all before, and
 * servers let only the highest epoch that they saw write.
 */
public final class ClaimRules {
  /** Epochs that belong to one grant, one for each attempt: two attempts at different servers must differ. */
  public static final int EPOCHS_PER_GRANT = 16;
  /** The epochs of a session's first connection begin here. */
  public static final long FIRST_EPOCH = EPOCHS_PER_GRANT;

  private ClaimRules() {}

  /** The answer and the state to be written; null where nothing changes. */
  public record Transition(ClaimAnswer answer, ClaimState nextState) {}

  /**
   * Asks for the right to go on from a token. A token of the held grant's own epochs was made after one of its attempts
   * came up, since no other gives them out: it settles that grant itself, and its client need not wait for a word that
   * a proxy killed after the {@code UP} never sent.
   */
  public static Transition claim(ClaimState state, Claim claim, long now) {
    if (claim.epoch() < state.committed()) {
      return new Transition(new ClaimAnswer.Used(), null);
    }
    if (state.isHeld(now) && !state.isHeldBy(claim.holder()) && claim.epoch() < state.fence()) {
      return new Transition(new ClaimAnswer.Held(state.leaseUntil() - now), null);
    }
    long fence = nextFence(Math.max(state.fence(), claim.epoch()));
    return new Transition(new ClaimAnswer.Granted(fence), new ClaimState(claim.epoch(), fence, claim.holder(),
        now + claim.leaseMillis(), Math.max(state.forgetAt(), claim.forgetAt())));
  }

  /** The attempt with this epoch came up: all earlier tokens are used. Null where the claim is not this one's any more. */
  public static ClaimState commit(ClaimState state, Claim claim, long epoch) {
    return state.isHeldBy(claim.holder())
        ? new ClaimState(Math.max(state.committed(), epoch), state.fence(), "", 0, state.forgetAt()) : null;
  }

  /** No server took the session: the token is good again. The fence stays, since an attempt may still be on its way. */
  public static ClaimState release(ClaimState state, Claim claim) {
    return state.isHeldBy(claim.holder())
        ? new ClaimState(state.committed(), state.fence(), "", 0, state.forgetAt()) : null;
  }

  /** The first epoch of the next grant. */
  private static long nextFence(long epoch) {
    return (epoch / EPOCHS_PER_GRANT + 1) * EPOCHS_PER_GRANT;
  }
}
