package lemondeal.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * States in this process's memory, bounded in number. Good for a proxy that alone gets its clients back, and forgets with
 * its process. Not safe for use by several threads at once.
 */
public final class MemoryStore implements CasStore {
  private record Forgetting(long at, String session) implements Comparable<Forgetting> {
    @Override
    public int compareTo(Forgetting other) {
      return Long.compare(at, other.at);
    }
  }

  private final int most;
  private final LongSupplier millis;
  private final Map<String, Versioned> states = new HashMap<>();
  private final PriorityQueue<Forgetting> forgettings = new PriorityQueue<>();

  /** Holds {@code most} sessions at once; beyond, a new one can't be written until an old one may be forgotten. */
  public MemoryStore(int most, LongSupplier millis) {
    this.most = most;
    this.millis = millis;
  }

  public int size() {
    return states.size();
  }

  @Override
  public void read(String session, Consumer<Written> told) {
    told.accept(new Written(true, get(session), ""));
  }

  Versioned get(String session) {
    return states.getOrDefault(session, new Versioned(0, ClaimState.NONE));
  }

  @Override
  public void compareAndSet(String session, long version, ClaimState state, Consumer<Written> told) {
    forget();
    Versioned now = get(session);
    if (now.version() != version) {
      told.accept(new Written(false, now, ""));
    } else if (version == 0 && states.size() >= most) {
      told.accept(new Written(false, null, "all " + most + " claims are held"));
    } else {
      put(session, new Versioned(version + 1, state));
      told.accept(new Written(true, get(session), ""));
    }
  }

  /** Takes a state as it is, as when a log is read again. */
  void put(String session, Versioned versioned) {
    Versioned before = states.put(session, versioned);
    if (before == null || before.state().forgetAt() != versioned.state().forgetAt()) {
      forgettings.add(new Forgetting(versioned.state().forgetAt(), session));
    }
  }

  /** All states that must be remembered. */
  Map<String, Versioned> all() {
    forget();
    return states;
  }

  private void forget() {
    long now = millis.getAsLong();
    while (!forgettings.isEmpty() && forgettings.peek().at() <= now) {
      String session = forgettings.poll().session();
      Versioned versioned = states.get(session);
      if (versioned != null && versioned.state().forgetAt() <= now) {
        states.remove(session);
      }
    }
  }

  @Override
  public void close() {
    states.clear();
    forgettings.clear();
  }
}
