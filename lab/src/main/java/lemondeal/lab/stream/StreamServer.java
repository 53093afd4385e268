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
import lemondeal.lab.Lines;

/**
 * A stand-in link node on loopback that can resume sessions, as docs/RESUME-WIRE.md specifies for servers. Keeps a line,
 * answers {@code ACK N}, and sends a line of its own for each; has faults to order.
 */
public final class StreamServer implements AutoCloseable {
  private static final long WAIT_MILLIS = 100;

  /** What it does with an {@code OPEN}. */
  public enum Mood { SERVES, CANNOT_RESUME, FULL, SILENT, ERRS }

  private final SessionStore store;
  private final ServerSocket socket;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger receipts = new AtomicInteger();
  private final AtomicInteger opened = new AtomicInteger();
  private volatile Mood mood = Mood.SERVES;
  private volatile boolean draining;
  private volatile boolean acknowledges = true;
  private volatile boolean replays = true;

  public StreamServer(SessionStore store) throws IOException {
    this.store = store;
    socket = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    daemon(this::accept, "accept");
  }

  private static void daemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  public void mood(Mood newMood) {
    mood = newMood;
  }

  /** Keeps lines and says nothing of it. */
  public void withoutAcknowledging() {
    acknowledges = false;
  }

  /** Begins with its first line whatever its client has: for showing that the checker finds out. */
  public void withoutReplay() {
    replays = false;
  }

  /** Connections that stand. */
  public int standing() {
    return (int) connections.stream().filter(c -> c.up).count();
  }

  /** Waits until no connection stands any more. */
  public synchronized void awaitEmpty() throws InterruptedException {
    while (standing() > 0) {
      wait();
    }
  }

  private synchronized void left(Connection connection) {
    connections.remove(connection);
    notifyAll();
  }

  /** First lines that came. */
  public int opened() {
    return opened.get();
  }

  /** Sends all clients away and takes no new ones. */
  public void drain() {
    draining = true;
    connections.forEach(Connection::moveAway);
  }

  /** Dies without a word. */
  public void kill() {
    close();
    connections.forEach(connection -> connection.lines.reset());
  }

  private void accept() {
    try {
      while (true) {
        Socket accepted = socket.accept();
        Connection connection = new Connection(new Lines(accepted));
        connections.add(connection);
        daemon(connection::run, "server");
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  /** One client link's connection to this server. */
  private final class Connection {
    private final Lines lines;
    private String session;
    private long epoch;
    private long next;
    private volatile boolean up;
    private volatile boolean moved;

    Connection(Lines lines) {
      this.lines = lines;
    }

    void run() {
      try {
        String line = lines.read();
        while ("PING".equals(line) || "STATS".equals(line)) {
          lines.write("PONG" + (line.equals("STATS") ? " inflight=1,qps=1,x0=0.1" : ""));
          line = lines.read();
        }
        if (line != null) {
          open(line);
        }
      } catch (IOException e) {
        // Its end is noted below, as any other.
      } finally {
        left(this);
        lines.close();
      }
    }

    private void open(String line) throws IOException {
      opened.incrementAndGet();
      Map<String, String> values = new HashMap<>();
      for (String pair : line.split(" ")[3].split(",")) {
        values.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
      session = values.get("session");
      if (session == null || mood == Mood.CANNOT_RESUME) {
        plain();
        return;
      }
      epoch = Long.parseLong(values.get("epoch"));
      next = Long.parseLong(values.get("have")) + 1;
      store.attemptBegan(session);
      try {
        if (!answer()) {
          return;
        }
      } finally {
        store.attemptEnded(session);
      }
      daemon(this::push, "push");
      serve();
    }

    /** Whether the session is this connection's from now on. */
    private boolean answer() throws IOException {
      switch (draining ? Mood.FULL : mood) {
        case FULL -> lines.write("BUSY");
        case ERRS -> lines.write("ERR");
        case SILENT -> lines.read();
        default -> {
          return takeSession();
        }
      }
      return false;
    }

    private boolean takeSession() throws IOException {
      SessionStore.Taken taken = store.take(session, epoch, next - 1);
      lines.write(taken.granted() ? "UP r" + receipts.incrementAndGet() + " resumed=" + taken.has() : "ERR");
      up = taken.granted();
      return up;
    }

    /** As a server that knows nothing of sessions. */
    private void plain() throws IOException {
      if (draining) {
        lines.write("BUSY");
        return;
      }
      lines.write("UP r" + receipts.incrementAndGet());
      up = true;
      for (String line = lines.read(); line != null; line = lines.read()) {
        if (!moved) {
          lines.write("echo " + line);
        }
      }
    }

    private void serve() throws IOException {
      if (draining) {
        moveAway();
      }
      for (String line = lines.read(); line != null; line = lines.read()) {
        long kept = store.apply(session, epoch, line);
        if (kept < 0) {
          return;
        }
        if (acknowledges && !moved) {
          lines.write("ACK " + kept);
        }
      }
    }

    /** Sends the session's lines, those that the client does not have first. */
    private void push() {
      try {
        if (!replays) {
          next = 1;
        }
        while (!moved && store.isHighest(session, epoch) && connections.contains(this)) {
          String line = store.line(session, epoch, next, WAIT_MILLIS);
          if (line != null) {
            synchronized (this) {
              if (!moved) {
                lines.write(line);
                next++;
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

    private void moveAway() {
      try {
        synchronized (this) {
          if (up && !moved) {
            moved = true;
            lines.write("MOVE");
            lines.end();
          }
        }
      } catch (IOException e) {
        lines.close();
      }
    }
  }
}
