package lemondeal.lab.stream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.LineConnection;

/**
 * A fake server on loopback that can resume sessions, as docs/RESUME-WIRE.md specifies for servers. Stores each line,
 * acknowledges it with {@code ACK N} and sends a reply line. {@link ResponseMode} selects a fault.
 */
public final class ResumableServer implements AutoCloseable {
  private static final long LINE_WAIT_MILLIS = 100;

  /** How {@code OPEN} is answered. */
  public enum ResponseMode { SERVES, CANNOT_RESUME, FULL, SILENT, ERRS }

  private final SessionStore store;
  private final ServerSocket socket;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger receiptCount = new AtomicInteger();
  private final AtomicInteger openCount = new AtomicInteger();
  private volatile ResponseMode responseMode = ResponseMode.SERVES;
  private volatile boolean draining;
  private volatile boolean acknowledges = true;
  private volatile boolean replays = true;

  public ResumableServer(SessionStore store) throws IOException {
    this.store = store;
    socket = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    startDaemon(this::accept, "accept");
  }

  private static void startDaemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  public void setResponseMode(ResponseMode newMode) {
    responseMode = newMode;
  }

  /** Stores lines without acknowledging them. */
  public void disableAcknowledgements() {
    acknowledges = false;
  }

  /** Sends from the first line regardless of what the client has, to show that the checker detects it. */
  public void disableReplay() {
    replays = false;
  }

  /** Returns the number of established connections. */
  public int openConnections() {
    return (int) connections.stream().filter(connection -> connection.established).count();
  }

  /** Waits until no established connection is left. */
  public synchronized void awaitNoConnections() throws InterruptedException {
    while (openConnections() > 0) {
      wait();
    }
  }

  private synchronized void onConnectionEnd(Connection connection) {
    connections.remove(connection);
    notifyAll();
  }

  /** Returns the number of {@code OPEN} lines received. */
  public int openCount() {
    return openCount.get();
  }

  /** Sends {@code MOVE} to all clients and refuses new ones. */
  public void drain() {
    draining = true;
    connections.forEach(Connection::sendMove);
  }

  /** Resets all connections, as a crash does. */
  public void kill() {
    close();
    connections.forEach(connection -> connection.lines.reset());
  }

  private void accept() {
    try {
      while (true) {
        Socket accepted = socket.accept();
        Connection connection = new Connection(new LineConnection(accepted));
        connections.add(connection);
        startDaemon(connection::run, "server");
      }
    } catch (IOException e) {
      // The server is closed.
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }

  /** A connection from a proxy, for one client. */
  private final class Connection {
    private final LineConnection lines;
    private String session;
    private long epoch;
    private long nextLine;
    private volatile boolean established;
    private volatile boolean moveSent;

    Connection(LineConnection lines) {
      this.lines = lines;
    }

    void run() {
      try {
        String line = lines.readLine();
        while ("PING".equals(line) || "STATS".equals(line)) {
          lines.writeLines("PONG" + (line.equals("STATS") ? " inflight=1,qps=1,x0=0.1" : ""));
          line = lines.readLine();
        }
        if (line != null) {
          handleOpen(line);
        }
      } catch (IOException e) {
        // The end of the connection is handled below.
      } finally {
        onConnectionEnd(this);
        lines.close();
      }
    }

    private void handleOpen(String line) throws IOException {
      openCount.incrementAndGet();
      Map<String, String> values = new HashMap<>();
      for (String pair : line.split(" ")[3].split(",")) {
        values.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
      session = values.get("session");
      if (session == null || responseMode == ResponseMode.CANNOT_RESUME) {
        servePlain();
        return;
      }
      epoch = Long.parseLong(values.get("epoch"));
      nextLine = Long.parseLong(values.get("have")) + 1;
      store.attemptStarted(session);
      try {
        if (!respond()) {
          return;
        }
      } finally {
        store.attemptEnded(session);
      }
      startDaemon(this::sendStoredLines, "push");
      serve();
    }

    /** Answers {@code OPEN}. Returns whether the connection has taken the session over. */
    private boolean respond() throws IOException {
      switch (draining ? ResponseMode.FULL : responseMode) {
        case FULL -> lines.writeLines("BUSY");
        case ERRS -> lines.writeLines("ERR");
        case SILENT -> lines.readLine();
        default -> {
          return takeSession();
        }
      }
      return false;
    }

    private boolean takeSession() throws IOException {
      SessionStore.TakeoverResult takeover = store.takeOver(session, epoch, nextLine - 1);
      lines.writeLines(takeover.granted() ? "UP r" + receiptCount.incrementAndGet()
          + " resumed=" + takeover.storedLines() : "ERR");
      established = takeover.granted();
      return established;
    }

    /** Serves the connection without a session. */
    private void servePlain() throws IOException {
      if (draining) {
        lines.writeLines("BUSY");
        return;
      }
      lines.writeLines("UP r" + receiptCount.incrementAndGet());
      established = true;
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (!moveSent) {
          lines.writeLines("echo " + line);
        }
      }
    }

    private void serve() throws IOException {
      if (draining) {
        sendMove();
      }
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        long storedCount = store.append(session, epoch, line);
        if (storedCount < 0) {
          return;
        }
        if (acknowledges && !moveSent) {
          lines.writeLines("ACK " + storedCount);
        }
      }
    }

    /** Sends the session's lines to the client, beginning with the first that the client does not have. */
    private void sendStoredLines() {
      try {
        if (!replays) {
          nextLine = 1;
        }
        while (!moveSent && store.isCurrentEpoch(session, epoch) && connections.contains(this)) {
          String line = store.awaitLine(session, epoch, nextLine, LINE_WAIT_MILLIS);
          if (line != null) {
            synchronized (this) {
              if (!moveSent) {
                lines.writeLines(line);
                nextLine++;
              }
            }
          }
        }
      } catch (IOException e) {
        lines.close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void sendMove() {
      try {
        synchronized (this) {
          if (established && !moveSent) {
            moveSent = true;
            lines.writeLines("MOVE");
            lines.shutdownOutput();
          }
        }
      } catch (IOException e) {
        lines.close();
      }
    }
  }
}
