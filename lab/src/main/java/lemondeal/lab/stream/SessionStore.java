package lemondeal.lab.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Session data shared by the fake servers, as real servers would share it in a database: the lines of each direction
 * and the highest epoch. Thread-safe.
 */
public final class SessionStore {

  static final class Session {
    private long epoch;
    private final List<String> fromClient = new ArrayList<>();
    private final List<String> toClient = new ArrayList<>();
    private int activeAttempts;
    private int maxActiveAttempts;
  }

  /** Result of a takeover: whether it was granted, and the number of the client's stored lines. */
  public record TakeoverResult(boolean granted, long storedLines) {}

  private final Map<String, Session> sessions = new HashMap<>();
  private boolean fenced = true;
  private long rejectedCount;

  /** Turns fencing off, to show that {@link ResumeChecker} detects the duplicate lines. */
  public synchronized void disableFencing() {
    fenced = false;
  }

  private Session session(String id) {
    return sessions.computeIfAbsent(id, newId -> new Session());
  }

  /** Records that an attempt has reached a server; it stays active until {@link #attemptEnded}. */
  synchronized void attemptStarted(String id) {
    Session session = session(id);
    session.activeAttempts++;
    session.maxActiveAttempts = Math.max(session.maxActiveAttempts, session.activeAttempts);
  }

  synchronized void attemptEnded(String id) {
    session(id).activeAttempts--;
  }

  /**
   * Takes the session over for a connection. Granted only if its epoch is the highest so far, and if its client has
   * received no more lines than the store has for it.
   */
  synchronized TakeoverResult takeOver(String id, long epoch, long receivedByClient) {
    Session session = session(id);
    if (fenced && epoch <= session.epoch || receivedByClient > session.toClient.size()) {
      rejectedCount++;
      return new TakeoverResult(false, 0);
    }
    session.epoch = Math.max(session.epoch, epoch);
    notifyAll();
    return new TakeoverResult(true, session.fromClient.size());
  }

  /** Stores a client line and the server's reply to it. Returns the number of stored lines, or -1 if fenced out. */
  synchronized long append(String id, long epoch, String line) {
    Session session = session(id);
    if (fenced && epoch < session.epoch) {
      rejectedCount++;
      return -1;
    }
    session.fromClient.add(line);
    session.toClient.add("price " + (session.toClient.size() + 1));
    notifyAll();
    return session.fromClient.size();
  }

  /**
   * Returns the server's line with this number. If it is not stored yet, waits until any session changes or the timeout
   * expires; returns null if the line is still missing then, or if the connection is fenced out.
   */
  synchronized String awaitLine(String id, long epoch, long lineNumber, long timeoutMillis)
      throws InterruptedException {
    Session session = session(id);
    if (session.toClient.size() < lineNumber && isCurrentEpoch(id, epoch)) {
      wait(timeoutMillis);
    }
    return session.toClient.size() < lineNumber || !isCurrentEpoch(id, epoch) ? null
        : session.toClient.get((int) lineNumber - 1);
  }

  synchronized boolean isCurrentEpoch(String id, long epoch) {
    return !fenced || epoch >= session(id).epoch;
  }

  /** Returns the client's lines in the order in which they were stored. */
  public synchronized List<String> clientLines(String id) {
    return List.copyOf(session(id).fromClient);
  }

  /** Returns the client's lines of every session. */
  public synchronized Map<String, List<String>> clientLinesBySession() {
    Map<String, List<String>> copy = new HashMap<>();
    sessions.forEach((id, session) -> copy.put(id, List.copyOf(session.fromClient)));
    return copy;
  }

  /** Returns the highest number of concurrent attempts of one session. */
  public synchronized int maxActiveAttempts() {
    return sessions.values().stream().mapToInt(session -> session.maxActiveAttempts).max().orElse(0);
  }

  /** Waits until {@code count} client lines have been stored. */
  public synchronized void awaitClientLines(int count) throws InterruptedException {
    while (sessions.values().stream().mapToInt(session -> session.fromClient.size()).sum() < count) {
      wait();
    }
  }

  /** Waits until {@code count} sessions have been taken over by a connection. */
  public synchronized void awaitSessions(int count) throws InterruptedException {
    while (sessions.values().stream().filter(session -> session.epoch > 0).count() < count) {
      wait();
    }
  }

  /** Returns the number of rejected takeovers and lines. */
  public synchronized long rejectedCount() {
    return rejectedCount;
  }
}
