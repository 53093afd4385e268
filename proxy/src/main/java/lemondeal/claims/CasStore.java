package lemondeal.claims;

import java.util.function.Consumer;

/** Compare-and-set on claim states: all that a maker of claims has to bring. */
public interface CasStore extends AutoCloseable {

  /** A state with its version; version 0 and {@link ClaimState#NONE} where the key is not there. */
  record VersionedState(long version, ClaimState state) {}

  /** How a write ended. {@code now} is what stands afterwards; null where the store could not be reached. */
  record Result(boolean success, VersionedState current, String error) {}

  /** Reads the session's state. A fault is told as {@code now} null. */
  void read(String session, Consumer<Result> callback);

  /** Writes if the version is the expected one. */
  void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback);

  @Override
  void close();
}
