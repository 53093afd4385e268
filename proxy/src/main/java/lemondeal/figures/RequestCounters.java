package lemondeal.figures;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The counters of one process, from 0 at its start. Each is counted once, at the one place where the thing happens,
 * on the I/O thread. What is a state rather than a count (connections held, servers known) is not kept here, since a
 * second copy could differ from its owner's.
 */
public final class RequestCounters {
  private final List<String> classes;
  private final List<ClassCounts> classCounts = new ArrayList<>();
  private final Counter attempts;

  private static final class Counter {
    private long value;
  }

  /** How requests of one class ended. */
  private static final class ClassCounts {
    private long served;
    private long refused;
    private long failed;
  }

  /** Counts for these classes, in the settings' order. */
  public RequestCounters(List<String> classes) {
    this(classes, List.of(), List.of(), new Counter());
  }

  private RequestCounters(List<String> classes, List<String> previousClasses, List<ClassCounts> previousCounts, Counter attempts) {
    this.classes = classes;
    this.attempts = attempts;
    for (String name : classes) {
      classCounts.add(previousClasses.contains(name) ? previousCounts.get(previousClasses.indexOf(name)) : new ClassCounts());
    }
  }

  /**
   * The same process's figures under other settings. A class that both name is counted on, whichever settings its
   * requests came under; one that only these here name is told no more.
   */
  public RequestCounters withClasses(List<String> classes) {
    return new RequestCounters(classes, this.classes, classCounts, attempts);
  }

  /** A server's UP was passed on. */
  public void countServed(int requestClass) {
    classCounts.get(requestClass).served++;
  }

  /** A client was answered BUSY. */
  public void countRefused(int requestClass) {
    classCounts.get(requestClass).refused++;
  }

  /** A client was answered anything else. */
  public void countFailed(int requestClass) {
    classCounts.get(requestClass).failed++;
  }

  /** The last byte of a first line was written to a server. */
  public void countAttempt() {
    attempts.value++;
  }

  /** Adds every count under its name, those of classes that nobody asked for too. */
  public void addTo(Map<String, Long> metrics) {
    for (int index = 0; index < classes.size(); index++) {
      metrics.put("served." + classes.get(index), classCounts.get(index).served);
      metrics.put("refused." + classes.get(index), classCounts.get(index).refused);
      metrics.put("failed." + classes.get(index), classCounts.get(index).failed);
    }
    metrics.put("attempts", attempts.value);
  }
}
