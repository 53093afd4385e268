package lemondeal.figures;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The counters of one process, starting from 0. Each is incremented on the I/O thread at the single place where its
 * event happens. Gauges (open connections, known servers) are not kept here, since a copy could differ from the
 * actual state.
 */
public final class RequestCounters {
  private final List<String> classes;
  private final List<ClassCounts> classCounts = new ArrayList<>();
  private final Counter attempts;

  private static final class Counter {
    private long value;
  }

  /** Requests of one class by outcome. */
  private static final class ClassCounts {
    private long served;
    private long refused;
    private long failed;
  }

  /** Creates counters for these classes, in the order of the settings. */
  public RequestCounters(List<String> classes) {
    this(classes, List.of(), List.of(), new Counter());
  }

  private RequestCounters(List<String> classes, List<String> previousClasses, List<ClassCounts> previousCounts,
      Counter attempts) {
    this.classes = classes;
    this.attempts = attempts;
    for (String name : classes) {
      classCounts.add(previousClasses.contains(name) ? previousCounts.get(previousClasses.indexOf(name))
          : new ClassCounts());
    }
  }

  /**
   * The counters of this process after a change of settings. A class in both keeps its counts, whichever settings its
   * requests were accepted under; a class that is no longer in the settings is no longer reported.
   */
  public RequestCounters withClasses(List<String> classes) {
    return new RequestCounters(classes, this.classes, classCounts, attempts);
  }

  /** Counts a request whose server's UP was passed on. */
  public void countServed(int requestClass) {
    classCounts.get(requestClass).served++;
  }

  /** Counts a request answered with BUSY. */
  public void countRefused(int requestClass) {
    classCounts.get(requestClass).refused++;
  }

  /** Counts a request answered with anything else. */
  public void countFailed(int requestClass) {
    classCounts.get(requestClass).failed++;
  }

  /** Counts an attempt: the last byte of a first line was written to a server. */
  public void countAttempt() {
    attempts.value++;
  }

  /** Adds all counters under their names, also those of classes without requests. */
  public void addTo(Map<String, Long> metrics) {
    for (int index = 0; index < classes.size(); index++) {
      metrics.put("served." + classes.get(index), classCounts.get(index).served);
      metrics.put("refused." + classes.get(index), classCounts.get(index).refused);
      metrics.put("failed." + classes.get(index), classCounts.get(index).failed);
    }
    metrics.put("attempts", attempts.value);
  }
}
