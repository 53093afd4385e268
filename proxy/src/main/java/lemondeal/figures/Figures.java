package lemondeal.figures;

import java.util.List;
import java.util.Map;

/**
 * The counters of one process, from 0 at its start. Each is counted once, at the one place where the thing happens,
 * on the I/O thread. What is a state rather than a count (connections held, servers known) is not kept here, since a
 * second copy could differ from its owner's.
 */
public final class Figures {
  private final List<String> classes;
  private final long[] served;
  private final long[] refused;
  private final long[] failed;
  private long attempts;

  /** Counts for these classes, in the settings' order. */
  public Figures(List<String> classes) {
    this.classes = classes;
    served = new long[classes.size()];
    refused = new long[classes.size()];
    failed = new long[classes.size()];
  }

  /** A server's UP was passed on. */
  public void served(int requestClass) {
    served[requestClass]++;
  }

  /** A client was answered BUSY. */
  public void refused(int requestClass) {
    refused[requestClass]++;
  }

  /** A client was answered anything else. */
  public void failed(int requestClass) {
    failed[requestClass]++;
  }

  /** The last byte of a first line was written to a server. */
  public void attempted() {
    attempts++;
  }

  /** Adds every count under its name, those of classes that nobody asked for too. */
  public void addTo(Map<String, Long> figures) {
    for (int c = 0; c < served.length; c++) {
      figures.put("served." + classes.get(c), served[c]);
      figures.put("refused." + classes.get(c), refused[c]);
      figures.put("failed." + classes.get(c), failed[c]);
    }
    figures.put("attempts", attempts);
  }
}
