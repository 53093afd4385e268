package lemondeal.proxy;

/** Lets requests in while there is a slot and the proxy is to run on, and keeps the table of those inside. */
final class AdmissionControl {
  /** In this order, and never back. */
  private enum State {
    /** Whoever comes is let in while there is a slot. */
    OPEN,
    /** Whoever comes is throttled; those inside are served on. */
    THROTTLING,
    /** Nobody inside is to stay either. */
    CLOSING
  }

  private final ActiveRequests requests;
  private State state = State.OPEN;
  private Runnable onEmpty = () -> { };

  AdmissionControl(ActiveRequests requests) {
    this.requests = requests;
  }

  boolean canAdmit() {
    return isOpen() && !requests.isFull();
  }

  /** Whether whoever comes is let in while there is room: this process is not about to stop. */
  boolean isOpen() {
    return state == State.OPEN;
  }

  /** Whether a request that a client gave this id is inside: nobody else may use the id meanwhile. */
  boolean isIdInUse(String clientRequestId) {
    return requests.isIdInUse(clientRequestId);
  }

  String register(ClientLink client) {
    return requests.add(client);
  }

  void unregister(String id) {
    requests.remove(id);
    if (state == State.CLOSING && requests.isEmpty()) {
      onEmpty.run();
    }
  }

  /** Whether a request that comes up now is to be moved at once. */
  boolean isClosing() {
    return state == State.CLOSING;
  }

  /** Lets nobody in any more; those inside stay. */
  void throttle() {
    state = State.THROTTLING;
  }

  /** Lets nobody in any more, nor stay; {@code whenEmpty} is run as soon as nobody is left inside. */
  void close(Runnable whenEmpty) {
    state = State.CLOSING;
    onEmpty = whenEmpty;
    if (requests.isEmpty()) {
      onEmpty.run();
    }
  }
}
