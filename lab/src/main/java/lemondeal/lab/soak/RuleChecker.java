package lemondeal.lab.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The test oracle: records what clients and servers observe and checks it against the rules at once. The only data that
 * comes from the proxies themselves are their logs, their exit codes and the violations that they count.
 */
final class RuleChecker {
  /** WIRE: an attempt must end before the next one starts; the protocol page extends every time limit by this. */
  private static final long SLACK_MILLIS = 50;
  /** No attempt may start later than this after its client has closed the connection or cancelled the request. */
  private static final long MAX_START_AFTER_CLOSE_MILLIS = 100;
  /** Violations that are kept with their details; later ones are dropped. */
  private static final int MAX_KEPT_VIOLATIONS = 200;

  private final long startedAt = System.nanoTime();
  private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
  private final Map<Counter, AtomicLong> counters = new EnumMap<>(Counter.class);
  private final List<Violation> violations = new ArrayList<>();
  private final LagMonitor lagMonitor;
  private final long repeatWindowMillis;
  private volatile boolean closed;

  /** The events that a soak counts, so that a run that tested nothing is not mistaken for one without violations. */
  enum Counter {
    REQUESTS, SERVED, REFUSED, FAILED, EXCUSED, BAD_CLIENTS, LEAVERS, MOVED, LINES, ATTEMPTS, REPEATS, FAULTS, STARTS
  }

  RuleChecker(LagMonitor lagMonitor, long repeatWindowMillis) {
    this.lagMonitor = lagMonitor;
    this.repeatWindowMillis = repeatWindowMillis;
    for (Counter counter : Counter.values()) {
      counters.put(counter, new AtomicLong());
    }
  }

  long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
  }

  long allowanceMillis() {
    return lagMonitor.allowanceMillis();
  }

  void increment(Counter counter) {
    counters.get(counter).incrementAndGet();
  }

  long value(Counter counter) {
    return counters.get(counter).get();
  }

  /** Stops the checks: connections that end from now on end because the soak does. */
  void close() {
    closed = true;
  }

  void reportViolation(Rule rule, String detail) {
    if (!closed) {
      synchronized (violations) {
        if (violations.size() < MAX_KEPT_VIOLATIONS) {
          violations.add(new Violation(rule, elapsedMillis(), detail));
        }
      }
    }
  }

  List<Violation> violations() {
    synchronized (violations) {
      return List.copyOf(violations);
    }
  }

  RequestRecord registerRequest(String id, RequestClass requestClass) {
    RequestRecord request = new RequestRecord(id, requestClass);
    requests.put(id, request);
    return request;
  }

  /**
   * Records that a server received a complete request line. Returns the new attempt, or null for an id that no client
   * sent.
   */
  Attempt recordAttempt(String id, ServerIdentity server, int proxy, boolean relayed) {
    RequestRecord request = requests.get(id);
    if (request == null) {
      reportViolation(Rule.FALSE_RECEIPT, server.id() + " received a request that no client sent: " + id);
      return null;
    }
    increment(Counter.ATTEMPTS);
    Attempt attempt = new Attempt(server, proxy, System.nanoTime(), relayed);
    List<Attempt> earlierAttempts = request.add(attempt);
    if (!relayed) {
      checkClientPresent(request, attempt);
    }
    if (!earlierAttempts.isEmpty()) {
      increment(Counter.REPEATS);
      earlierAttempts.forEach(earlier -> checkRepeat(request, earlier, attempt));
    }
    return attempt;
  }

  private void checkClientPresent(RequestRecord request, Attempt attempt) {
    long lateMillis = TimeUnit.NANOSECONDS.toMillis(attempt.receivedAt - request.clientClosedAt);
    if (request.clientClosedAt != 0 && lateMillis > MAX_START_AFTER_CLOSE_MILLIS + allowanceMillis()) {
      reportViolation(Rule.SENT_FOR_GONE_CLIENT, "request " + request.id + " from proxy " + attempt.proxy + " reached "
          + attempt.server.id() + " " + lateMillis + " ms after its client had closed the connection");
    }
  }

  private void checkRepeat(RequestRecord request, Attempt earlier, Attempt later) {
    if (earlier.mayHaveRun && !request.requestClass.mayRepeatAt(earlier.server, later.server)) {
      reportViolation(Rule.REPEATED, request.requestClass.label + " request " + request.id + " from proxy "
          + later.proxy + " was sent to " + later.server + " after it may have run at " + earlier.server);
    }
    if (later.relayed) {
      // The relay may have delayed it, so it may have been sent before the earlier one.
      return;
    }
    long gapMillis = TimeUnit.NANOSECONDS.toMillis(later.receivedAt - earlier.receivedAt);
    if (earlier.mayHaveRun && request.requestClass.hasRepeatWindow()
        && gapMillis > repeatWindowMillis + SLACK_MILLIS + allowanceMillis()) {
      reportViolation(Rule.REPEATED,
          "keyed request " + request.id + " was repeated " + gapMillis + " ms after its first attempt");
    }
    if (earlier.closeDetectable && earlier.endedAt == 0) {
      Threads.start("parallel-check", () -> {
        Threads.sleepMillis(SLACK_MILLIS + allowanceMillis());
        if (earlier.closeDetectable && earlier.endedAt == 0) {
          reportViolation(Rule.PARALLEL_ATTEMPTS, "request " + request.id + " reached " + later.server.id() + " while "
              + earlier.server.id() + " still processed it, from proxy " + later.proxy);
        }
      });
    }
  }

  /** Records that a client received {@code BUSY}. */
  void recordRefusal(RequestRecord request) {
    increment(Counter.REFUSED);
    boolean mayHaveRun = request.attempts().stream().anyMatch(attempt -> attempt.mayHaveRun);
    if (mayHaveRun && !request.requestClass.mayBeRefusedAfterRunning()) {
      reportViolation(Rule.FALSE_REFUSAL, request.requestClass.label + " request " + request.id
          + " was refused after it may have run at " + request.attempts().get(0).server.id());
    }
  }

  /** Records that a client received {@code UP}; returns the attempt that issued the receipt, or null if none did. */
  Attempt recordServed(RequestRecord request, String receipt) {
    increment(Counter.SERVED);
    for (Attempt attempt : request.attempts()) {
      if (receipt.equals(attempt.receipt)) {
        return attempt;
      }
    }
    reportViolation(Rule.FALSE_RECEIPT,
        "request " + request.id + " was served with '" + receipt + "', which no server issued");
    return null;
  }

  /** Returns all counters on one line, for a report. */
  String summary() {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append(text.isEmpty() ? "" : ", ")
          .append(counter.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '))
          .append(' ').append(value(counter));
    }
    return text.toString();
  }
}
