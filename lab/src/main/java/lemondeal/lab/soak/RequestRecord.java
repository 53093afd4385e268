package lemondeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What was observed of one request from outside the proxy: its client's actions, and the attempts that servers saw. */
final class RequestRecord {
  final String id;
  final RequestClass requestClass;
  /** When the client closed its connection before it had an answer, or 0. */
  volatile long clientClosedAt;
  private final List<Attempt> attempts = new ArrayList<>();

  RequestRecord(String id, RequestClass requestClass) {
    this.id = id;
    this.requestClass = requestClass;
  }

  synchronized List<Attempt> add(Attempt attempt) {
    List<Attempt> earlierAttempts = List.copyOf(attempts);
    attempts.add(attempt);
    return earlierAttempts;
  }

  synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }
}
