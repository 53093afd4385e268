package lemondeal.claims;

import java.util.function.Consumer;

/** A store of claim states with compare-and-set, the only primitive that {@link CasClaimService} needs. */
public interface CasStore extends AutoCloseable {

  /** A state with its version; version 0 and {@link ClaimState#NONE} if the key does not exist. */
  record VersionedState(long version, ClaimState state) {}

  /**
   * The outcome of a read or a write.
   *
   * @param success whether the read succeeded or the write was done
   * @param current the state after the call; null if the store failed
   * @param error why the store failed; empty if it did not
   */
  record Result(boolean success, VersionedState current, String error) {}

  /** Reads the session's state. If the store fails, the result's {@code current} is null. */
  void read(String session, Consumer<Result> callback);

  /** Writes the state if the stored version is the expected one. */
  void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback);

  @Override
  void close();
}
