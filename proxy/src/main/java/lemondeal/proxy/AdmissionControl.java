package lemondeal.proxy;

import lemondeal.codec.OpenLine;

/** Admits requests while a slot is free and the process is not shutting down, and keeps the table of admitted ones. */
final class AdmissionControl {
  /** Passed in this order; never goes back. */
  private enum State {
    /** New requests are admitted while a slot is free. */
    OPEN,
    /** New requests are throttled; admitted ones continue. */
    THROTTLING,
    /** Admitted requests are to end as well. */
    CLOSING
  }

  private final ActiveRequests requests;
  private final RequestIds requestIds;
  private State state = State.OPEN;
  private Runnable onEmpty = () -> { };

  AdmissionControl(ActiveRequests requests, RequestIds requestIds) {
    this.requests = requests;
    this.requestIds = requestIds;
  }

  boolean canAdmit() {
    return isOpen() && !requests.isFull();
  }

  /** Whether new requests are admitted while a slot is free: this process is not shutting down. */
  boolean isOpen() {
    return state == State.OPEN;
  }

  /** Reserves the id in a client's first line, or returns null if another request or another client has it. */
  RequestIds.Reservation reserveId(OpenLine openLine) {
    return requestIds.reserve(openLine.id(), openLine.key());
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

  /** Whether a connection that is established now is to be moved at once. */
  boolean isClosing() {
    return state == State.CLOSING;
  }

  /** Admits no more requests; admitted ones continue. */
  void throttle() {
    state = State.THROTTLING;
  }

  /** Admits no more requests and expects the admitted ones to end; {@code whenEmpty} runs as soon as none is left. */
  void close(Runnable whenEmpty) {
    state = State.CLOSING;
    onEmpty = whenEmpty;
    if (requests.isEmpty()) {
      onEmpty.run();
    }
  }
}
