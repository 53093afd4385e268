package lemondeal.proxy;

/** Lets requests in while there is a slot and the proxy is to run on, and keeps the table of those inside. */
final class AdmissionControl {
  private final Requests requests;
  private boolean closing;
  private Runnable emptied = () -> { };

  AdmissionControl(Requests requests) {
    this.requests = requests;
  }

  boolean admits() {
    return !closing && !requests.isFull();
  }

  /** Whether a request that a client gave this id is inside: nobody else may use the id meanwhile. */
  boolean holds(String givenId) {
    return requests.holds(givenId);
  }

  String enter(ClientLink client) {
    return requests.add(client);
  }

  void leave(String id) {
    requests.remove(id);
    if (closing && requests.isEmpty()) {
      emptied.run();
    }
  }

  boolean isClosing() {
    return closing;
  }

  /** Lets nobody in any more; {@code whenEmpty} is run as soon as nobody is left inside. */
  void close(Runnable whenEmpty) {
    closing = true;
    emptied = whenEmpty;
    if (requests.isEmpty()) {
      emptied.run();
    }
  }
}
