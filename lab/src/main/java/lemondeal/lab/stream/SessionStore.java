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
    private int activeAttempts;
    private int maxActiveAttempts;
  }

  /** What a connection may take over: the client's lines that are there, and whether that may be. */
  public record TakeoverResult(boolean granted, long storedLines) {}

  private final Map<String, Session> sessions = new HashMap<>();
  private boolean fenced = true;
  private long fencedOutCount;

  /** Without the fence: for showing that the checker finds out. */
  public synchronized void disableFencing() {
    fenced = false;
  }

  private Session session(String id) {
    return sessions.computeIfAbsent(id, newId -> new Session());
  }

  /** An attempt has come to a server; it is out until {@link #attemptEnded}. */
  synchronized void attemptStarted(String id) {
    Session session = session(id);
    session.activeAttempts++;
    session.maxActiveAttempts = Math.max(session.maxActiveAttempts, session.activeAttempts);
  }

  synchronized void attemptEnded(String id) {
    session(id).activeAttempts--;
  }

  /** Takes the session for a connection of this epoch, whose client has so many lines; only with the highest epoch. */
  synchronized TakeoverResult takeOver(String id, long epoch, long receivedByClient) {
    Session session = session(id);
    if (fenced && epoch <= session.epoch || receivedByClient > session.toClient.size()) {
      fencedOutCount++;
      return new TakeoverResult(false, 0);
    }
    session.epoch = Math.max(session.epoch, epoch);
    notifyAll();
    return new TakeoverResult(true, session.fromClient.size());
  }

  /** Keeps a line of the client and the server's line that answers it. The count of kept lines, or -1 if fenced out. */
  synchronized long append(String id, long epoch, String line) {
    Session session = session(id);
    if (fenced && epoch < session.epoch) {
      fencedOutCount++;
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
  synchronized String awaitLine(String id, long epoch, long lineNumber, long timeoutMillis) throws InterruptedException {
    Session session = session(id);
    if (session.toClient.size() < lineNumber && isCurrentEpoch(id, epoch)) {
      wait(timeoutMillis);
    }
    return session.toClient.size() < lineNumber || !isCurrentEpoch(id, epoch) ? null : session.toClient.get((int) lineNumber - 1);
  }

  synchronized boolean isCurrentEpoch(String id, long epoch) {
    return !fenced || epoch >= session(id).epoch;
  }

  /** The client's lines in the order in which they were applied. */
  public synchronized List<String> clientLines(String id) {
    return List.copyOf(session(id).fromClient);
  }

  /** The client's lines of every session. */
  public synchronized Map<String, List<String>> clientLinesBySession() {
    Map<String, List<String>> copy = new HashMap<>();
    sessions.forEach((id, session) -> copy.put(id, List.copyOf(session.fromClient)));
    return copy;
  }

  /** The most attempts of one session that were out at the same time. */
  public synchronized int maxActiveAttempts() {
    return sessions.values().stream().mapToInt(session -> session.maxActiveAttempts).max().orElse(0);
  }

  /** Waits until so many lines of clients have been kept. */
  public synchronized void awaitClientLines(int count) throws InterruptedException {
    while (sessions.values().stream().mapToInt(session -> session.fromClient.size()).sum() < count) {
      wait();
    }
  }

  /** Waits until so many sessions have been taken. */
  public synchronized void awaitSessions(int count) throws InterruptedException {
    while (sessions.values().stream().filter(session -> session.epoch > 0).count() < count) {
      wait();
    }
  }

  /** Takes and lines that the fence kept out. */
  public synchronized long fencedOutCount() {
    return fencedOutCount;
  }
}
