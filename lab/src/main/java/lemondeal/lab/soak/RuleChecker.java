package lemondeal.lab.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The oracle: what clients and servers saw, held against the rules as it comes. Nothing that a proxy says of itself
 * goes in here but what it counts as its own violations.
 */
final class RuleChecker {
  /** WIRE: an attempt must end before the next begins; the protocol page lengthens every limit by this. */
  private static final long SLACK_MILLIS = 50;
  /** A client that closes or cancels has gone: no attempt begins later than this. */
  private static final long MAX_START_AFTER_CLOSE_MILLIS = 100;
  /** Violations kept with their details; beyond, only counts go up. */
  private static final int MAX_KEPT_VIOLATIONS = 200;

  private final long startedAt = System.nanoTime();
  private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
  private final Map<Counter, AtomicLong> counters = new EnumMap<>(Counter.class);
  private final List<Violation> violations = new ArrayList<>();
  private final LagMonitor lagMonitor;
  private final long repeatWindowMillis;
  private volatile boolean closed;

  /** What a soak counts, so that a run that tested nothing can be told from a clean one. */
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

  /** Nothing is judged any more: what ends now ends with the soak. */
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

  /** A first line came to a server whole; returns the attempt that it begins, or null for an id that no client sent. */
  Attempt recordAttempt(String id, ServerIdentity server, int proxy, boolean relayed) {
    RequestRecord request = requests.get(id);
    if (request == null) {
      reportViolation(Rule.FALSE_RECEIPT, server.id() + " got a request that no client sent: " + id);
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
      reportViolation(Rule.SENT_FOR_GONE_CLIENT, "request " + request.id + " from proxy " + attempt.proxy + " came to "
          + attempt.server.id() + " " + lateMillis + " ms after its client had closed");
    }
  }

  private void checkRepeat(RequestRecord request, Attempt earlier, Attempt later) {
    if (earlier.mayHaveRun && !request.requestClass.mayRepeatAt(earlier.server, later.server)) {
      reportViolation(Rule.REPEATED, request.requestClass.label + " request " + request.id + " from proxy " + later.proxy
          + " was sent to " + later.server + " after it may have run at " + earlier.server);
    }
    if (later.relayed) {
      // It may have been held on its way since before the other one was sent.
      return;
    }
    long gapMillis = TimeUnit.NANOSECONDS.toMillis(later.receivedAt - earlier.receivedAt);
    if (earlier.mayHaveRun && request.requestClass.hasRepeatWindow()
        && gapMillis > repeatWindowMillis + SLACK_MILLIS + allowanceMillis()) {
      reportViolation(Rule.REPEATED, "keyed request " + request.id + " was repeated " + gapMillis + " ms after its first attempt");
    }
    if (earlier.closeDetectable && earlier.endedAt == 0) {
      Threads.start("parallel-check", () -> {
        Threads.sleepMillis(SLACK_MILLIS + allowanceMillis());
        if (earlier.closeDetectable && earlier.endedAt == 0) {
          reportViolation(Rule.PARALLEL_ATTEMPTS, "request " + request.id + " came to " + later.server.id() + " while "
              + earlier.server.id() + " still had it, from proxy " + later.proxy);
        }
      });
    }
  }

  /** A client was told {@code BUSY}. */
  void recordRefusal(RequestRecord request) {
    increment(Counter.REFUSED);
    boolean mayHaveRun = request.attempts().stream().anyMatch(attempt -> attempt.mayHaveRun);
    if (mayHaveRun && !request.requestClass.mayBeRefusedAfterRunning()) {
      reportViolation(Rule.FALSE_REFUSAL, request.requestClass.label + " request " + request.id
          + " was refused after it may have run at " + request.attempts().get(0).server.id());
    }
  }

  /** A client was told {@code UP}; returns the attempt that serves it, or null if no server said so. */
  Attempt recordServed(RequestRecord request, String receipt) {
    increment(Counter.SERVED);
    for (Attempt attempt : request.attempts()) {
      if (receipt.equals(attempt.receipt)) {
        return attempt;
      }
    }
    reportViolation(Rule.FALSE_RECEIPT, "request " + request.id + " was served with '" + receipt + "', which no server gave");
    return null;
  }

  /** In one line, for a report. */
  String summary() {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append(text.isEmpty() ? "" : ", ").append(counter.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '))
          .append(' ').append(value(counter));
    }
    return text.toString();
  }
}
