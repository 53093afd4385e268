package lemondeal.figures;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The counters of one process, from 0 at its start. Each is counted once, at the one place where the thing happens,
 * on the I/O thread. What is a state rather than a count (connections held, servers known) is not kept here, since a
 * second copy could differ from its owner's.
 */
public final class Figures {
  private final List<String> classes;
  private final List<Answers> answers = new ArrayList<>();
  private final Count attempts;

  private static final class Count {
    private long value;
  }

  /** How requests of one class ended. */
  private static final class Answers {
    private long served;
    private long refused;
    private long failed;
  }

  /** Counts for these classes, in the settings' order. */
  public Figures(List<String> classes) {
    this(classes, List.of(), List.of(), new Count());
  }

  private Figures(List<String> classes, List<String> before, List<Answers> counted, Count attempts) {
    this.classes = classes;
    this.attempts = attempts;
    for (String name : classes) {
      answers.add(before.contains(name) ? counted.get(before.indexOf(name)) : new Answers());
    }
  }

  /**
   * The same process's figures under other settings. A class that both name is counted on, whichever settings its
   * requests came under; one that only these here name is told no more.
   */
  public Figures next(List<String> classes) {
    return new Figures(classes, this.classes, answers, attempts);
  }

  /** A server's UP was passed on. */
  public void served(int requestClass) {
    answers.get(requestClass).served++;
  }

  /** A client was answered BUSY. */
  public void refused(int requestClass) {
    answers.get(requestClass).refused++;
  }

  /** A client was answered anything else. */
  public void failed(int requestClass) {
    answers.get(requestClass).failed++;
  }

  /** The last byte of a first line was written to a server. */
  public void attempted() {
    attempts.value++;
  }

  /** Adds every count under its name, those of classes that nobody asked for too. */
  public void addTo(Map<String, Long> figures) {
    for (int c = 0; c < classes.size(); c++) {
      figures.put("served." + classes.get(c), answers.get(c).served);
      figures.put("refused." + classes.get(c), answers.get(c).refused);
      figures.put("failed." + classes.get(c), answers.get(c).failed);
    }
    figures.put("attempts", attempts.value);
  }
}
