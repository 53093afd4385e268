package lemondeal.lab.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the stand-in servers share of sessions, as link nodes would share it in a store behind them: the lines of each
 * direction and the highest epoch. Safe for use by several threads.
 */
public final class SessionStore {

  /** One session. */
  static final class Session {
    private long epoch;
    private final List<String> fromClient = new ArrayList<>();
    private final List<String> toClient = new ArrayList<>();
    private int attempts;
    private int mostAttempts;
  }

  /** What a connection may take over: the client's lines that are there, and whether that may be. */
  public record Taken(boolean granted, long has) {}

  private final Map<String, Session> sessions = new HashMap<>();
  private boolean fenced = true;
  private long refused;

  /** Without the fence: for showing that the checker finds out. */
  public synchronized void withoutFence() {
    fenced = false;
  }

  private Session session(String id) {
    return sessions.computeIfAbsent(id, made -> new Session());
  }

  /** An attempt has come to a server; it is out until {@link #attemptEnded}. */
  synchronized void attemptBegan(String id) {
    Session session = session(id);
    session.attempts++;
    session.mostAttempts = Math.max(session.mostAttempts, session.attempts);
  }

  synchronized void attemptEnded(String id) {
    session(id).attempts--;
  }

  /** Takes the session for a connection of this epoch, whose client has so many lines; only with the highest epoch. */
  synchronized Taken take(String id, long epoch, long have) {
    Session session = session(id);
    if (fenced && epoch <= session.epoch || have > session.toClient.size()) {
      refused++;
      return new Taken(false, 0);
    }
    session.epoch = Math.max(session.epoch, epoch);
    notifyAll();
    return new Taken(true, session.fromClient.size());
  }

  /** Keeps a line of the client and the server's line that answers it. The count of kept lines, or -1 if fenced out. */
  synchronized long apply(String id, long epoch, String line) {
    Session session = session(id);
    if (fenced && epoch < session.epoch) {
      refused++;
      return -1;
    }
    session.fromClient.add(line);
    session.toClient.add("price " + (session.toClient.size() + 1));
    notifyAll();
    return session.fromClient.size();
  }

  /**
   * The server's line of this number, waiting for it to come; null if it has not come after the wait, or the connection
   * is fenced out.
   */
  synchronized String line(String id, long epoch, long number, long millis) throws InterruptedException {
    Session session = session(id);
    if (session.toClient.size() < number && isHighest(id, epoch)) {
      wait(millis);
    }
    return session.toClient.size() < number || !isHighest(id, epoch) ? null : session.toClient.get((int) number - 1);
  }

  synchronized boolean isHighest(String id, long epoch) {
    return !fenced || epoch >= session(id).epoch;
  }

  /** The client's lines in the order in which they were applied. */
  public synchronized List<String> applied(String id) {
    return List.copyOf(session(id).fromClient);
  }

  /** The client's lines of every session. */
  public synchronized Map<String, List<String>> all() {
    Map<String, List<String>> all = new HashMap<>();
    sessions.forEach((id, session) -> all.put(id, List.copyOf(session.fromClient)));
    return all;
  }

  /** The most attempts of one session that were out at the same time. */
  public synchronized int mostAttempts() {
    return sessions.values().stream().mapToInt(session -> session.mostAttempts).max().orElse(0);
  }

  /** Waits until so many lines of clients have been kept. */
  public synchronized void awaitApplied(int count) throws InterruptedException {
    while (sessions.values().stream().mapToInt(session -> session.fromClient.size()).sum() < count) {
      wait();
    }
  }

  /** Waits until so many sessions have been taken. */
  public synchronized void awaitTaken(int count) throws InterruptedException {
    while (sessions.values().stream().filter(session -> session.epoch > 0).count() < count) {
      wait();
    }
  }

  /** Takes and lines that the fence kept out. */
  public synchronized long refused() {
    return refused;
  }
}
