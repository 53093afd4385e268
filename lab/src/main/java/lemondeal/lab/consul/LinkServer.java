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
import lemondeal.lab.Lines;

/**
 * A stand-in link node of the platform's protocol on loopback: answers {@code OPEN} with {@code UP}, probes with
 * {@code PONG}, keeps the connection until its client ends it, and notes when each first line came, so that a test can
 * tell the last new work that reached it.
 */
public final class LinkServer implements AutoCloseable {
  private final ServerSocket socket;
  private final Set<Lines> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger opened = new AtomicInteger();
  private final AtomicLong lastOpenNanos = new AtomicLong();
  private final AtomicInteger receipts = new AtomicInteger();
  private volatile boolean closed;
  private volatile int upAfterMillis;

  public LinkServer() throws IOException {
    socket = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    daemon(this::accept, "link-accept");
  }

  private static void daemon(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** From now on a set-up takes so long. */
  public void upAfter(int millis) {
    upAfterMillis = millis;
  }

  /** First lines that came. */
  public int opened() {
    return opened.get();
  }

  /** {@link System#nanoTime()} when the last first line came; 0 before any. */
  public long lastOpenNanos() {
    return lastOpenNanos.get();
  }

  /** Sends each client away with {@code MOVE}, between lines, and ends its connection. */
  public void moveAll() {
    for (Lines lines : connections) {
      try {
        lines.write("MOVE");
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
        daemon(() -> serve(accepted), "link");
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket accepted) {
    Lines opened = null;
    try (Lines lines = new Lines(accepted)) {
      opened = lines;
      connections.add(lines);
      String line = lines.read();
      while ("PING".equals(line) || "STATS".equals(line)) {
        lines.write("PONG" + (line.equals("STATS") ? " inflight=1,qps=1,x0=0.1" : ""));
        line = lines.read();
      }
      if (line == null || !line.startsWith("OPEN ")) {
        return;
      }
      this.opened.incrementAndGet();
      lastOpenNanos.set(System.nanoTime());
      Thread.sleep(upAfterMillis);
      lines.write("UP r" + receipts.incrementAndGet());
      for (line = lines.read(); line != null; line = lines.read()) {
        lines.write("ECHO " + line);
      }
    } catch (IOException e) {
      // The client left.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(opened);
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
    connections.forEach(Lines::close);
  }
}
