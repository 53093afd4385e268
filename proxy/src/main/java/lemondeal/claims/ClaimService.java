package lemondeal.claims;

import java.util.function.Consumer;

/**
 * Grants the exclusive right to continue a session. The callback of a claim runs exactly once, immediately or later, on
 * any thread. Commits and releases have no answer: if one is lost, the lease expires, and the fence still prevents two
 * connections from writing to the session.
 */
public interface ClaimService extends AutoCloseable {

  void claim(Claim claim, Consumer<ClaimAnswer> callback);

  /** The attempt with this epoch came up. */
  void commit(Claim claim, long epoch);

  /** No attempt came up, and none is running any more. */
  void release(Claim claim);

  @Override
  void close();
}
