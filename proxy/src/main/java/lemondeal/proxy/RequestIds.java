package lemondeal.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The ids that clients give to their requests: an id serves one request at a time, at this process and at all others
 * that accept from the same listening socket.
 *
 * <p>An id is in use until its client's connection has closed. Once the final line is on its way (an answer, {@code
 * MOVE}, or the end of the server's connection), the same client may use it again: a client that was moved reconnects
 * at once, often with the id that it had. The key in the first line tells whether it is the same client.
 *
 * <p>For use on the I/O thread.
 */
final class RequestIds {
  private final Set<String> open = new HashSet<>();
  /** Requests that have ended while their client's connection still closes, by id. */
  private final Map<String, Reservation> ending = new HashMap<>();
  /** Null unless other processes accept from the same listening socket. */
  private RequestIdLocks locks;

  /** A request's hold on its id. */
  final class Reservation {
    /** Passed in this order. */
    private enum State { OPEN, ENDING, RELEASED }

    private final String id;
    private final String key;
    /** Null if the id is not shared with other processes. */
    private final RequestIdLocks.IdLock lock;
    private State state = State.OPEN;

    private Reservation(String id, String key, RequestIdLocks.IdLock lock) {
      this.id = id;
      this.key = key;
      this.lock = lock;
    }

    /** Lets the same client use the id again. To be called before the client can see that its request has ended. */
    void admitSameClient() {
      if (state != State.OPEN) {
        return;
      }
      state = State.ENDING;
      open.remove(id);
      ending.put(id, this);
      if (lock != null) {
        lock.admitSameClient();
      }
    }

    /** Frees the id. To be called once the client's connection has closed. */
    void release() {
      if (state == State.OPEN) {
        open.remove(id);
      }
      state = State.RELEASED;
      ending.remove(id, this);
      if (lock != null) {
        lock.release();
      }
    }
  }

  /** From now on reservations count at all processes that use these locks. */
  void shareBy(RequestIdLocks sharedLocks) {
    locks = sharedLocks;
  }

  /**
   * Reserves an id for a new request, or returns null if it is in use.
   *
   * @param id 16 hexadecimal digits
   * @param key the key in the same first line
   */
  Reservation reserve(String id, String key) {
    Reservation previous = ending.get(id);
    if (open.contains(id) || (previous != null && !previous.key.equals(key))) {
      return null;
    }
    RequestIdLocks.IdLock lock = null;
    if (locks != null) {
      lock = locks.tryLock(id, key);
      if (lock == null) {
        return null;
      }
    }
    open.add(id);
    return new Reservation(id, key, lock);
  }
}
