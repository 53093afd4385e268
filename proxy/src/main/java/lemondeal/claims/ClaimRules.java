package lemondeal.claims;

/**
 * The rules of claims: a token's epoch can be used once. Pure functions from one state to the next, with the time as an
 * argument. Every store applies these same rules and replaces states in its own way.
 *
 * <p>Two mechanisms prevent two connections from writing to one session. The claim admits one connection at a time. If
 * that fails, because a lease expired while its attempt was still in flight, the fence decides: each grant has a higher
 * fence than all before it, and servers accept writes only from the highest epoch that they have seen.
 */
public final class ClaimRules {
  /** Epochs reserved for each grant, one for each attempt: attempts at different servers need different epochs. */
  public static final int EPOCHS_PER_GRANT = 16;
  /** First epoch of a session's first connection. */
  public static final long FIRST_EPOCH = EPOCHS_PER_GRANT;

  private ClaimRules() {}

  /** The answer, and the state to write; the latter is null if nothing changes. */
  public record Transition(ClaimAnswer answer, ClaimState nextState) {}

  /**
   * Claims the right to continue a session from a token. A token with an epoch of the currently held grant can only
   * have been issued after an attempt of that grant came up, so it commits the grant by itself. Its client then need
   * not wait for the lease of a proxy that was killed after the {@code UP} and before its commit.
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

  /**
   * The attempt with this epoch came up: all earlier tokens are used. Returns null if the state is no longer held by
   * this claim.
   */
  public static ClaimState commit(ClaimState state, Claim claim, long epoch) {
    return state.isHeldBy(claim.holder())
        ? new ClaimState(Math.max(state.committed(), epoch), state.fence(), "", 0, state.forgetAt()) : null;
  }

  /** No server took the session: the token is valid again. The fence stays, as an attempt may still be in flight. */
  public static ClaimState release(ClaimState state, Claim claim) {
    return state.isHeldBy(claim.holder())
        ? new ClaimState(state.committed(), state.fence(), "", 0, state.forgetAt()) : null;
  }

  /** The first epoch of the next grant. */
  private static long nextFence(long epoch) {
    return (epoch / EPOCHS_PER_GRANT + 1) * EPOCHS_PER_GRANT;
  }
}
