package lemondeal.claims;

import java.util.function.Consumer;

/**
 * Grants the exclusive right to continue a session. The callback of a claim runs exactly once, immediately or later, on
 * any thread. Commits and releases have no answer: if one is lost, the lease expires, and the fence still prevents two
 * connections from writing to the session.
 */
public interface ClaimService extends AutoCloseable {

  void claim(Claim claim, Consumer<ClaimAnswer> callback);

  /** Ends the claim after the attempt with this epoch came up: tokens of lower epochs are used. */
  void commit(Claim claim, long epoch);

  /** Ends the claim after all its attempts have ended and none came up: the token is valid again. */
  void release(Claim claim);

  @Override
  void close();
}
