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
 * A stand-in link node of the platform's protocol on loopback: answers {@code OPEN} with {@code UP}, probes with
 * {@code PONG}, keeps the connection until its client ends it, and notes when each first line came, so that a test can
 * tell the last new work that reached it.
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

  /** From now on a set-up takes so long. */
  public void setSetupDelay(int millis) {
    setupDelayMillis = millis;
  }

  /** First lines that came. */
  public int openCount() {
    return openCount.get();
  }

  /** {@link System#nanoTime()} when the last first line came; 0 before any. */
  public long lastOpenNanos() {
    return lastOpenNanos.get();
  }

  /** Sends each client away with {@code MOVE}, between lines, and ends its connection. */
  public void moveAll() {
    for (LineConnection lines : connections) {
      try {
        lines.writeLines("MOVE");
        lines.close();
      } catch (IOException e) {
        // Gone already.
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
      // Closed.
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
      // The client left.
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
      // Closed already.
    }
    connections.forEach(LineConnection::close);
  }
}
