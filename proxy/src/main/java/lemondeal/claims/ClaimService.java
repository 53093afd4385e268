package lemondeal.claims;

import java.util.function.Consumer;

/**
 * Where claims are made. An answer may come at once or later, on whichever thread; it comes once. What is settled or
 * given back is told without an answer: should it get lost, the lease runs out and the fence keeps the session single.
 */
public interface ClaimService extends AutoCloseable {

  void claim(Claim claim, Consumer<ClaimAnswer> callback);

  /** The attempt with this epoch came up. */
  void commit(Claim claim, long epoch);

  /** No attempt came up and none is out any more. */
  void release(Claim claim);

  @Override
  void close();
}
