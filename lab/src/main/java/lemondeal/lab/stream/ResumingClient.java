package lemondeal.lab.stream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import lemondeal.lab.Lines;

/**
 * A client that keeps to docs/RESUME-WIRE.md: sends its lines at a pace, keeps those that nobody has acknowledged, and
 * goes on with its token wherever the front sends it. Notes all that a user would complain of. Run by one thread.
 */
public final class ResumingClient implements Runnable {
  private static final int DEADLINE_MILLIS = 2000;
  private static final int UP_MILLIS = 8000;
  private static final long PAUSE_MILLIS = 100;

  /**
   * How it behaves.
   *
   * @param front where to connect to, anew each time
   * @param lines to send in all
   * @param paceMillis between two lines
   * @param resumes whether it asks for a session at all
   * @param until nanoseconds on {@link System#nanoTime} after which it gives up
   */
  public record Plan(Supplier<InetSocketAddress> front, String className, int lines, int paceMillis, boolean resumes,
      long until) {}

  private final Plan plan;
  private final String name;
  private final Deque<String> kept = new ArrayDeque<>();
  private int connections;
  private long sent;
  private long dropped;
  private long got;
  private String token = "";
  private long acknowledged;
  private long lastLine;
  private final List<String> breaches = new ArrayList<>();
  private final List<Long> gaps = new ArrayList<>();
  private final Map<String, Integer> notes = new TreeMap<>();
  private long restated;

  /** {@code name}: 8 hex digits that no other client has. */
  public ResumingClient(String name, Plan plan) {
    this.name = name;
    this.plan = plan;
  }

  /** The text of this client's line of the number. */
  public String line(long number) {
    return "order " + name + " " + number;
  }

  @Override
  public void run() {
    try {
      while (!isDone() && System.nanoTime() < plan.until()) {
        connect();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public boolean isDone() {
    return acknowledged >= plan.lines() && got >= plan.lines();
  }

  private void connect() throws InterruptedException {
    try (Lines lines = Lines.to(plan.front().get())) {
      lines.patience(UP_MILLIS);
      lines.write(firstLine());
      if (answered(lines.read())) {
        note("up");
        if (plan.resumes()) {
          began(lines.read(), lines);
        } else {
          restart(lines);
        }
        pass(lines);
      }
    } catch (IOException e) {
      note("broken");
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  private String firstLine() {
    String open = String.format("OPEN %s%08x %s c=%s,d=%d,g=%s", name, ++connections, name, plan.className(),
        DEADLINE_MILLIS, name);
    if (connections > 1) {
      open += ",again=1";
    }
    if (plan.resumes()) {
      open += ",resume=1" + (token.isEmpty() ? "" : ",token=" + token + ",got=" + got);
    }
    return open;
  }

  /** Whether a server has taken it. */
  private boolean answered(String answer) throws InterruptedException {
    if (answer != null && answer.startsWith("UP ")) {
      return true;
    }
    note(answer == null ? "closed" : answer.replaceAll(" [0-9].*", ""));
    if (answer != null && answer.matches("ERR (used|token|other|got)")) {
      breaches.add(name + ": " + answer + " to an honest token");
      forget();
    }
    boolean advised = answer != null && answer.matches("BUSY [0-9]+");
    Thread.sleep(advised ? Long.parseLong(answer.substring("BUSY ".length())) : PAUSE_MILLIS);
    return false;
  }

  /** The line behind UP. */
  private void began(String line, Lines lines) throws IOException {
    String[] words = (line == null ? "" : line).split(" ");
    if (words.length < 3 || !words[0].equals("RESUME")) {
      throw new IOException("no RESUME line, but " + line);
    }
    note(words[1].equals("at") ? "at" : words[1].equals("new") ? "new" : words[1] + " " + words[2]);
    if (words[1].equals("at")) {
      drop(Long.parseLong(words[2]));
      for (String again : kept) {
        lines.write(again);
      }
    } else {
      if (!token.isEmpty()) {
        breaches.add(name + ": had to begin anew: " + line);
      }
      forget();
    }
    token = words[1].equals("off") ? "" : words[words.length - 1];
  }

  private void forget() {
    token = "";
    got = 0;
    sent = 0;
    acknowledged = 0;
    dropped = 0;
    kept.clear();
  }

  /** Without a session a client can only send its stream once more. */
  private void restart(Lines lines) throws IOException {
    restated += sent;
    for (long number = 1; number <= sent; number++) {
      lines.write(line(number));
    }
    got = 0;
  }

  private void drop(long count) {
    while (dropped < count && !kept.isEmpty()) {
      kept.poll();
      dropped++;
    }
    acknowledged = Math.max(acknowledged, count);
    if (dropped < count) {
      breaches.add(name + ": " + count + " lines acknowledged of " + sent);
    }
  }

  private void pass(Lines lines) throws IOException {
    lines.patience(plan.paceMillis());
    boolean first = true;
    if (connections > 1) {
      // A user's next line does not wait: what is measured is the gap, not the pace.
      sendNext(lines);
    }
    while (!isDone() && System.nanoTime() < plan.until()) {
      try {
        String line = lines.read();
        if (line == null) {
          return;
        }
        first = heard(line, first);
      } catch (SocketTimeoutException e) {
        sendNext(lines);
      }
    }
  }

  private void sendNext(Lines lines) throws IOException {
    if (sent < plan.lines()) {
      sent++;
      kept.add(line(sent));
      lines.write(line(sent));
    }
  }

  /** Whether the first line of the connection is still to come. */
  private boolean heard(String line, boolean first) {
    String[] words = line.split(" ");
    switch (words[0]) {
      case "ACK" -> drop(Long.parseLong(words[1]));
      case "TOKEN" -> token = words[1];
      case "MOVE" -> {
        note("moved");
        token = words.length > 1 ? words[1] : token;
      }
      case "LOAD", "BYE" -> { }
      case "RESUME" -> {
        breaches.add(name + ": " + line);
        token = "";
      }
      default -> {
        data(line);
        long now = System.nanoTime();
        if (first && lastLine != 0) {
          gaps.add(now - lastLine);
        }
        lastLine = now;
        return false;
      }
    }
    return first;
  }

  private void data(String line) {
    got++;
    if (!plan.resumes()) {
      acknowledged = got;
      kept.poll();
    } else if (!line.equals("price " + got)) {
      breaches.add(name + ": line " + got + " to the client is '" + line + "'");
    }
  }

  private void note(String what) {
    notes.merge(what, 1, Integer::sum);
  }

  // ---- What is to be told of it, once its thread has ended -------------------------------------

  public String name() {
    return name;
  }

  public long sent() {
    return sent;
  }

  public long acknowledged() {
    return acknowledged;
  }

  public long got() {
    return got;
  }

  /** Lines sent once more that had been sent before. */
  public long restated() {
    return restated;
  }

  public List<String> breaches() {
    return breaches;
  }

  /** Nanoseconds from the last line of one connection to the first of the next. */
  public List<Long> gaps() {
    return gaps;
  }

  public Map<String, Integer> notes() {
    return notes;
  }
}
