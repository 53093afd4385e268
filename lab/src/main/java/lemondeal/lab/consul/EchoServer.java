package lemondeal.lab.consul;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import lemondeal.lab.LineConnection;

/**
 * A fake server of the platform's protocol on loopback: answers {@code OPEN} with {@code UP} and probes with
 * {@code PONG}, echoes lines until the client closes, and records the time of the last {@code OPEN} so that a test can
 * see when new work last arrived.
 */
public final class EchoServer implements AutoCloseable {
  private final ServerSocket socket;
  private final Set<LineConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger openCount = new AtomicInteger();
  private final AtomicLong lastOpenNanos = new AtomicLong();
  private final AtomicInteger receiptCount = new AtomicInteger();
  private volatile boolean closed;
  private volatile int setupDelayMillis;

  public EchoServer() throws IOException {
    socket = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    startDaemon(this::accept, "link-accept");
  }

  private static void startDaemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Delays {@code UP} for later connections. */
  public void setSetupDelay(int millis) {
    setupDelayMillis = millis;
  }

  /** Returns the number of {@code OPEN} lines received. */
  public int openCount() {
    return openCount.get();
  }

  /** Returns {@link System#nanoTime()} at the last {@code OPEN}; 0 before the first. */
  public long lastOpenNanos() {
    return lastOpenNanos.get();
  }

  /** Sends {@code MOVE} to each client between lines and closes its connection. */
  public void moveAll() {
    for (LineConnection lines : connections) {
      try {
        lines.writeLines("MOVE");
        lines.close();
      } catch (IOException e) {
        // Already closed by the client.
      }
    }
  }

  private void accept() {
    try {
      while (!closed) {
        Socket accepted = socket.accept();
        startDaemon(() -> serve(accepted), "link");
      }
    } catch (IOException e) {
      // The server is closed.
    }
  }

  private void serve(Socket accepted) {
    LineConnection connection = null;
    try (LineConnection lines = new LineConnection(accepted)) {
      connection = lines;
      connections.add(lines);
      String line = lines.readLine();
      while ("PING".equals(line) || "STATS".equals(line)) {
        lines.writeLines("PONG" + (line.equals("STATS") ? " inflight=1,qps=1,x0=0.1" : ""));
        line = lines.readLine();
      }
      if (line == null || !line.startsWith("OPEN ")) {
        return;
      }
      this.openCount.incrementAndGet();
      lastOpenNanos.set(System.nanoTime());
      Thread.sleep(setupDelayMillis);
      lines.writeLines("UP r" + receiptCount.incrementAndGet());
      for (line = lines.readLine(); line != null; line = lines.readLine()) {
        lines.writeLines("ECHO " + line);
      }
    } catch (IOException e) {
      // Closed by the client.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(connection);
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
    connections.forEach(LineConnection::close);
  }
}
