package lemondeal.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A bounded store in this process's memory, lost when the process ends. Suitable for a proxy whose clients always
 * reconnect to it. Not thread-safe.
 */
public final class MemoryStore implements CasStore {
  private record Expiry(long at, String session) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(at, other.at);
    }
  }

  private final int maxSessions;
  private final LongSupplier unixMillis;
  private final Map<String, VersionedState> states = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

  /** @param maxSessions maximum number of sessions; when it is reached, a new one can't be written until one expires */
  public MemoryStore(int maxSessions, LongSupplier unixMillis) {
    this.maxSessions = maxSessions;
    this.unixMillis = unixMillis;
  }

  public int size() {
    return states.size();
  }

  @Override
  public void read(String session, Consumer<Result> callback) {
    callback.accept(new Result(true, get(session), ""));
  }

  VersionedState get(String session) {
    return states.getOrDefault(session, new VersionedState(0, ClaimState.NONE));
  }

  @Override
  public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
    evictExpired();
    VersionedState current = get(session);
    if (current.version() != expectedVersion) {
      callback.accept(new Result(false, current, ""));
    } else if (expectedVersion == 0 && states.size() >= maxSessions) {
      callback.accept(new Result(false, null, "the limit of " + maxSessions + " sessions is reached"));
    } else {
      put(session, new VersionedState(expectedVersion + 1, state));
      callback.accept(new Result(true, get(session), ""));
    }
  }

  /** Stores a state without a version check, as when a log is loaded. */
  void put(String session, VersionedState versionedState) {
    VersionedState previous = states.put(session, versionedState);
    if (previous == null || previous.state().forgetAt() != versionedState.state().forgetAt()) {
      expiries.add(new Expiry(versionedState.state().forgetAt(), session));
    }
  }

  /** All states that have not expired. */
  Map<String, VersionedState> unexpired() {
    evictExpired();
    return states;
  }

  private void evictExpired() {
    long now = unixMillis.getAsLong();
    while (!expiries.isEmpty() && expiries.peek().at() <= now) {
      String session = expiries.poll().session();
      VersionedState versionedState = states.get(session);
      if (versionedState != null && versionedState.state().forgetAt() <= now) {
        states.remove(session);
      }
    }
  }

  @Override
  public void close() {
    states.clear();
    expiries.clear();
  }
}
