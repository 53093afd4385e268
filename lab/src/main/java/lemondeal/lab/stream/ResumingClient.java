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
import lemondeal.lab.LineConnection;

/**
 * A client that implements docs/RESUME-WIRE.md: sends lines at a fixed interval, keeps the unacknowledged ones, and
 * resumes with its token at any proxy. Records every breach that its user would notice. Runs on one thread.
 */
public final class ResumingClient implements Runnable {
  private static final int DEADLINE_MILLIS = 2000;
  private static final int UP_TIMEOUT_MILLIS = 8000;
  private static final long RETRY_DELAY_MILLIS = 100;

  /**
   * How the client behaves.
   *
   * @param nextProxy supplies the address for each connection
   * @param lines total number of lines to send
   * @param paceMillis interval between two lines
   * @param resumable whether the client requests a resumable session
   * @param deadlineNanos {@link System#nanoTime} after which the client gives up
   */
  public record Settings(Supplier<InetSocketAddress> nextProxy, String className, int lines, int paceMillis,
      boolean resumable, long deadlineNanos) {}

  private final Settings settings;
  private final String name;
  private final Deque<String> unacknowledged = new ArrayDeque<>();
  private int connectionCount;
  private long sent;
  private long droppedCount;
  private long received;
  private String token = "";
  private long acknowledged;
  private long lastLineNanos;
  private final List<String> breaches = new ArrayList<>();
  private final List<Long> gaps = new ArrayList<>();
  private final Map<String, Integer> eventCounts = new TreeMap<>();
  private long resent;

  /** @param name 8 hex digits, unique among the clients */
  public ResumingClient(String name, Settings settings) {
    this.name = name;
    this.settings = settings;
  }

  /** Returns the text of the client's line with this number. */
  public String lineText(long number) {
    return "order " + name + " " + number;
  }

  @Override
  public void run() {
    try {
      while (!isDone() && System.nanoTime() < settings.deadlineNanos()) {
        connect();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public boolean isDone() {
    return acknowledged >= settings.lines() && received >= settings.lines();
  }

  private void connect() throws InterruptedException {
    try (LineConnection connection = LineConnection.connect(settings.nextProxy().get())) {
      connection.setReadTimeout(UP_TIMEOUT_MILLIS);
      connection.writeLines(firstLine());
      if (isAccepted(connection.readLine())) {
        countEvent("up");
        if (settings.resumable()) {
          onResumeLine(connection.readLine(), connection);
        } else {
          resendAll(connection);
        }
        exchangeLines(connection);
      }
    } catch (IOException e) {
      countEvent("broken");
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private String firstLine() {
    String open = String.format("OPEN %s%08x %s c=%s,d=%d,g=%s", name, ++connectionCount, name, settings.className(),
        DEADLINE_MILLIS, name);
    if (connectionCount > 1) {
      open += ",again=1";
    }
    if (settings.resumable()) {
      open += ",resume=1" + (token.isEmpty() ? "" : ",token=" + token + ",got=" + received);
    }
    return open;
  }

  /** Handles the answer to the first line. Returns whether a server accepted the connection. */
  private boolean isAccepted(String answer) throws InterruptedException {
    if (answer != null && answer.startsWith("UP ")) {
      return true;
    }
    countEvent(answer == null ? "closed" : answer.replaceAll(" [0-9].*", ""));
    if (answer != null && answer.matches("ERR (used|token|other|got)")) {
      breaches.add(name + ": " + answer + " for a valid token");
      resetSession();
    }
    boolean retryDelayGiven = answer != null && answer.matches("BUSY [0-9]+");
    Thread.sleep(retryDelayGiven ? Long.parseLong(answer.substring("BUSY ".length())) : RETRY_DELAY_MILLIS);
    return false;
  }

  /** Handles the line after UP. */
  private void onResumeLine(String line, LineConnection connection) throws IOException {
    String[] fields = (line == null ? "" : line).split(" ");
    if (fields.length < 3 || !fields[0].equals("RESUME")) {
      throw new IOException("expected a RESUME line, found " + line);
    }
    countEvent(fields[1].equals("at") ? "at" : fields[1].equals("new") ? "new" : fields[1] + " " + fields[2]);
    if (fields[1].equals("at")) {
      dropAcknowledged(Long.parseLong(fields[2]));
      for (String unacknowledgedLine : unacknowledged) {
        connection.writeLines(unacknowledgedLine);
      }
    } else {
      if (!token.isEmpty()) {
        breaches.add(name + ": had to start a new session: " + line);
      }
      resetSession();
    }
    token = fields[1].equals("off") ? "" : fields[fields.length - 1];
  }

  private void resetSession() {
    token = "";
    received = 0;
    sent = 0;
    acknowledged = 0;
    droppedCount = 0;
    unacknowledged.clear();
  }

  /** Without a session a client can only send all its lines again. */
  private void resendAll(LineConnection connection) throws IOException {
    resent += sent;
    for (long number = 1; number <= sent; number++) {
      connection.writeLines(lineText(number));
    }
    received = 0;
  }

  private void dropAcknowledged(long count) {
    while (droppedCount < count && !unacknowledged.isEmpty()) {
      unacknowledged.poll();
      droppedCount++;
    }
    acknowledged = Math.max(acknowledged, count);
    if (droppedCount < count) {
      breaches.add(name + ": " + count + " lines acknowledged of " + sent);
    }
  }

  private void exchangeLines(LineConnection connection) throws IOException {
    connection.setReadTimeout(settings.paceMillis());
    boolean firstLinePending = true;
    if (connectionCount > 1) {
      // Sends the next line at once after a reconnection, so that the gap is measured and not the interval.
      sendNext(connection);
    }
    while (!isDone() && System.nanoTime() < settings.deadlineNanos()) {
      try {
        String line = connection.readLine();
        if (line == null) {
          return;
        }
        firstLinePending = onLine(line, firstLinePending);
      } catch (SocketTimeoutException e) {
        sendNext(connection);
      }
    }
  }

  private void sendNext(LineConnection connection) throws IOException {
    if (sent < settings.lines()) {
      sent++;
      unacknowledged.add(lineText(sent));
      connection.writeLines(lineText(sent));
    }
  }

  /** Handles a line. Returns whether the connection's first data line is still pending. */
  private boolean onLine(String line, boolean firstLinePending) {
    String[] fields = line.split(" ");
    switch (fields[0]) {
      case "ACK" -> dropAcknowledged(Long.parseLong(fields[1]));
      case "TOKEN" -> token = fields[1];
      case "MOVE" -> {
        countEvent("moved");
        token = fields.length > 1 ? fields[1] : token;
      }
      case "LOAD", "BYE" -> { }
      case "RESUME" -> {
        breaches.add(name + ": " + line);
        token = "";
      }
      default -> {
        onDataLine(line);
        long now = System.nanoTime();
        if (firstLinePending && lastLineNanos != 0) {
          gaps.add(now - lastLineNanos);
        }
        lastLineNanos = now;
        return false;
      }
    }
    return firstLinePending;
  }

  private void onDataLine(String line) {
    received++;
    if (!settings.resumable()) {
      acknowledged = received;
      unacknowledged.poll();
    } else if (!line.equals("price " + received)) {
      breaches.add(name + ": line " + received + " to the client is '" + line + "'");
    }
  }

  private void countEvent(String event) {
    eventCounts.merge(event, 1, Integer::sum);
  }

  // ---- Results, valid after the thread has ended -------------------------------------

  public String name() {
    return name;
  }

  public long sent() {
    return sent;
  }

  public long acknowledged() {
    return acknowledged;
  }

  public long received() {
    return received;
  }

  /** Returns the number of lines sent again without a session. */
  public long resent() {
    return resent;
  }

  public List<String> breaches() {
    return breaches;
  }

  /** Returns the nanoseconds from the last line of each connection to the first line of the next. */
  public List<Long> gaps() {
    return gaps;
  }

  public Map<String, Integer> eventCounts() {
    return eventCounts;
  }
}
